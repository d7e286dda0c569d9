"""Fixtures of the membership tests."""

from collections.abc import Callable

import pytest

from sardineyard.core.clock import ManualClock
from sardineyard.core.ids import Incarnation, UpstreamId
from sardineyard.membership.evidence import SessionUp
from sardineyard.membership.table import MembershipTable


@pytest.fixture
def clock() -> ManualClock:
    """Return a clock that only the test advances."""
    return ManualClock()


@pytest.fixture
def upstreams() -> tuple[UpstreamId, ...]:
    """Return the ids of five upstreams."""
    return tuple(UpstreamId(f"runner-{number}") for number in range(5))


@pytest.fixture
def make_table(
    clock: ManualClock, upstreams: tuple[UpstreamId, ...]
) -> Callable[[], MembershipTable]:
    """Return a function that makes a table in which every upstream is live."""

    def make() -> MembershipTable:
        table = MembershipTable(clock)
        table.configure(upstreams)
        for upstream in upstreams:
            table.apply(SessionUp(upstream, Incarnation(1)))
        return table

    return make
