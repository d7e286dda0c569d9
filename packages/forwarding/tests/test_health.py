"""Tests of upstream health: ejection and slowdown."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from sardineyard.forwarding.health import HealthTable

if TYPE_CHECKING:
    from sardineyard.core.clock import ManualClock

UPSTREAMS = ["u1", "u2", "u3", "u4"]


@pytest.fixture
def health(clock: ManualClock) -> HealthTable:
    """Return a health table without any results."""
    return HealthTable(clock)


def test_failing_upstream_is_ejected_for_a_time(
    health: HealthTable, clock: ManualClock
) -> None:
    """Guards against an upstream that fails requests but passes its health check."""
    for _ in range(6):
        health.record_failure("u1", UPSTREAMS, eject_immediately=False)
    assert health.available(UPSTREAMS) == {"u2", "u3", "u4"}
    clock.advance(1.1)
    assert health.available(UPSTREAMS) == set(UPSTREAMS)


def test_common_fault_leaves_upstreams_available(health: HealthTable) -> None:
    """Guards against ejecting every upstream of a service for one common fault."""
    for _ in range(20):
        for upstream in UPSTREAMS:
            health.record_failure(upstream, UPSTREAMS, eject_immediately=False)
    assert len(health.available(UPSTREAMS)) >= 2


def test_upstream_without_listener_is_ejected_at_once(health: HealthTable) -> None:
    """Guards against request after request failing with a refused connection."""
    health.record_failure("u2", UPSTREAMS, eject_immediately=True)
    assert "u2" not in health.available(UPSTREAMS)


def test_slow_upstream_gets_no_requests_while_slow(
    health: HealthTable, clock: ManualClock
) -> None:
    """Guards against prompts at a slow rank, for which all other ranks wait."""
    health.record_slowdown("u1", 5.0, UPSTREAMS)
    health.record_slowdown("u2", 1.2, UPSTREAMS)
    assert health.available(UPSTREAMS) == {"u2", "u3", "u4"}
    clock.advance(1.6)
    assert health.available(UPSTREAMS) == set(UPSTREAMS)


def test_common_slowdown_leaves_upstreams_available(health: HealthTable) -> None:
    """Guards against a service without upstreams when all of them are slow."""
    for upstream in UPSTREAMS:
        health.record_slowdown(upstream, 5.0, UPSTREAMS)
    assert len(health.available(UPSTREAMS)) >= 2
