"""Ranks of one group in lockstep, free of any encoding."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field, replace
from random import Random
from typing import TYPE_CHECKING, Any

from sardineyard.core.ids import FencingNumber, Incarnation, StepNumber
from sardineyard.experts import ranks as rules
from sardineyard.experts.maps import rank_loads
from sardineyard.experts.orders import RunnerState
from sardineyard.standins.rank_load import DriftingPopularity

if TYPE_CHECKING:
    from sardineyard.experts.orders import Order, Refusal


@dataclass
class GroupOptions:
    """Hold what a test may change while the group runs."""

    tokens_per_step: int = 1000
    # Seconds that a rank needs for one token, and for a step without any.
    token_s: float = 0.00002
    idle_step_s: float = 0.002
    # Steps between two drifts of popularity; zero for none.
    drift_steps: int = 0
    ignores_numbers: bool = False
    # Orders that wait until they are taken off, such as "2 commit" for runner 2.
    blocked: list[str] = field(default_factory=list)
    stalled: list[int] = field(default_factory=list)
    lost: list[int] = field(default_factory=list)
    # Factor of the step time of a rank, by its index as text.
    slow: dict[str, float] = field(default_factory=dict)


@dataclass
class RunnerRanks:
    """Hold the ranks of one runner."""

    first: int
    count: int
    state: RunnerState
    busy_s: list[float]
    tokens: list[float]
    expert_tokens: list[float]

    @property
    def indexes(self) -> range:
        """Return the indexes of the ranks within the group."""
        return range(self.first, self.first + self.count)


class RankGroup:
    """Run steps as soon as every rank has reached the barrier, and record them."""

    def __init__(
        self, runners: int, ranks_each: int, experts: int, exponent: float, seed: int
    ) -> None:
        self.options = GroupOptions()
        self.experts = experts
        self._started = 0
        self._rng = Random(seed)
        self.popularity = DriftingPopularity(experts, exponent, self._rng)
        self.runners = [
            self._empty(index * ranks_each, ranks_each, StepNumber(0))
            for index in range(runners)
        ]
        self._changed = asyncio.Event()
        self._unblocked = asyncio.Event()
        # For every step the map of each rank, as version and digest.
        self.steps: list[tuple[str, ...]] = []
        self.two_maps: list[int] = []
        self.skews: list[float] = []
        self.orders: list[str] = []

    def _empty(self, first: int, count: int, step: StepNumber) -> RunnerRanks:
        self._started += 1
        state = RunnerState(Incarnation(self._started), FencingNumber(0), step)
        zeros = [0.0] * count
        return RunnerRanks(
            first, count, state, zeros, list(zeros), [0.0] * self.experts
        )

    def restart(self, runner: int) -> None:
        """Empty the memory of the ranks of one runner."""
        old = self.runners[runner]
        self.runners[runner] = self._empty(old.first, old.count, old.state.step)
        self._changed.set()

    def change(self, change: dict[str, Any]) -> None:
        """Change options."""
        self.options = replace(self.options, **change)
        self._changed.set()
        self._unblocked.set()
        self._unblocked = asyncio.Event()

    async def unblocked(self, runner: int, order: Order) -> None:
        """Return when a test does not hold such orders back."""
        name = f"{runner} {type(order).__name__.lower()}"
        if name in self.options.blocked:
            self.orders.append(f"{name} {order.number} blocked")
        while name in self.options.blocked:
            await self._unblocked.wait()

    def order(self, runner: int, order: Order) -> Refusal | None:
        """Follow an order or return why it is refused."""
        ranks = self.runners[runner]
        refusal = rules.refusal_of(order, ranks.state)
        if not self.options.ignores_numbers:
            number_refusal = rules.number_refusal(order, ranks.state.promised)
            refusal = number_refusal or refusal
        name = type(order).__name__.lower()
        result = refusal.value if refusal else "followed"
        self.orders.append(f"{runner} {name} {order.number} {result}")
        if refusal is None:
            ranks.state = rules.follow(order, ranks.state)
            self._changed.set()
        return refusal

    def report(self, runner: int) -> dict[str, Any]:
        """Return what the ranks of one runner tell about themselves."""
        ranks = self.runners[runner]
        stalled = set(self.options.stalled) | set(self.options.lost)
        return {
            **{name: getattr(ranks.state, name) for name in RunnerState.__slots__},
            "first_rank": ranks.first,
            "busy_s": ranks.busy_s,
            "tokens": ranks.tokens,
            "expert_tokens": ranks.expert_tokens,
            "late": [rank for rank in ranks.indexes if rank in stalled],
            "lost": [rank for rank in ranks.indexes if rank in self.options.lost],
        }

    async def run(self) -> None:
        """Run steps for ever."""
        while True:
            while not self._at_barrier():
                self._changed.clear()
                await self._changed.wait()
            await asyncio.sleep(self._step())

    def _at_barrier(self) -> bool:
        if self.options.stalled:
            return False
        return all(
            rules.may_begin(ranks.state) and not self._misses_a_rank(ranks)
            for ranks in self.runners
        )

    def _misses_a_rank(self, ranks: RunnerRanks) -> bool:
        """Say whether the map of the next step has experts on a lost rank."""
        in_use = rules.begin_step(ranks.state).in_use
        return in_use is not None and any(
            in_use.ranks[rank] for rank in self.options.lost if rank in ranks.indexes
        )

    def _step(self) -> float:
        """Run one step and return its time, which its slowest rank sets."""
        for ranks in self.runners:
            ranks.state = rules.begin_step(ranks.state)
        self._record()
        drift = self.options.drift_steps
        if drift and len(self.steps) % drift == 0:
            self.popularity.drift()
        counts = self.popularity.sample(self.options.tokens_per_step)
        times = [
            time for ranks in self.runners for time in self._compute(ranks, counts)
        ]
        self.skews.append(max(times) * len(times) / sum(times))
        return max(times)

    def _compute(self, ranks: RunnerRanks, counts: list[float]) -> list[float]:
        in_use = ranks.state.in_use
        assert in_use is not None
        loads = rank_loads(in_use.ranks, counts)
        times = []
        for place, rank in enumerate(ranks.indexes):
            factor = float(self.options.slow.get(str(rank), 1.0))
            busy = loads[rank] * self.options.token_s * factor
            times.append(busy + self.options.idle_step_s)
            ranks.busy_s[place] += busy
            ranks.tokens[place] += loads[rank]
            for expert in in_use.ranks[rank]:
                share = counts[expert] / in_use.replicas[expert]
                ranks.expert_tokens[expert] += share
        return times

    def _record(self) -> None:
        names = []
        for ranks in self.runners:
            in_use = ranks.state.in_use
            assert in_use is not None
            names += [f"{in_use.version}:{hash(in_use.ranks)}"] * ranks.count
        self.steps.append(tuple(names))
        if len(set(names)) > 1:
            self.two_maps.append(len(self.steps) - 1)
