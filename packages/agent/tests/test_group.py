"""Tests of expert map changes with real agents and simulated ranks.

Every test also checks that no step ran with two different maps (see `run_group`).
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


def test_expert_map_follows_drifting_load(run_group: Callable[..., Any]) -> None:
    """Guards against a group that keeps its first map while the expert loads drift."""

    async def scenario(fleet: GroupFleet) -> None:
        await fleet.wait_for_new_maps(5)

    record = run_group(GroupSpec(control=DRIFT), scenario)
    print(len(record["maps"]), record["steps"], median(record["skews"]))
    assert median(record["skews"]) <= 1.2


# Orders at which a change is interrupted, with the index of the runner that gets them.
STAGES = ["2 prepare", "2 commit"]


def event_lines(fleet: GroupFleet, agent: str, event: str) -> list[str]:
    """Return the lines of an agent's log that report an event."""
    lines = fleet.processes[agent].log_text().splitlines()
    return [line for line in lines if f'"event": "{event}"' in line]


@pytest.mark.parametrize("stage", STAGES)
def test_group_continues_after_coordinator_is_killed(
    run_group: Callable[..., Any], stage: str
) -> None:
    """Guards against ranks that wait forever or diverge after a coordinator crash.

    The coordinator is killed during a change, which the group must still resolve.
    """

    async def scenario(fleet: GroupFleet) -> None:
        first = fleet.agents[0]
        for _ in range(2):
            await fleet.block_order(stage)
            fleet.processes[first].kill()
            await fleet.processes[first].wait()
            await fleet.start(first)
            await fleet.wait_for_new_maps(2)

    run_group(GroupSpec(control=DRIFT), scenario)


@pytest.mark.parametrize(
    ("stage", "ignores_fencing"), [("2 prepare", False), ("2 commit", True)]
)
def test_resumed_coordinator_with_stale_state_is_harmless(
    run_group: Callable[..., Any], stage: str, ignores_fencing: bool
) -> None:
    """Guards against stale orders of a coordinator that was paused during a change.

    Another agent has taken over by the time it resumes.
    """

    async def scenario(fleet: GroupFleet) -> None:
        first, second, _ = fleet.agents
        await fleet.block_order(stage)
        fleet.processes[first].freeze()
        await fleet.wait_until_coordinating(second)
        fleet.processes[first].thaw()
        await fleet.wait_for_new_maps(3)

    run_group(
        GroupSpec(control={**DRIFT, "ignores_numbers": ignores_fencing}), scenario
    )


@pytest.mark.parametrize("ignores_fencing", [False, True])
def test_concurrent_coordinators_do_not_split_group(
    run_group: Callable[..., Any],
    competing_coordinator: Callable[..., Any],
    ignores_fencing: bool,
) -> None:
    """Guards against a mix of orders from two coordinators, even without fencing."""
    committed = 0

    async def scenario(fleet: GroupFleet) -> None:
        nonlocal committed
        await fleet.control(restart=1)
        committed = await competing_coordinator(fleet, "model-2", rounds=150)
        await fleet.wait_for_new_maps(2)
        with pytest.raises(AssertionError, match="not_a_member"):
            await competing_coordinator(fleet, "model-9", rounds=1)

    run_group(
        GroupSpec(control={**DRIFT, "ignores_numbers": ignores_fencing}), scenario
    )
    assert committed > 0


@pytest.mark.parametrize("stage", STAGES)
def test_ranks_restarted_during_change_recover_map(
    run_group: Callable[..., Any], stage: str
) -> None:
    """Guards against a restarted rank that rejoins with a different map, or never."""

    async def scenario(fleet: GroupFleet) -> None:
        for runner in (1, 2):
            await fleet.block_order(stage)
            await fleet.control(restart=runner)
            await fleet.wait_for_new_maps(2)

    run_group(GroupSpec(control=DRIFT), scenario)


def test_straggler_is_reported_and_relieved(run_group: Callable[..., Any]) -> None:
    """Guards against a slow or stalled rank that delays the group unnoticed."""

    async def scenario(fleet: GroupFleet) -> None:
        first = fleet.agents[0]
        await fleet.control(slow={"3": 2.0})
        await fleet.wait_for_record(
            lambda _: bool(event_lines(fleet, first, "straggler"))
        )
        assert '"rank": 3' in event_lines(fleet, first, "straggler")[0]
        assert (await fleet.group_view(first))["stragglers"] == [3]
        await fleet.wait_for_new_maps()
        await asyncio.sleep(1.0)
        await fleet.control(stalled=[0])
        await fleet.wait_for_record(
            lambda _: bool(event_lines(fleet, first, "rank_stalled"))
        )
        assert '"rank": 0' in event_lines(fleet, first, "rank_stalled")[0]
        await fleet.control(stalled=[])

    record = run_group(GroupSpec(control={"tokens_per_step": 4000}), scenario)
    # With equal loads the slow rank would take twice as long as the others.
    assert median(record["skews"][-20:]) < 1.3
