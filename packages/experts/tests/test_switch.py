"""Tests of the change of a group's map behind a held step."""

from __future__ import annotations

import asyncio
import selectors
from random import Random
from typing import TYPE_CHECKING, Any

import pytest

from sardineyard.core.clock import WallTime
from sardineyard.core.ids import ExpertIndex, FencingNumber, RankIndex, StepNumber
from sardineyard.experts.group import (
    ArmMap,
    DisarmMap,
    HoldStep,
    OrderResult,
    PrepareMap,
    RankReport,
    ReleaseStep,
)
from sardineyard.experts.maps import MapVersion
from sardineyard.experts.switch import (
    EpochEndedError,
    FencedError,
    MapSwitch,
    SwitchResult,
)

if TYPE_CHECKING:
    from collections.abc import Coroutine, Iterator, Sequence

    from sardineyard.experts.group import Layout, MapOrder

RANKS = 5
STEP_S = 0.07
COPY_S = 0.3
SEEDS = range(60)


class VirtualSelector(selectors.SelectSelector):
    """Move the time forward instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> list[Any]:
        """Return at once."""
        self.now += max(0.0, timeout or 0.0)
        return super().select(0)


class LoopClock:
    """Read the time of the virtual loop."""

    def __init__(self, selector: VirtualSelector) -> None:
        self._selector = selector

    def now(self) -> float:
        """Return the virtual time in seconds."""
        return self._selector.now

    def wall(self) -> WallTime:
        """Return the virtual time in seconds."""
        return WallTime(self._selector.now)


def layout(turn: int) -> Layout:
    """Return a layout of two experts a rank, turned by some ranks."""
    return (
        tuple(
            tuple(ExpertIndex((rank + turn) % RANKS * 2 + part) for part in (0, 1))
            for rank in range(RANKS)
        ),
    )


class FakeRank:
    """Follow orders as a model runner does."""

    def __init__(self) -> None:
        self.in_use = (MapVersion(0), layout(0))
        self.highest = 0
        self.prepared: tuple[MapVersion, Layout] | None = None
        self.prepared_at = 0.0
        self.armed: tuple[MapVersion, StepNumber] | None = None
        self.held: StepNumber | None = None
        self.fence = FencingNumber(0)


class FakeGroup:
    """Begin steps of all ranks together and check that their maps are the same."""

    def __init__(self, rng: Random, clock: LoopClock) -> None:
        self.ranks = [FakeRank() for _ in range(RANKS)]
        self.step = StepNumber(10)
        self.epoch = 1
        self.lost_share = 0.0
        self.late_share = 0.0
        self.mixed_steps = 0
        self.switched = 0
        self._rng = rng
        self._clock = clock

    async def run(self) -> None:
        """Begin steps until cancelled."""
        while True:
            await asyncio.sleep(STEP_S)
            following = StepNumber(self.step + 1)
            if any(rank.held == following for rank in self.ranks):
                continue
            self.step = following
            for rank in self.ranks:
                if rank.armed is not None and rank.armed[1] == following:
                    assert rank.prepared is not None
                    rank.in_use, rank.prepared, rank.armed = rank.prepared, None, None
                    self.switched += 1
            if len({rank.in_use for rank in self.ranks}) != 1:
                self.mixed_steps += 1

    async def give(
        self, index: RankIndex, order: MapOrder, epoch: int, fence: FencingNumber
    ) -> OrderResult:
        """Carry an order out, now, later or not at all."""
        await asyncio.sleep(self._rng.uniform(0.001, 0.005))
        draw = self._rng.random()
        if draw < self.late_share:
            delay = self._rng.uniform(0.2, 3.0)
            asyncio.get_running_loop().call_later(
                delay, self.apply, index, order, epoch, fence
            )
            await asyncio.sleep(0.1)
            return OrderResult.UNANSWERED
        result = self.apply(index, order, epoch, fence)
        if draw < self.late_share + self.lost_share:
            await asyncio.sleep(0.1)
            return OrderResult.UNANSWERED
        return result

    def apply(
        self, index: RankIndex, order: MapOrder, epoch: int, fence: FencingNumber
    ) -> OrderResult:
        """Carry an order out."""
        rank = self.ranks[index]
        if epoch != self.epoch:
            return OrderResult.REFUSED
        if fence < rank.fence:
            return OrderResult.FENCED
        rank.fence = fence
        match order:
            case PrepareMap(version, new):
                if version <= rank.highest or rank.armed is not None:
                    return OrderResult.REFUSED
                rank.highest, rank.prepared = version, (version, new)
                rank.prepared_at = self._clock.now() + COPY_S
                return OrderResult.STARTED
            case ArmMap(version, step):
                is_ready = self._clock.now() >= rank.prepared_at
                if rank.prepared is None or rank.prepared[0] != version or not is_ready:
                    return OrderResult.REFUSED
                if step <= self.step:
                    return OrderResult.REFUSED
                rank.armed = (version, step)
            case DisarmMap(version):
                if rank.in_use[0] == version:
                    return OrderResult.REFUSED
                rank.armed = None
            case HoldStep(step):
                if step <= self.step or rank.held not in (None, step):
                    return OrderResult.REFUSED
                rank.held = step
            case ReleaseStep(step):
                if rank.held == step:
                    rank.held = None
        return OrderResult.DONE

    def report(self, index: RankIndex) -> RankReport:
        """Return what a rank says about itself."""
        rank = self.ranks[index]
        is_ready = self._clock.now() >= rank.prepared_at
        return RankReport(
            group="g",
            rank=index,
            size=RANKS,
            epoch=self.epoch,
            is_open=True,
            started_ms=1,
            step=self.step,
            version=rank.in_use[0],
            prepared=rank.prepared[0] if rank.prepared and is_ready else None,
            armed=rank.armed[0] if rank.armed else None,
            armed_step=rank.armed[1] if rank.armed else None,
            held_step=rank.held,
        )


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
        return FakeGroup(Random(seed), self.clock)

    def switch(self, port: FakePort) -> MapSwitch:
        """Return a switch that uses a port."""
        return MapSwitch(port, self.clock, 1)

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
        MapVersion(version), layout(turn), layout(0), RankIndex(0)
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
