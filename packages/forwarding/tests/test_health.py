"""Tests of the ejection of upstreams."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from sardineyard.forwarding.health import HealthTable

if TYPE_CHECKING:
    from sardineyard.core.clock import ManualClock

UPSTREAMS = ["u1", "u2", "u3", "u4"]


@pytest.fixture
def health(clock: ManualClock) -> HealthTable:
    """Return a table in which nothing has failed."""
    return HealthTable(clock)


def test_an_upstream_that_fails_often_gets_no_work_for_a_time(
    health: HealthTable, clock: ManualClock
) -> None:
    """Guards against an upstream that fails requests with a good health check."""
    for _ in range(6):
        health.failed("u1", UPSTREAMS, certain=False)
    assert health.available(UPSTREAMS) == {"u2", "u3", "u4"}
    clock.advance(1.1)
    assert health.available(UPSTREAMS) == set(UPSTREAMS)


def test_a_fault_that_all_share_ejects_nobody(health: HealthTable) -> None:
    """Guards against a service without upstreams because of one shared cause."""
    for _ in range(20):
        for upstream in UPSTREAMS:
            health.failed(upstream, UPSTREAMS, certain=False)
    assert len(health.available(UPSTREAMS)) >= 2


def test_an_address_without_a_listener_is_left_at_once(health: HealthTable) -> None:
    """Guards against request after request that meets a refused connection."""
    health.failed("u2", UPSTREAMS, certain=True)
    assert "u2" not in health.available(UPSTREAMS)


def test_a_slow_upstream_gets_no_work_until_it_is_fast_again(
    health: HealthTable, clock: ManualClock
) -> None:
    """Guards against prompts that are read by a slow rank while all others wait."""
    health.slowed("u1", 5.0, UPSTREAMS)
    health.slowed("u2", 1.2, UPSTREAMS)
    assert health.available(UPSTREAMS) == {"u2", "u3", "u4"}
    clock.advance(1.6)
    assert health.available(UPSTREAMS) == set(UPSTREAMS)


def test_a_slowdown_that_all_share_leaves_most_upstreams(health: HealthTable) -> None:
    """Guards against a service without upstreams because all of them are slow."""
    for upstream in UPSTREAMS:
        health.slowed(upstream, 5.0, UPSTREAMS)
    assert len(health.available(UPSTREAMS)) >= 2
