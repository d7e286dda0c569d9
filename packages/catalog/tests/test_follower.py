"""Tests of the contact to the store."""

from __future__ import annotations

import asyncio
from random import Random

import pytest

from sardineyard.catalog.follower import StoreContact
from sardineyard.core.clock import ManualClock
from sardineyard.forwarding.source import StoreError, StoreFailure


@pytest.fixture
def clock() -> ManualClock:
    """Return a clock that stands still."""
    return ManualClock(now=50.0)


@pytest.fixture
def contact(clock: ManualClock) -> StoreContact:
    """Return a contact whose last call has failed."""
    contact = StoreContact("upstreams", clock, Random(1))
    contact.began()
    error = StoreError(StoreFailure.UNREACHABLE)
    asyncio.run(contact.failed(error))
    return contact


def test_what_the_first_call_answers_at_once_may_have_lapsed(
    contact: StoreContact, clock: ManualClock
) -> None:
    """Guards against losing all upstreams that lapsed in an outage."""
    contact.began()
    clock.advance(0.01)
    contact.succeeded()
    assert contact.is_after_outage
    clock.advance(1.0)
    assert not contact.is_after_outage


def test_a_change_after_a_long_watch_did_not_lapse(
    contact: StoreContact, clock: ManualClock
) -> None:
    """Guards against requests to an upstream that left seconds after an outage.

    Found by a hunt: kanok-yard, trouble-1 --seed 1042290513849, DRAIN.
    """
    contact.began()
    clock.advance(3.0)
    contact.succeeded()
    assert not contact.is_after_outage
