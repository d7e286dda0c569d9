"""Tests of the change of a group's map behind a held step."""

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
    turned_layout,
)

if TYPE_CHECKING:
    from collections.abc import Coroutine, Iterator, Sequence

    from sardineyard.experts.group import MapOrder, OrderResult, RankReport

RANKS = 5
SEEDS = range(60)


class FakePort:
    """Reach the fake group with the numbers of one coordinator."""

    def __init__(self, group: FakeGroup, fence: int) -> None:
        self._group = group
        self._fence = FencingNumber(fence)
        self._epoch = group.epoch
        self.paused = asyncio.Event()
        self.paused.set()

    @property
    def ranks(self) -> Sequence[RankIndex]:
        """Return the ranks of the group."""
        return [RankIndex(index) for index in range(RANKS)]

    async def order(self, rank: RankIndex, order: MapOrder) -> OrderResult:
        """Give an order to one rank."""
        await self.paused.wait()
        return await self._group.give(rank, order, self._epoch, self._fence)

    async def spread(self, order: MapOrder) -> dict[RankIndex, OrderResult]:
        """Give an order to all ranks."""
        results = await asyncio.gather(*(self.order(r, order) for r in self.ranks))
        return dict(zip(self.ranks, results, strict=True))

    async def report(self, rank: RankIndex) -> RankReport | None:
        """Return what one rank says about itself."""
        await self.paused.wait()
        await asyncio.sleep(0.002)
        return self._group.report(rank)


class World:
    """Run a coroutine on a virtual clock beside a fake group."""

    def __init__(self) -> None:
        self._selector = VirtualSelector()
        self.loop = asyncio.SelectorEventLoop(self._selector)
        self.loop.time = lambda: self._selector.now  # type: ignore[method-assign]
        self.clock = LoopClock(self._selector)

    def group(self, seed: int) -> FakeGroup:
        """Return a group with its own random numbers."""
        return FakeGroup(Random(seed), self.clock, RANKS)

    def switch(self, port: FakePort) -> MapSwitch:
        """Return a switch that uses a port."""
        return MapSwitch(port, self.clock, 1, Random(7))

    def run(self, group: FakeGroup, work: Coroutine[Any, Any, Any]) -> Any:
        """Run work while the group begins steps."""

        async def both() -> Any:
            steps = asyncio.get_running_loop().create_task(group.run())
            try:
                return await work
            finally:
                steps.cancel()

        return self.loop.run_until_complete(both())


@pytest.fixture
def world() -> Iterator[World]:
    """Return a world whose loop is closed after the test."""
    world = World()
    yield world
    world.loop.close()


async def change(switch: MapSwitch, version: int = 1, turn: int = 1) -> SwitchResult:
    """Change the map to a turned layout."""
    return await switch.change(
        MapVersion(version),
        turned_layout(RANKS, turn),
        turned_layout(RANKS, 0),
        RankIndex(0),
    )


async def finish(switch: MapSwitch, group: FakeGroup) -> None:
    """Look at the ranks again and again, as a new coordinator does."""
    for _ in range(60):
        reports = {RankIndex(i): group.report(RankIndex(i)) for i in range(RANKS)}
        if any(r.held_step or r.armed for r in reports.values()):
            await switch.finish(reports, group.ranks[0].in_use[1])
        await asyncio.sleep(0.25)


def test_all_ranks_switch_at_one_step(world: World) -> None:
    """Guards against a step that begins with two maps on a calm day."""
    group = world.group(1)

    async def work() -> SwitchResult:
        result = await change(world.switch(FakePort(group, 1)))
        await asyncio.sleep(1.0)
        return result

    assert world.run(group, work()) is SwitchResult.SWITCHED
    assert group.switched == RANKS
    assert group.mixed_steps == 0
    assert group.ranks[0].held is None


def test_a_loaded_map_is_used_from_the_next_step_but_one(world: World) -> None:
    """Guards against an unlevel group that runs for steps after its map is loaded."""
    group = world.group(1)

    async def work() -> int:
        switch = world.switch(FakePort(group, 1))
        await change(switch)
        await asyncio.sleep(2 * STEP_S - switch.durations_s["arm"])
        return group.switched

    assert world.run(group, work()) == RANKS


@pytest.mark.parametrize("seed", SEEDS)
def test_late_and_unanswered_orders_never_mix_maps(world: World, seed: int) -> None:
    """Guards against an order to arm that takes effect after the step was released."""
    group = world.group(seed)
    group.lost_share, group.late_share = 0.2, 0.25

    async def work() -> None:
        switch = world.switch(FakePort(group, 1))
        for version in (1, 20, 40):
            await change(switch, version, version)
            await finish(switch, group)
        group.lost_share = group.late_share = 0.0
        await asyncio.sleep(4.0)
        await finish(switch, group)

    world.run(group, work())
    assert group.mixed_steps == 0
    assert all(rank.held is None for rank in group.ranks)


def test_unanswered_orders_hardly_stop_the_group(world: World) -> None:
    """Guards against a group that stands still while orders are repeated."""
    held = 0
    for seed in range(20):
        group = world.group(seed)
        group.late_share = 0.35
        switch = world.switch(FakePort(group, 1))
        assert world.run(group, change(switch)) is SwitchResult.SWITCHED
        held += group.held_steps
    assert held <= 20


def test_the_next_change_is_accepted_after_unanswered_orders(world: World) -> None:
    """Guards against a change that ranks refuse since they are armed for the last."""
    for seed in range(10):
        group = world.group(seed)
        group.late_share = 0.35
        switch = world.switch(FakePort(group, 1))
        world.run(group, change(switch, 1, 1))
        group.late_share = 0.0
        assert world.run(group, change(switch, 20, 2)) is SwitchResult.SWITCHED


@pytest.mark.parametrize("seed", SEEDS)
def test_a_change_of_a_killed_coordinator_is_ended(world: World, seed: int) -> None:
    """Guards against a group that stands still after its coordinator died."""
    group = world.group(seed)
    group.lost_share, group.late_share = 0.1, 0.15
    killed_at = Random(seed).uniform(0.0, 1.2)

    async def work() -> float:
        first = asyncio.ensure_future(change(world.switch(FakePort(group, 1))))
        await asyncio.sleep(killed_at)
        first.cancel()
        await asyncio.gather(first, return_exceptions=True)
        began = world.clock.now()
        await finish(world.switch(FakePort(group, 2)), group)
        return world.clock.now() - began

    world.run(group, work())
    assert group.mixed_steps == 0
    assert all(rank.held is None for rank in group.ranks)


@pytest.mark.parametrize("seed", SEEDS)
def test_a_coordinator_that_wakes_up_changes_nothing(world: World, seed: int) -> None:
    """Guards against a paused process that goes on with a change of its own."""
    group = world.group(seed)
    group.late_share = 0.1
    rng = Random(seed)

    async def work() -> None:
        port = FakePort(group, 1)
        first = asyncio.ensure_future(change(world.switch(port)))
        await asyncio.sleep(rng.uniform(0.0, 1.0))
        port.paused.clear()
        second = world.switch(FakePort(group, 2))
        await finish(second, group)
        await change(second, 30, 2)
        port.paused.set()
        results = await asyncio.gather(first, return_exceptions=True)
        assert not isinstance(results[0], AssertionError)
        await finish(second, group)

    world.run(group, work())
    assert group.mixed_steps == 0
    assert all(rank.held is None for rank in group.ranks)


@pytest.mark.parametrize("seed", SEEDS)
def test_two_coordinators_never_share_a_version(world: World, seed: int) -> None:
    """Guards against one version that stands for two layouts.

    Found by a hunt: tiritava-riga, trouble-2 --seed 529098972129, MAP. The successor
    chooses its version from reports that it read before the other's orders arrived.
    """
    group = world.group(seed)
    rng = Random(seed)

    def version() -> MapVersion:
        reports = [group.report(RankIndex(index)) for index in range(RANKS)]
        return next_version(max(r.prepared or r.version for r in reports), rng)

    async def work() -> None:
        port = FakePort(group, 1)
        other, own = version(), version()
        # Only some ranks get the first coordinator's order before it is paused.
        group.late_share = 0.6
        first = asyncio.ensure_future(change(world.switch(port), other, 1))
        await asyncio.sleep(0.01)
        port.paused.clear()
        group.late_share = 0.0
        await asyncio.sleep(0.5)
        second = world.switch(FakePort(group, 2))
        await change(second, own, 2)
        await finish(second, group)
        port.paused.set()
        await asyncio.gather(first, return_exceptions=True)

    world.run(group, work())
    assert group.mixed_steps == 0
    assert all(rank.held is None for rank in group.ranks)


def test_a_greater_number_stops_the_change(world: World) -> None:
    """Guards against two coordinators that give orders in turn."""
    group = world.group(1)
    for rank in group.ranks:
        rank.fence = FencingNumber(5)
    with pytest.raises(FencedError):
        world.run(group, change(world.switch(FakePort(group, 4))))


def test_a_new_epoch_ends_the_change(world: World) -> None:
    """Guards against a wait for ranks that have lost what they prepared."""
    group = world.group(1)

    async def work() -> None:
        running = asyncio.ensure_future(change(world.switch(FakePort(group, 1))))
        await asyncio.sleep(0.1)
        group.epoch = 2
        await running

    with pytest.raises(EpochEndedError):
        world.run(group, work())
