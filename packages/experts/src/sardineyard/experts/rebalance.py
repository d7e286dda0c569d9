"""Decision whether a new placement is worth the bytes that it moves."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, unique
from typing import TYPE_CHECKING

from sardineyard.experts.maps import moved_replicas, slowest_time, step_skew
from sardineyard.experts.placement import is_usable, place
from sardineyard.experts.refine import Refiner

if TYPE_CHECKING:
    from sardineyard.core.clock import Clock
    from sardineyard.experts.maps import Placement
    from sardineyard.experts.placement import PlacementProblem


@unique
class Verdict(Enum):
    """Say what was decided about a placement and why."""

    FIRST = "first"
    # A rank was lost or returned, so the map in use is no longer right.
    RANKS_CHANGED = "ranks_changed"
    REBALANCE = "rebalance"
    BALANCED = "balanced"
    NO_GAIN = "no_gain"
    OVER_BUDGET = "over_budget"
    NOT_PAID = "not_paid"


@dataclass(frozen=True, slots=True)
class RebalanceRules:
    """Hold the limits of rebalancing; times in seconds."""

    expert_bytes: int
    bytes_per_s: float
    # Skew that a new placement aims at, and skew above which one is looked for. The
    # distance between them is the hysteresis.
    goal: float = 1.03
    trigger: float = 1.06
    # The trigger rises to this where the ranks have too few slots for the goal, so
    # that no placement is computed at each reading only to find no gain.
    highest_trigger: float = 1.09
    least_gain: float = 0.02
    # Bytes that may be saved up, as seconds of the allowed rate.
    burst_s: float = 10.0
    # Time that the group stands at the barrier while a change is decided.
    switch_pause_s: float = 0.01
    # Share of the step time that loading costs while it lasts.
    loading_slowdown: float = 0.05
    least_life_s: float = 10.0
    longest_life_s: float = 600.0


@dataclass(frozen=True, slots=True)
class Decision:
    """Report one decision with the figures behind it."""

    verdict: Verdict
    placement: Placement | None
    skew_before: float
    skew_after: float
    moved_bytes: int


class Rebalancer:
    """Decide on placements of one group within its budget of moved bytes."""

    def __init__(self, clock: Clock, rules: RebalanceRules) -> None:
        self._clock = clock
        self._rules = rules
        self._allowance = rules.bytes_per_s * rules.burst_s
        self._filled_at = clock.now()
        self._changed_at = clock.now()
        # Time for which a placement stays good, estimated from earlier changes.
        self._life_s = rules.least_life_s
        # Skew of the last placement that was computed.
        self._reached = rules.goal

    @property
    def _trigger(self) -> float:
        rules = self._rules
        raised = self._reached + rules.least_gain
        return min(rules.highest_trigger, max(rules.trigger, raised))

    def decide(self, problem: PlacementProblem, current: Placement | None) -> Decision:
        """Return a decision; raise UnableToServeError when experts do not fit."""
        self._refill()
        if current is None or not is_usable(problem, current):
            verdict = Verdict.FIRST if current is None else Verdict.RANKS_CHANGED
            placement = place(problem, current, self._rules.goal)
            return self._decision(verdict, problem, current, placement)
        before = step_skew(current, problem.loads, problem.capacities)
        if before <= self._trigger:
            return Decision(Verdict.BALANCED, None, before, before, 0)
        placement = place(problem, current, self._rules.goal)
        self._reached = step_skew(placement, problem.loads, problem.capacities)
        if self._bytes(current, placement) > self._allowance:
            placement = self._part_of_the_way(problem, current)
        decision = self._decision(Verdict.REBALANCE, problem, current, placement)
        refused = self._refusal(problem, current, decision)
        if refused is None:
            return decision
        return Decision(refused, None, before, decision.skew_after, 0)

    def committed(self, decision: Decision) -> None:
        """Take the bytes of a placement that is now in use from the budget."""
        now = self._clock.now()
        if decision.verdict is Verdict.REBALANCE:
            lived = now - self._changed_at
            life = 0.7 * self._life_s + 0.3 * lived
            self._life_s = min(
                self._rules.longest_life_s, max(self._rules.least_life_s, life)
            )
        self._changed_at = now
        # A change that was needed to serve at all may overdraw the budget.
        self._allowance -= decision.moved_bytes

    def _refill(self) -> None:
        now = self._clock.now()
        rules = self._rules
        self._allowance = min(
            rules.bytes_per_s * rules.burst_s,
            self._allowance + (now - self._filled_at) * rules.bytes_per_s,
        )
        self._filled_at = now

    def _part_of_the_way(
        self, problem: PlacementProblem, current: Placement
    ) -> Placement:
        replicas = int(max(0.0, self._allowance) // self._rules.expert_bytes)
        refiner = Refiner(problem.loads, problem.capacities, current)
        return refiner.run(self._rules.goal, replicas)

    def _refusal(
        self, problem: PlacementProblem, current: Placement, decision: Decision
    ) -> Verdict | None:
        placement = decision.placement or current
        if decision.moved_bytes > self._allowance:
            return Verdict.OVER_BUDGET
        if decision.skew_before - decision.skew_after < self._rules.least_gain:
            short = self._allowance < self._rules.expert_bytes
            return Verdict.OVER_BUDGET if short else Verdict.NO_GAIN
        slow = slowest_time(current, problem.loads, problem.capacities)
        fast = slowest_time(placement, problem.loads, problem.capacities)
        saved_s = self._life_s * (1.0 - fast / slow)
        loading_s = decision.moved_bytes / self._rules.bytes_per_s
        cost_s = self._rules.switch_pause_s + loading_s * self._rules.loading_slowdown
        return Verdict.NOT_PAID if saved_s <= cost_s else None

    def _bytes(self, current: Placement, placement: Placement) -> int:
        return moved_replicas(current, placement) * self._rules.expert_bytes

    def _decision(
        self,
        verdict: Verdict,
        problem: PlacementProblem,
        current: Placement | None,
        placement: Placement,
    ) -> Decision:
        before = (
            step_skew(current, problem.loads, problem.capacities)
            if current is not None and len(current) == len(problem.capacities)
            else 0.0
        )
        after = step_skew(placement, problem.loads, problem.capacities)
        moved = self._bytes(current or (), placement)
        return Decision(verdict, placement, before, after, moved)
