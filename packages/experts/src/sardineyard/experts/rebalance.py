"""Decision whether a new placement justifies the bytes that it moves."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, unique
from typing import TYPE_CHECKING

from sardineyard.experts.maps import max_step_time, moved_replicas, step_skew
from sardineyard.experts.placement import compute_placement, is_usable
from sardineyard.experts.refine import Refiner

if TYPE_CHECKING:
    from sardineyard.core.clock import Clock
    from sardineyard.experts.maps import Placement
    from sardineyard.experts.placement import PlacementProblem


@unique
class Verdict(Enum):
    """Decision about a placement, with its reason."""

    FIRST = "first"
    # A rank was lost or has returned, so the map in use is no longer valid.
    RANKS_CHANGED = "ranks_changed"
    REBALANCE = "rebalance"
    BALANCED = "balanced"
    NO_GAIN = "no_gain"
    OVER_BUDGET = "over_budget"
    NOT_PAID = "not_paid"


@dataclass(frozen=True, slots=True)
class RebalanceRules:
    """Limits of rebalancing; times in seconds."""

    expert_bytes: int
    bytes_per_s: float
    # Target skew of a new placement, and skew above which one is computed. The
    # difference is the hysteresis.
    target_skew: float = 1.03
    trigger_skew: float = 1.06
    # Upper limit of the trigger. The trigger rises when the ranks have too few slots
    # to reach the target skew; otherwise each decision would compute a placement that
    # gains nothing.
    max_trigger_skew: float = 1.09
    min_gain: float = 0.02
    # Budget that may accumulate, in seconds of the allowed rate.
    burst_s: float = 10.0
    # Time for which the group waits at the step barrier during a change.
    switch_pause_s: float = 0.01
    # Fraction by which loading experts lengthens the steps while it lasts.
    loading_slowdown: float = 0.05
    min_lifetime_s: float = 10.0
    max_lifetime_s: float = 600.0


@dataclass(frozen=True, slots=True)
class Decision:
    """Verdict on a placement, with the figures that led to it."""

    verdict: Verdict
    placement: Placement | None
    skew_before: float
    skew_after: float
    moved_bytes: int


class Rebalancer:
    """Decides on placements of one group within its budget of moved bytes."""

    def __init__(self, clock: Clock, rules: RebalanceRules) -> None:
        self._clock = clock
        self._rules = rules
        self._allowance_bytes = rules.bytes_per_s * rules.burst_s
        self._refilled_at = clock.now()
        self._committed_at = clock.now()
        # Expected time until the next change in seconds, averaged over past changes.
        self._lifetime_s = rules.min_lifetime_s
        # Skew of the last computed placement.
        self._last_computed_skew = rules.target_skew

    @property
    def _trigger_skew(self) -> float:
        rules = self._rules
        raised = self._last_computed_skew + rules.min_gain
        return min(rules.max_trigger_skew, max(rules.trigger_skew, raised))

    def decide(self, problem: PlacementProblem, current: Placement | None) -> Decision:
        """Return a decision; raise UnableToServeError if the experts do not fit."""
        self._refill()
        if current is None or not is_usable(problem, current):
            verdict = Verdict.FIRST if current is None else Verdict.RANKS_CHANGED
            placement = compute_placement(problem, current, self._rules.target_skew)
            return self._decision(verdict, problem, current, placement)
        before = step_skew(current, problem.loads, problem.capacities)
        if before <= self._trigger_skew:
            return Decision(Verdict.BALANCED, None, before, before, 0)
        placement = compute_placement(problem, current, self._rules.target_skew)
        self._last_computed_skew = step_skew(
            placement, problem.loads, problem.capacities
        )
        if self._moved_bytes(current, placement) > self._allowance_bytes:
            placement = self._partial_rebalance(problem, current)
        decision = self._decision(Verdict.REBALANCE, problem, current, placement)
        rejection = self._rejection(problem, current, decision)
        if rejection is None:
            return decision
        return Decision(rejection, None, before, decision.skew_after, 0)

    def committed(self, decision: Decision) -> None:
        """Deduct the bytes of a placement that is now in use from the budget."""
        now = self._clock.now()
        if decision.verdict is Verdict.REBALANCE:
            lifetime_s = now - self._committed_at
            average_s = 0.7 * self._lifetime_s + 0.3 * lifetime_s
            self._lifetime_s = min(
                self._rules.max_lifetime_s, max(self._rules.min_lifetime_s, average_s)
            )
        self._committed_at = now
        # A change without which the group cannot serve may overdraw the budget.
        self._allowance_bytes -= decision.moved_bytes

    def _refill(self) -> None:
        now = self._clock.now()
        rules = self._rules
        self._allowance_bytes = min(
            rules.bytes_per_s * rules.burst_s,
            self._allowance_bytes + (now - self._refilled_at) * rules.bytes_per_s,
        )
        self._refilled_at = now

    def _partial_rebalance(
        self, problem: PlacementProblem, current: Placement
    ) -> Placement:
        replicas = int(max(0.0, self._allowance_bytes) // self._rules.expert_bytes)
        refiner = Refiner(problem.loads, problem.capacities, current)
        return refiner.run(self._rules.target_skew, replicas)

    def _rejection(
        self, problem: PlacementProblem, current: Placement, decision: Decision
    ) -> Verdict | None:
        placement = decision.placement or current
        if decision.moved_bytes > self._allowance_bytes:
            return Verdict.OVER_BUDGET
        if decision.skew_before - decision.skew_after < self._rules.min_gain:
            is_exhausted = self._allowance_bytes < self._rules.expert_bytes
            return Verdict.OVER_BUDGET if is_exhausted else Verdict.NO_GAIN
        time_before = max_step_time(current, problem.loads, problem.capacities)
        time_after = max_step_time(placement, problem.loads, problem.capacities)
        saved_s = self._lifetime_s * (1.0 - time_after / time_before)
        loading_s = decision.moved_bytes / self._rules.bytes_per_s
        cost_s = self._rules.switch_pause_s + loading_s * self._rules.loading_slowdown
        return Verdict.NOT_PAID if saved_s <= cost_s else None

    def _moved_bytes(self, current: Placement, placement: Placement) -> int:
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
        moved_bytes = self._moved_bytes(current or (), placement)
        return Decision(verdict, placement, before, after, moved_bytes)
