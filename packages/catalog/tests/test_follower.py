"""Tests of the tracking of store failures."""

from __future__ import annotations

import asyncio
from random import Random

import pytest

from sardineyard.catalog.follower import StoreCallTracker
from sardineyard.core.clock import ManualClock
from sardineyard.forwarding.store import StoreError, StoreFailure


@pytest.fixture
def clock() -> ManualClock:
    """Return a clock that only the test advances."""
    return ManualClock(now=50.0)


@pytest.fixture
def tracker(clock: ManualClock) -> StoreCallTracker:
    """Return a tracker whose last call has failed."""
    tracker = StoreCallTracker("upstreams", clock, Random(1))
    tracker.record_start()
    error = StoreError(StoreFailure.UNREACHABLE)
    asyncio.run(tracker.back_off(error))
    return tracker


def test_changes_returned_at_once_after_an_outage_may_have_lapsed(
    tracker: StoreCallTracker, clock: ManualClock
) -> None:
    """Guards against the loss of all upstreams whose entries lapsed in an outage."""
    tracker.record_start()
    clock.advance(0.01)
    tracker.record_success()
    assert tracker.is_after_outage
    clock.advance(1.0)
    assert not tracker.is_after_outage


def test_changes_after_a_long_watch_have_not_lapsed(
    tracker: StoreCallTracker, clock: ManualClock
) -> None:
    """Guards against requests to an upstream that left seconds after an outage.

    The first call that succeeds may be a watch that waited for seconds: the removal
    that it returns happened after the outage and must not be treated as a lapse.
    """
    tracker.record_start()
    clock.advance(3.0)
    tracker.record_success()
    assert not tracker.is_after_outage
