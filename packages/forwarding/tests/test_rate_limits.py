"""Tests of the rate limits that upstreams name."""

from __future__ import annotations

from itertools import product
from random import Random
from typing import TYPE_CHECKING

import pytest

from sardineyard.forwarding.quarantine import PeerHost
from sardineyard.forwarding.rate_limits import LimitStatement, UpstreamRateLimits

if TYPE_CHECKING:
    from sardineyard.core.clock import ManualClock

UPSTREAM = "u1"
UPDATE_INTERVAL_S = 0.1
WINDOW_S = 4.0


def most_in_window(sent_at: list[float]) -> int:
    """Return the largest number of requests in a window of four seconds."""
    return max(
        sum(start <= other < start + WINDOW_S for other in sent_at) for start in sent_at
    )


def send_as_much_as_allowed(
    clock: ManualClock, seed: int, processes: int, limit_per_s: float, seconds: float
) -> list[float]:
    """Return when gateways with unbounded demand send requests to one upstream.

    Statements are delivered with the next update, and one in ten is lost.
    """
    rng = Random(seed)
    gateways = [
        UpstreamRateLimits(clock, Random(seed + index)) for index in range(processes)
    ]
    sent_at = []
    gateways[0].observe(UPSTREAM, limit_per_s)
    for _ in range(round(seconds / UPDATE_INTERVAL_S)):
        statements = [gateway.statements() for gateway in gateways]
        clock.advance(UPDATE_INTERVAL_S)
        for index, gateway in enumerate(gateways):
            for peer, stated in enumerate(statements):
                if peer != index and rng.random() > 0.1:
                    gateway.receive(PeerHost(str(peer)), stated)
            gateway.update_credits(processes)
            # A gateway without a limit has not heard of it yet.
            while gateway.statements() and gateway.may_send(UPSTREAM):
                gateway.record_sent(UPSTREAM)
                gateway.observe(UPSTREAM, limit_per_s)
                sent_at.append(clock.now())
    return sent_at


@pytest.mark.parametrize(
    ("processes", "seed"),
    # A fleet of 60 takes a second for each case.
    [*product([1, 10], range(8)), *product([60], range(2))],
)
@pytest.mark.parametrize("limit_per_s", [0.5, 1.0, 3.0, 12.0])
def test_all_gateways_together_keep_to_the_limit(
    clock: ManualClock, processes: int, seed: int, limit_per_s: float
) -> None:
    """Guards against an upstream in need that gets the limit from each gateway.

    The bound is the platform's: one and a half times the limit and five more.
    """
    sent_at = send_as_much_as_allowed(clock, seed, processes, limit_per_s, 30.0)
    assert most_in_window(sent_at) <= 1.5 * limit_per_s * WINDOW_S + 5
    # An upstream with a limit still does most of the work that it takes.
    assert len(sent_at) >= 0.6 * limit_per_s * 30.0


def test_limit_ends_with_the_first_answer_without_it(clock: ManualClock) -> None:
    """Guards against an upstream that stays limited after its need has passed."""
    first, second = (UpstreamRateLimits(clock, Random(seed)) for seed in range(2))
    first.observe(UPSTREAM, 1.0)
    second.receive(PeerHost("first"), first.statements())
    assert not second.may_send(UPSTREAM)
    clock.advance(1.0)
    second.observe(UPSTREAM, None)
    clock.advance(0.1)
    first.receive(PeerHost("second"), second.statements())
    assert first.may_send(UPSTREAM)
    assert second.may_send(UPSTREAM)


def test_older_statement_does_not_replace_a_newer_one(clock: ManualClock) -> None:
    """Guards against a delayed datagram that lifts or restores a limit."""
    limits = UpstreamRateLimits(clock, Random(1))
    limits.observe(UPSTREAM, 2.0)
    limits.receive(PeerHost("peer"), [LimitStatement(UPSTREAM, None, 3.0, 0)])
    assert limits.total_rate_per_s([UPSTREAM]) == 2.0
    limits.receive(PeerHost("peer"), [LimitStatement(UPSTREAM, 5.0, 3.0, 0)])
    assert limits.total_rate_per_s([UPSTREAM]) == 2.0


def test_restart_of_a_gateway_does_not_count_its_requests_again(
    clock: ManualClock,
) -> None:
    """Guards against an upstream that gets nothing after a gateway restarted."""
    limits = UpstreamRateLimits(clock, Random(1))
    limits.observe(UPSTREAM, 1.0)
    for sent in (40, 0, 40):
        limits.receive(PeerHost("peer"), [LimitStatement(UPSTREAM, 1.0, 0.5, sent)])
    clock.advance(60.0)
    limits.update_credits(1)
    assert limits.may_send(UPSTREAM)


def test_limit_of_zero_leaves_a_request_now_and_then(clock: ManualClock) -> None:
    """Guards against a limit that never ends because nothing is sent any more."""
    sent_at = send_as_much_as_allowed(clock, 1, 1, 0.0, 30.0)
    assert 1 <= len(sent_at) <= 8


def test_upstreams_without_a_limit_are_not_stated(clock: ManualClock) -> None:
    """Guards against datagrams that grow with the number of upstreams."""
    limits = UpstreamRateLimits(clock, Random(1))
    limits.observe(UPSTREAM, None)
    assert limits.statements() == ()
    limits.observe(UPSTREAM, 1.0)
    limits.observe(UPSTREAM, None)
    clock.advance(6.0)
    limits.update_credits(1)
    assert limits.statements() == ()
