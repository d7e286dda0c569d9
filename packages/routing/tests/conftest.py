"""Fixtures of the routing tests."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from sardineyard.core.clock import ManualClock
from sardineyard.core.ids import (
    FailureDomain,
    Incarnation,
    ModelName,
    PriorityName,
    UpstreamId,
)
from sardineyard.core.requests import LoadReport
from sardineyard.routing.table import UpstreamTable

if TYPE_CHECKING:
    from collections.abc import Callable


@pytest.fixture
def clock() -> ManualClock:
    """Return a clock that only the test advances."""
    return ManualClock()


@pytest.fixture
def make_table() -> Callable[[int], UpstreamTable]:
    """Return a factory of tables with a given number of upstreams."""

    def make(number: int) -> UpstreamTable:
        table = UpstreamTable([PriorityName("urgent"), PriorityName("batch")])
        for index in range(number):
            domain = FailureDomain(f"d{index % 3}")
            table.add(UpstreamId(f"u{index}"), [ModelName("m")], domain, 8)
        return table

    return make


@pytest.fixture
def make_report() -> Callable[..., LoadReport]:
    """Return a factory of load reports."""

    def make(index: int, running: int, queued: int = 0, **waits: float) -> LoadReport:
        expected = {PriorityName(name): wait for name, wait in waits.items()}
        return LoadReport(
            UpstreamId(f"u{index}"),
            Incarnation(1),
            False,
            running,
            queued,
            8,
            1,
            expected,
        )

    return make
