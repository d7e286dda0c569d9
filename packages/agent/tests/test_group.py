"""Tests of expert map changes with real agents and the stand-in of the ranks.

In every test the record of the ranks must show no step with two maps.
"""

from __future__ import annotations

import asyncio
from statistics import median
from typing import TYPE_CHECKING, Any

import pytest

from sardineyard.standins.group_fleet import GroupSpec

if TYPE_CHECKING:
    from collections.abc import Callable

    from sardineyard.standins.group_fleet import GroupFleet

DRIFT = {"drift_steps": 20, "tokens_per_step": 4000}


def test_the_map_follows_a_drifting_load(run_group: Callable[..., Any]) -> None:
    """Guards against a group that keeps its first map while popularity drifts."""

    async def scenario(fleet: GroupFleet) -> None:
        await fleet.new_map(5)

    record = run_group(GroupSpec(control=DRIFT), scenario)
    print(len(record["maps"]), record["steps"], median(record["skews"]))
    assert median(record["skews"]) <= 1.2


STAGES = ["2 prepare", "2 commit"]


def events(fleet: GroupFleet, agent: str, event: str) -> list[str]:
    """Return the log lines of one event of an agent."""
    lines = fleet.processes[agent].log_text().splitlines()
    return [line for line in lines if f'"event": "{event}"' in line]


@pytest.mark.parametrize("stage", STAGES)
def test_a_killed_coordinator_leaves_no_group_behind_that_waits(
    run_group: Callable[..., Any], stage: str
) -> None:
    """Guards against ranks that wait for ever, or disagree, when the leader dies."""

    async def scenario(fleet: GroupFleet) -> None:
        first = fleet.agents[0]
        for _ in range(2):
            await fleet.block(stage)
            fleet.processes[first].kill()
            await fleet.processes[first].wait()
            await fleet.start(first)
            await fleet.new_map(2)

    run_group(GroupSpec(control=DRIFT), scenario)


@pytest.mark.parametrize(
    ("stage", "ignoring"), [("2 prepare", False), ("2 commit", True)]
)
def test_a_coordinator_that_was_stopped_goes_on_with_stale_state(
    run_group: Callable[..., Any], stage: str, ignoring: bool
) -> None:
    """Guards against orders of a paused leader after another one has taken over."""

    async def scenario(fleet: GroupFleet) -> None:
        first, second, _ = fleet.agents
        await fleet.block(stage)
        fleet.processes[first].freeze()
        await fleet.until_coordinating(second)
        fleet.processes[first].thaw()
        await fleet.new_map(3)

    run_group(GroupSpec(control={**DRIFT, "ignores_numbers": ignoring}), scenario)


@pytest.mark.parametrize("ignoring", [False, True])
def test_two_coordinators_at_once_do_not_split_the_group(
    run_group: Callable[..., Any], rival: Callable[..., Any], ignoring: bool
) -> None:
    """Guards against two leaders whose orders mix, also on ranks without fencing."""
    committed = 0

    async def scenario(fleet: GroupFleet) -> None:
        nonlocal committed
        await fleet.control(restart=1)
        committed = await rival(fleet, "model-2", rounds=150)
        await fleet.new_map(2)
        with pytest.raises(AssertionError, match="not_a_member"):
            await rival(fleet, "model-9", rounds=1)

    run_group(GroupSpec(control={**DRIFT, "ignores_numbers": ignoring}), scenario)
    assert committed > 0


@pytest.mark.parametrize("stage", STAGES)
def test_ranks_that_restart_in_the_middle_of_a_change_get_the_map_back(
    run_group: Callable[..., Any], stage: str
) -> None:
    """Guards against a restarted rank that joins with another map or never."""

    async def scenario(fleet: GroupFleet) -> None:
        for runner in (1, 2):
            await fleet.block(stage)
            await fleet.control(restart=runner)
            await fleet.new_map(2)

    run_group(GroupSpec(control=DRIFT), scenario)


def test_a_straggler_is_named_and_relieved(run_group: Callable[..., Any]) -> None:
    """Guards against one slow or stalled rank that delays a group unnoticed."""

    async def scenario(fleet: GroupFleet) -> None:
        first = fleet.agents[0]
        await fleet.control(slow={"3": 2.0})
        await fleet.until(lambda _: bool(events(fleet, first, "straggler")))
        assert '"rank": 3' in events(fleet, first, "straggler")[0]
        assert (await fleet.view(first))["stragglers"] == [3]
        await fleet.new_map()
        await asyncio.sleep(1.0)
        await fleet.control(stalled=[0])
        await fleet.until(lambda _: bool(events(fleet, first, "rank_stalled")))
        assert '"rank": 0' in events(fleet, first, "rank_stalled")[0]
        await fleet.control(stalled=[])

    record = run_group(GroupSpec(control={"tokens_per_step": 4000}), scenario)
    # With an equal load the slow rank would need twice the mean of the others.
    assert median(record["skews"][-20:]) < 1.3
