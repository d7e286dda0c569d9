"""Tests of map changes of a group while a step is held."""

from __future__ import annotations

import asyncio
from random import Random
from typing import TYPE_CHECKING, Any

import pytest

from sardineyard.core.ids import FencingNumber, RankIndex
from sardineyard.experts.maps import MapVersion
from sardineyard.experts.rank_orders import EpochEndedError, FencedError
from sardineyard.experts.switch import MapSwitch, SwitchResult, next_version
from sardineyard.standins.lockstep_group import (
    STEP_S,
    FakeGroup,
    LoopClock,
    VirtualSelector,
    rotated_layout,
)

if TYPE_CHECKING:
    from collections.abc import Coroutine, Iterator, Sequence

    from sardineyard.experts.group import MapOrder, OrderResult, RankReport

RANKS = 5
SEEDS = range(60)


class FakeTransport:
    """Transport to the fake group with the fencing number of one coordinator."""

    def __init__(self, group: FakeGroup, fence: int) -> None:
        self._group = group
        self._fence = FencingNumber(fence)
        self._epoch = group.epoch
        self.resumed = asyncio.Event()
        self.resumed.set()

    @property
    def ranks(self) -> Sequence[RankIndex]:
        """Return the ranks of the group."""
        return [RankIndex(index) for index in range(RANKS)]

    async def order(self, rank: RankIndex, order: MapOrder) -> OrderResult:
        """Send an order to one rank, unless the coordinator is paused."""
        await self.resumed.wait()
        return await self._group.deliver(rank, order, self._epoch, self._fence)

    async def broadcast(self, order: MapOrder) -> dict[RankIndex, OrderResult]:
        """Send an order to all ranks."""
        results = await asyncio.gather(*(self.order(r, order) for r in self.ranks))
        return dict(zip(self.ranks, results, strict=True))

    async def report(self, rank: RankIndex) -> RankReport | None:
        """Return the report of one rank."""
        await self.resumed.wait()
        await asyncio.sleep(0.002)
        return self._group.report(rank)


class World:
    """Event loop with a virtual clock, in which a fake group runs."""

    def __init__(self) -> None:
        self._selector = VirtualSelector()
        self.loop = asyncio.SelectorEventLoop(self._selector)
        self.loop.time = lambda: self._selector.now  # type: ignore[method-assign]
        self.clock = LoopClock(self._selector)

    def group(self, seed: int) -> FakeGroup:
        """Return a group with a seeded random number generator."""
        return FakeGroup(Random(seed), self.clock, RANKS)

    def switch(self, transport: FakeTransport) -> MapSwitch:
        """Return a switch that uses a transport."""
        return MapSwitch(transport, self.clock, 1, Random(7))

    def run(self, group: FakeGroup, work: Coroutine[Any, Any, Any]) -> Any:
        """Run a coroutine while the group runs steps."""

        async def both() -> Any:
            steps = asyncio.get_running_loop().create_task(group.run())
            try:
                return await work
            finally:
                steps.cancel()

        return self.loop.run_until_complete(both())


@pytest.fixture
def world() -> Iterator[World]:
    """Return a world whose event loop is closed after the test."""
    world = World()
    yield world
    world.loop.close()


async def change(
    switch: MapSwitch, version: int = 1, rotation: int = 1
) -> SwitchResult:
    """Change the map to a layout that differs by a rotation."""
    return await switch.change(
        MapVersion(version),
        rotated_layout(RANKS, rotation),
        rotated_layout(RANKS, 0),
        RankIndex(0),
    )


async def resolve_changes(switch: MapSwitch, group: FakeGroup) -> None:
    """Poll the ranks and resolve unfinished changes, as a new coordinator does."""
    for _ in range(60):
        reports = {RankIndex(i): group.report(RankIndex(i)) for i in range(RANKS)}
        if any(r.held_step or r.armed for r in reports.values()):
            await switch.resolve_unfinished(reports, group.ranks[0].in_use[1])
        await asyncio.sleep(0.25)


def test_all_ranks_switch_at_one_step(world: World) -> None:
    """Guards against a step that begins with two maps, without any faults."""
    group = world.group(1)

    async def work() -> SwitchResult:
        result = await change(world.switch(FakeTransport(group, 1)))
        await asyncio.sleep(1.0)
        return result

    assert world.run(group, work()) is SwitchResult.SWITCHED
    assert group.rank_switches == RANKS
    assert group.mixed_steps == 0
    assert group.ranks[0].held is None


def test_a_loaded_map_takes_effect_within_two_steps(world: World) -> None:
    """Guards against a group that keeps its unbalanced map after loading a new one."""
    group = world.group(1)

    async def work() -> int:
        switch = world.switch(FakeTransport(group, 1))
        await change(switch)
        await asyncio.sleep(2 * STEP_S - switch.durations_s["arm"])
        return group.rank_switches

    assert world.run(group, work()) == RANKS


@pytest.mark.parametrize("seed", SEEDS)
def test_late_and_unanswered_orders_never_mix_maps(world: World, seed: int) -> None:
    """Guards against an order to arm that takes effect after the step is released."""
    group = world.group(seed)
    group.lost_share, group.late_share = 0.2, 0.25

    async def work() -> None:
        switch = world.switch(FakeTransport(group, 1))
        for version in (1, 20, 40):
            await change(switch, version, version)
            await resolve_changes(switch, group)
        group.lost_share = group.late_share = 0.0
        await asyncio.sleep(4.0)
        await resolve_changes(switch, group)

    world.run(group, work())
    assert group.mixed_steps == 0
    assert all(rank.held is None for rank in group.ranks)


def test_retries_hold_the_group_for_few_steps(world: World) -> None:
    """Guards against a group that is held while orders are retried."""
    held = 0
    for seed in range(20):
        group = world.group(seed)
        group.late_share = 0.35
        switch = world.switch(FakeTransport(group, 1))
        assert world.run(group, change(switch)) is SwitchResult.SWITCHED
        held += group.held_steps
    assert held <= 20


def test_the_next_change_is_accepted_after_unanswered_orders(world: World) -> None:
    """Guards against ranks that refuse a change because they are still armed."""
    for seed in range(10):
        group = world.group(seed)
        group.late_share = 0.35
        switch = world.switch(FakeTransport(group, 1))
        world.run(group, change(switch, 1, 1))
        group.late_share = 0.0
        assert world.run(group, change(switch, 20, 2)) is SwitchResult.SWITCHED


@pytest.mark.parametrize("seed", SEEDS)
def test_a_change_of_a_killed_coordinator_is_resolved(world: World, seed: int) -> None:
    """Guards against a group that stays held after its coordinator was killed."""
    group = world.group(seed)
    group.lost_share, group.late_share = 0.1, 0.15
    killed_after_s = Random(seed).uniform(0.0, 1.2)

    async def work() -> float:
        first = asyncio.ensure_future(change(world.switch(FakeTransport(group, 1))))
        await asyncio.sleep(killed_after_s)
        first.cancel()
        await asyncio.gather(first, return_exceptions=True)
        began = world.clock.now()
        await resolve_changes(world.switch(FakeTransport(group, 2)), group)
        return world.clock.now() - began

    world.run(group, work())
    assert group.mixed_steps == 0
    assert all(rank.held is None for rank in group.ranks)


@pytest.mark.parametrize("seed", SEEDS)
def test_a_resumed_coordinator_does_not_mix_maps(world: World, seed: int) -> None:
    """Guards against a paused process that resumes its superseded change."""
    group = world.group(seed)
    group.late_share = 0.1
    rng = Random(seed)

    async def work() -> None:
        transport = FakeTransport(group, 1)
        first = asyncio.ensure_future(change(world.switch(transport)))
        await asyncio.sleep(rng.uniform(0.0, 1.0))
        transport.resumed.clear()
        second = world.switch(FakeTransport(group, 2))
        await resolve_changes(second, group)
        await change(second, 30, 2)
        transport.resumed.set()
        results = await asyncio.gather(first, return_exceptions=True)
        assert not isinstance(results[0], AssertionError)
        await resolve_changes(second, group)

    world.run(group, work())
    assert group.mixed_steps == 0
    assert all(rank.held is None for rank in group.ranks)


@pytest.mark.parametrize("seed", SEEDS)
def test_two_coordinators_never_share_a_version(world: World, seed: int) -> None:
    """Guards against two layouts with the same version, armed on different ranks.

    The second coordinator chooses its version from reports that it read before the
    orders of the first one arrived. Found with trouble-2 --seed 529098972129.
    """
    group = world.group(seed)
    rng = Random(seed)

    def version() -> MapVersion:
        reports = [group.report(RankIndex(index)) for index in range(RANKS)]
        return next_version(max(r.prepared or r.version for r in reports), rng)

    async def work() -> None:
        transport = FakeTransport(group, 1)
        first_version, second_version = version(), version()
        # Some ranks get the order of the first coordinator before it is paused.
        group.late_share = 0.6
        first = asyncio.ensure_future(change(world.switch(transport), first_version, 1))
        await asyncio.sleep(0.01)
        transport.resumed.clear()
        group.late_share = 0.0
        await asyncio.sleep(0.5)
        second = world.switch(FakeTransport(group, 2))
        await change(second, second_version, 2)
        await resolve_changes(second, group)
        transport.resumed.set()
        await asyncio.gather(first, return_exceptions=True)

    world.run(group, work())
    assert group.mixed_steps == 0
    assert all(rank.held is None for rank in group.ranks)


def test_a_greater_fencing_number_ends_the_change(world: World) -> None:
    """Guards against two coordinators whose orders alternate."""
    group = world.group(1)
    for rank in group.ranks:
        rank.fence = FencingNumber(5)
    with pytest.raises(FencedError):
        world.run(group, change(world.switch(FakeTransport(group, 4))))


def test_a_new_epoch_ends_the_change(world: World) -> None:
    """Guards against waiting for ranks that have lost the map they prepared."""
    group = world.group(1)

    async def work() -> None:
        running = asyncio.ensure_future(change(world.switch(FakeTransport(group, 1))))
        await asyncio.sleep(0.1)
        group.epoch = 2
        await running

    with pytest.raises(EpochEndedError):
        world.run(group, work())
