"""Tests of the coordination of one group by several rebalancers."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from sardineyard.core.ids import FencingNumber
from sardineyard.rebalancer import coordinator

if TYPE_CHECKING:
    from sardineyard.standins.lockstep_group import FakeGroup

FIRST_EXPERTS_POPULAR = [20.0, 18.0, 1, 1, 1, 1, 1, 1]
LAST_EXPERTS_POPULAR = FIRST_EXPERTS_POPULAR[::-1]


def test_one_rebalancer_rebalances_the_group(run_group, skew, until) -> None:
    """Guards against an expert map that does not follow a shift of popularity."""

    async def test(group: FakeGroup, rebalancers: list) -> None:
        before = skew(group)
        await until(lambda: skew(group) < 0.7 * before, 8.0)
        group.popularity = LAST_EXPERTS_POPULAR
        before = skew(group)
        await until(lambda: skew(group) < 0.7 * before, 8.0)
        leaders = [r for r in rebalancers if r.coordinator.is_coordinator]
        assert len(leaders) == 1

    run_group(test, FIRST_EXPERTS_POPULAR)


def test_another_rebalancer_takes_over(run_group, skew, until) -> None:
    """Guards against a group without a coordinator after the previous one stopped."""

    async def test(group: FakeGroup, rebalancers: list) -> None:
        before = skew(group)
        await until(lambda: skew(group) < 0.7 * before, 8.0)
        leader = next(r for r in rebalancers if r.coordinator.is_coordinator)
        await leader.kill()
        group.popularity = LAST_EXPERTS_POPULAR
        before = skew(group)
        await until(lambda: skew(group) < 0.7 * before, 10.0)

    run_group(test, FIRST_EXPERTS_POPULAR)


def test_unanswered_orders_do_not_stop_the_group(run_group, skew, until) -> None:
    """Guards against a group that stops when ranks carry out orders late."""

    async def test(group: FakeGroup, rebalancers: list) -> None:
        group.late_share = 0.3
        before = skew(group)
        await until(lambda: skew(group) < 0.7 * before, 15.0)
        group.late_share = 0.0
        step = group.step
        await until(lambda: group.step > step + 10, 5.0)

    run_group(test, FIRST_EXPERTS_POPULAR)


def test_ranks_that_know_a_greater_fence_are_rebalanced_soon(
    run_group, skew, until
) -> None:
    """Guards against seconds without rebalancing after all rebalancers restarted."""

    async def test(group: FakeGroup, rebalancers: list) -> None:
        for rank in group.ranks:
            rank.fence = FencingNumber(5 << 12)
        before = skew(group)
        await until(lambda: skew(group) < 0.7 * before, 3.5)

    run_group(test, FIRST_EXPERTS_POPULAR)


def test_a_coordinator_that_plans_slowly_is_not_replaced(
    run_group, skew, until, clock, monkeypatch
) -> None:
    """Guards against a takeover that aborts a map change in progress."""
    original_plan = coordinator.plan_layout

    def plan_slowly(*arguments):
        # Two rounds of planning with their intervals take longer than the takeover time
        # of the second rank, and the first of them ends before a reading is due.
        clock.skip(0.55)
        return original_plan(*arguments)

    async def skip_poll(view, fence) -> None:
        """Skip the poll of silent ranks, whose requests would count as contact."""

    monkeypatch.setattr(coordinator, "plan_layout", plan_slowly)
    monkeypatch.setattr(coordinator.GroupView, "poll_silent_ranks", skip_poll)

    async def test(group: FakeGroup, rebalancers: list) -> None:
        await until(lambda: group.rank_switches > 0, 8.0)
        leader = next(r for r in rebalancers if r.coordinator.is_coordinator)
        for _ in range(30):
            await asyncio.sleep(0.1)
            assert leader.coordinator.is_coordinator
        assert sum(r.coordinator.is_coordinator for r in rebalancers) == 1

    run_group(test, FIRST_EXPERTS_POPULAR)
