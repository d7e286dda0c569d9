"""Fixtures of the idempotency tests."""

import uuid
from collections.abc import Callable

import pytest

from sardineyard.core.clock import Deadline, ManualClock, WallTime
from sardineyard.core.ids import (
    Fingerprint,
    Incarnation,
    ServiceName,
    TeamId,
    UpstreamId,
)
from sardineyard.idempotency.keys import ScopedKey, parse_key
from sardineyard.idempotency.lease import AddressLease, begin_renewal
from sardineyard.idempotency.messages import Attempt
from sardineyard.idempotency.ownership import Ownership, UpstreamSets
from sardineyard.idempotency.store import KeyStore
from sardineyard.idempotency.table import KeyLimits, KeyTable

UPSTREAM = UpstreamId("booking-1")
INCARNATION = Incarnation(7)
SERVICE = ServiceName("booking")


@pytest.fixture
def clock() -> ManualClock:
    """Return a clock that changes only when a test advances it."""
    return ManualClock()


@pytest.fixture
def timed_text() -> Callable[[WallTime], str]:
    """Return a function that makes a version 7 UUID with a given creation time."""

    def make(created: WallTime) -> str:
        value = round(created * 1000) << 80 | 7 << 76 | 2 << 62
        return str(uuid.UUID(int=value | uuid.uuid4().int & ((1 << 62) - 1)))

    return make


@pytest.fixture
def attempt() -> Callable[..., Attempt]:
    """Return a function that makes an attempt with a given key."""

    def make(text: str, fingerprint: str = "body", deadline: float = 1e9) -> Attempt:
        scoped = ScopedKey(TeamId("team"), SERVICE, parse_key(text).unwrap())
        return Attempt(
            scoped, Fingerprint(fingerprint), Deadline(deadline), INCARNATION
        )

    return make


@pytest.fixture
def renew(clock: ManualClock) -> Callable[[KeyTable, AddressLease], None]:
    """Return a function that renews the lease for longer than its duration."""

    def renew_lease(table: KeyTable, lease: AddressLease) -> None:
        for _ in range(4):
            table.confirm_lease(begin_renewal(clock), INCARNATION)
            clock.advance(0.4)
        table.confirm_lease(begin_renewal(clock), INCARNATION)

    return renew_lease


@pytest.fixture
def lease(clock: ManualClock) -> AddressLease:
    """Return the lease of the agent under test."""
    return AddressLease(clock, INCARNATION)


@pytest.fixture
def table(
    clock: ManualClock,
    lease: AddressLease,
    renew: Callable[[KeyTable, AddressLease], None],
) -> KeyTable:
    """Return a table for four keys that holds its lease and accepts new keys."""
    table = KeyTable(clock, UPSTREAM, lease, KeyStore(4, 100))
    sets = UpstreamSets((UPSTREAM,))
    table.configure(Ownership({SERVICE: sets}), KeyLimits(untimed_key_window_s=2.0), 1)
    table.confirm_lease(begin_renewal(clock), INCARNATION)
    for _ in range(14):
        clock.advance(0.5)
        table.confirm_lease(begin_renewal(clock), INCARNATION)
    return table
