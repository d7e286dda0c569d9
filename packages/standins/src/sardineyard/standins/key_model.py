"""Agents of a model that drives the key table by plain calls."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, unique
from typing import TYPE_CHECKING

from sardineyard.core.clock import WallTime
from sardineyard.idempotency.lease import AddressLease
from sardineyard.idempotency.store import KeyStore
from sardineyard.idempotency.table import KeyTable

if TYPE_CHECKING:
    from collections.abc import Callable

    from sardineyard.core.ids import Incarnation, UpstreamId
    from sardineyard.idempotency.lease import Renewal
    from sardineyard.idempotency.messages import AskPrevious, Attempt, Ticket

# True time 0 of the model in seconds since 1970.
EPOCH = 1.8e9


@unique
class Mechanism(Enum):
    """Name what a walk of the harness can switch off."""

    FLOOR = "floor"
    LEASE = "lease"
    SURRENDER = "surrender"


class _NoFloorStore(KeyStore):
    def raise_floor(self, floor: WallTime) -> None:
        pass


class _AlwaysHeldLease(AddressLease):
    @property
    def held(self) -> bool:
        return True


@dataclass
class SkewedClock:
    """Read the true time of a model with an offset on the wall clock."""

    time: Callable[[], float]
    offset: float

    def now(self) -> float:
        """Return the true time in seconds."""
        return self.time()

    def wall(self) -> WallTime:
        """Return the wall time of one VM."""
        return WallTime(EPOCH + self.time() + self.offset)


@unique
class Phase(Enum):
    """Name the next step of a call that was admitted."""

    ASK = "ask"
    START = "start"
    WRITE = "write"
    FINISH = "finish"


@dataclass
class Job:
    """Hold one call that was admitted by an agent."""

    attempt: Attempt
    ticket: Ticket
    phase: Phase
    asked: AskPrevious | None = None


class ModelAgent:
    """Hold one incarnation of an agent and its key table."""

    def __init__(
        self,
        upstream: UpstreamId,
        incarnation: Incarnation,
        clock: SkewedClock,
        without: Mechanism | None,
    ) -> None:
        self.upstream = upstream
        self.incarnation = incarnation
        self.clock = clock
        self.paused = False
        self.version = 0
        self.jobs: list[Job] = []
        self.renewals: list[tuple[Renewal, Incarnation]] = []
        lease = _AlwaysHeldLease if without is Mechanism.LEASE else AddressLease
        store = _NoFloorStore if without is Mechanism.FLOOR else KeyStore
        held = lease(clock, incarnation)
        self.table = KeyTable(clock, upstream, held, store(40, 10_000))
