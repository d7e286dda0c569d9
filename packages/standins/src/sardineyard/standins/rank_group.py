"""Simulated ranks of one group that run in lockstep, without their HTTP interface."""

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
    """Options that a test may change while the group runs."""

    tokens_per_step: int = 1000
    # Time of a rank for one token, and for a step without tokens.
    token_s: float = 0.00002
    idle_step_s: float = 0.002
    # Number of steps between two drifts of popularity; 0 disables drift.
    drift_steps: int = 0
    # Skips the check of the fencing numbers of orders.
    ignores_numbers: bool = False
    # Orders that wait until they are removed here, such as "2 commit" for runner 2.
    blocked: list[str] = field(default_factory=list)
    # Ranks that do not reach the barrier; no step begins while there are any.
    stalled: list[int] = field(default_factory=list)
    # Ranks that have failed; no step begins whose map has experts on them.
    lost: list[int] = field(default_factory=list)
    # Factor on the token time of a rank, by its index as text.
    slow: dict[str, float] = field(default_factory=dict)


@dataclass
class RunnerRanks:
    """State and counters of the ranks of one runner."""

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
    """Group that runs and records a step as soon as all ranks are at the barrier."""

    def __init__(
        self, runners: int, ranks_each: int, experts: int, exponent: float, seed: int
    ) -> None:
        self.options = GroupOptions()
        self.experts = experts
        self._incarnations = 0
        self._rng = Random(seed)
        self.popularity = DriftingPopularity(experts, exponent, self._rng)
        self.runners = [
            self._new_runner(index * ranks_each, ranks_each, StepNumber(0))
            for index in range(runners)
        ]
        self._changed = asyncio.Event()
        self._unblocked = asyncio.Event()
        # Map of each rank in every step, as version and hash.
        self.steps: list[tuple[str, ...]] = []
        self.mixed_map_steps: list[int] = []
        self.skews: list[float] = []
        self.orders: list[str] = []

    def _new_runner(self, first: int, count: int, step: StepNumber) -> RunnerRanks:
        self._incarnations += 1
        state = RunnerState(Incarnation(self._incarnations), FencingNumber(0), step)
        zeros = [0.0] * count
        return RunnerRanks(
            first, count, state, zeros, list(zeros), [0.0] * self.experts
        )

    def restart(self, runner: int) -> None:
        """Reset the ranks of one runner, as after a restart of its process."""
        old = self.runners[runner]
        self.runners[runner] = self._new_runner(old.first, old.count, old.state.step)
        self._changed.set()

    def change(self, change: dict[str, Any]) -> None:
        """Change options."""
        self.options = replace(self.options, **change)
        self._changed.set()
        self._unblocked.set()
        self._unblocked = asyncio.Event()

    async def wait_until_unblocked(self, runner: int, order: Order) -> None:
        """Wait until the test does not block such orders."""
        name = f"{runner} {type(order).__name__.lower()}"
        if name in self.options.blocked:
            self.orders.append(f"{name} {order.number} blocked")
        while name in self.options.blocked:
            await self._unblocked.wait()

    def order(self, runner: int, order: Order) -> Refusal | None:
        """Carry out an order, or return the reason why it is refused."""
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
        """Return the report of the ranks of one runner."""
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
        """Run steps until cancelled."""
        while True:
            while not self._at_barrier():
                self._changed.clear()
                await self._changed.wait()
            await asyncio.sleep(self._step())

    def _at_barrier(self) -> bool:
        if self.options.stalled:
            return False
        return all(
            rules.may_begin(ranks.state) and not self._needs_lost_rank(ranks)
            for ranks in self.runners
        )

    def _needs_lost_rank(self, ranks: RunnerRanks) -> bool:
        """Return whether the map of the next step has experts on a lost rank."""
        in_use = rules.begin_step(ranks.state).in_use
        return in_use is not None and any(
            in_use.ranks[rank] for rank in self.options.lost if rank in ranks.indexes
        )

    def _step(self) -> float:
        """Run one step and return its duration, that of the slowest rank."""
        for ranks in self.runners:
            ranks.state = rules.begin_step(ranks.state)
        self._record_step()
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
        for position, rank in enumerate(ranks.indexes):
            factor = float(self.options.slow.get(str(rank), 1.0))
            busy = loads[rank] * self.options.token_s * factor
            times.append(busy + self.options.idle_step_s)
            ranks.busy_s[position] += busy
            ranks.tokens[position] += loads[rank]
            for expert in in_use.ranks[rank]:
                share = counts[expert] / in_use.replicas[expert]
                ranks.expert_tokens[expert] += share
        return times

    def _record_step(self) -> None:
        names = []
        for ranks in self.runners:
            in_use = ranks.state.in_use
            assert in_use is not None
            names += [f"{in_use.version}:{hash(in_use.ranks)}"] * ranks.count
        self.steps.append(tuple(names))
        if len(set(names)) > 1:
            self.mixed_map_steps.append(len(self.steps) - 1)
