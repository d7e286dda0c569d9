"""Simulated group of ranks that run their steps in lockstep."""

from __future__ import annotations

import asyncio
import selectors
from typing import TYPE_CHECKING, Any

from sardineyard.core.clock import WallTime
from sardineyard.core.ids import ExpertIndex, FencingNumber, StepNumber
from sardineyard.experts.group import (
    ArmMap,
    DisarmMap,
    HoldStep,
    OrderResult,
    PrepareMap,
    RankCounts,
    RankExperts,
    RankReport,
    ReleaseStep,
)
from sardineyard.experts.maps import MapVersion

if TYPE_CHECKING:
    from random import Random

    from sardineyard.core.clock import Clock
    from sardineyard.core.ids import RankIndex
    from sardineyard.experts.group import Layout, MapOrder

STEP_S = 0.07
COPY_S = 0.3
# Expert choices of one rank in a step.
_CHOICES_PER_STEP = 400


class VirtualSelector(selectors.SelectSelector):
    """Selector that advances a virtual time instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> list[Any]:
        """Advance the virtual time by the timeout and poll without waiting."""
        self.now += max(0.0, timeout or 0.0)
        return super().select(0)


class LoopClock:
    """Clock that returns the virtual time of a selector."""

    def __init__(self, selector: VirtualSelector) -> None:
        self._selector = selector

    def now(self) -> float:
        """Return the virtual time in seconds."""
        return self._selector.now

    def wall(self) -> WallTime:
        """Return the virtual time in seconds."""
        return WallTime(self._selector.now)


def rotated_layout(ranks: int, rotation: int) -> Layout:
    """Return a layout with two experts per rank, rotated by a number of ranks."""
    return (
        tuple(
            tuple(
                ExpertIndex((rank + rotation) % ranks * 2 + offset) for offset in (0, 1)
            )
            for rank in range(ranks)
        ),
    )


class FakeRank:
    """State of one rank: expert maps, held step and expert counts."""

    def __init__(self, initial_layout: Layout) -> None:
        self.in_use = (MapVersion(0), initial_layout)
        self.counts: list[int] = []
        self.highest_version = 0
        self.prepared: tuple[MapVersion, Layout] | None = None
        self.prepared_at = 0.0
        self.armed: tuple[MapVersion, StepNumber] | None = None
        self.held: StepNumber | None = None
        self.fence = FencingNumber(0)
        self.slowdown = 1.0


class FakeGroup:
    """Group whose ranks begin each step together; counts steps with mixed maps."""

    def __init__(self, rng: Random, clock: Clock, size: int) -> None:
        initial_layout = rotated_layout(size, 0)
        self.ranks = [FakeRank(initial_layout) for _ in range(size)]
        # Relative popularity of each expert; no choices are counted while it is empty.
        self.popularity: list[float] = []
        self.step = StepNumber(10)
        self.epoch = 1
        # Fraction of the orders that take effect, but whose reply is lost.
        self.lost_share = 0.0
        # Fraction of the orders that take effect after the wait for a reply timed out.
        self.late_share = 0.0
        self.mixed_steps = 0
        self.rank_switches = 0
        # Number of times that a due step was held.
        self.held_steps = 0
        self._rng = rng
        self._clock = clock

    async def run(self) -> None:
        """Begin steps until cancelled."""
        while True:
            await asyncio.sleep(STEP_S)
            next_step = StepNumber(self.step + 1)
            if any(rank.held == next_step for rank in self.ranks):
                self.held_steps += 1
                continue
            self.step = next_step
            for rank in self.ranks:
                if rank.armed is not None and rank.armed[1] == next_step:
                    assert rank.prepared is not None
                    rank.in_use, rank.prepared, rank.armed = rank.prepared, None, None
                    self.rank_switches += 1
            self._count_choices()
            if len({rank.in_use for rank in self.ranks}) != 1:
                self.mixed_steps += 1

    def _count_choices(self) -> None:
        total = sum(self.popularity)
        for rank in self.ranks:
            rank.counts = rank.counts or [0] * len(self.popularity)
            for expert, share in enumerate(self.popularity):
                rank.counts[expert] += int(_CHOICES_PER_STEP * share / total)

    async def deliver(
        self, index: RankIndex, order: MapOrder, epoch: int, fence: FencingNumber
    ) -> OrderResult:
        """Deliver an order after a delay; the order may be late, or its reply lost."""
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
        """Carry out an order and return its result."""
        rank = self.ranks[index]
        if epoch != self.epoch:
            return OrderResult.REFUSED
        if fence < rank.fence:
            return OrderResult.FENCED
        rank.fence = fence
        match order:
            case PrepareMap(version, layout):
                if version <= rank.highest_version or rank.armed is not None:
                    return OrderResult.REFUSED
                rank.highest_version, rank.prepared = version, (version, layout)
                rank.prepared_at = self._clock.now() + COPY_S
                return OrderResult.STARTED
            case ArmMap(version, step):
                is_loaded = self._clock.now() >= rank.prepared_at
                if (
                    rank.prepared is None
                    or rank.prepared[0] != version
                    or not is_loaded
                ):
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
        """Return the report of a rank."""
        rank = self.ranks[index]
        is_loaded = self._clock.now() >= rank.prepared_at
        return RankReport(
            group="g",
            rank=index,
            size=len(self.ranks),
            epoch=self.epoch,
            is_open=True,
            started_ms=1,
            step=self.step,
            version=rank.in_use[0],
            prepared=rank.prepared[0] if rank.prepared and is_loaded else None,
            armed=rank.armed[0] if rank.armed else None,
            armed_step=rank.armed[1] if rank.armed else None,
            held_step=rank.held,
            slowdown=rank.slowdown,
        )


class FakeRunner:
    """Connection to one rank of a simulated group, for the relay of the rebalancer."""

    def __init__(self, group: FakeGroup, rank: RankIndex) -> None:
        self._group = group
        self._rank = rank

    async def report(self) -> RankReport | None:
        """Return the report of the rank."""
        return self._group.report(self._rank)

    async def counts(self) -> RankCounts | None:
        """Return the number of choices of each expert."""
        counts = tuple(self._group.ranks[self._rank].counts)
        return RankCounts(self._group.epoch, self._group.step, counts)

    async def experts(self) -> RankExperts | None:
        """Return the experts of the rank by layer set."""
        version, layout = self._group.ranks[self._rank].in_use
        experts = tuple(placement[self._rank] for placement in layout)
        return RankExperts(self._group.epoch, version, experts)

    async def order(
        self, order: MapOrder, epoch: int, fence: FencingNumber
    ) -> OrderResult:
        """Deliver an order that is valid in one epoch of the group only."""
        return await self._group.deliver(self._rank, order, epoch, fence)

    def close(self) -> None:
        """Do nothing, as there is no connection to close."""
