"""Load and health of the ranks of a group, and decisions about its expert map."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from sardineyard.experts.load import LoadTracker
from sardineyard.experts.placement import PlacementProblem, UnableToServeError
from sardineyard.experts.rebalance import Rebalancer, RebalanceRules, Verdict
from sardineyard.experts.stragglers import StragglerDetector

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from sardineyard.core.clock import Clock
    from sardineyard.core.ids import Incarnation, RankIndex, UpstreamId
    from sardineyard.document.model import Group
    from sardineyard.experts.maps import Placement
    from sardineyard.experts.rebalance import Decision
    from sardineyard.experts.report import RankReport

_logger = logging.getLogger(__name__)

# Half-life of the load estimates, in rebalance intervals. Longer half-lives followed a
# drift of the load later and moved more bytes: see docs/experts.md.
_HALF_LIFE_INTERVALS = 0.5
# Average tokens per expert at which a load estimate has a noise of 5%.
_MIN_TOKENS_PER_EXPERT = 400


class GroupBalancer:
    """Estimate loads and find slow ranks from reports; decide when to rebalance."""

    def __init__(self, group: Group, clock: Clock) -> None:
        self._group = group
        ranks = len(group.upstreams) * group.ranks_per_upstream
        self._tracker = LoadTracker(
            clock,
            group.experts,
            _HALF_LIFE_INTERVALS * group.rebalance_interval_s,
            _MIN_TOKENS_PER_EXPERT * group.experts,
        )
        self._detector = StragglerDetector(ranks)
        self._rebalancer = Rebalancer(
            clock, RebalanceRules(group.expert_bytes, group.rebalance_bytes_per_s)
        )
        self._busy_s = [0.0] * ranks
        self._tokens = [0.0] * ranks
        self._incarnations: dict[UpstreamId, Incarnation] = {}
        self._step = -1
        self._lost: set[RankIndex] = set()
        self._stalled: set[RankIndex] = set()
        self._problem = ""

    @property
    def stragglers(self) -> tuple[int, ...]:
        """Return the ranks that are significantly slower than the median."""
        return tuple(sorted(self._detector.stragglers))

    @property
    def stalled(self) -> tuple[int, ...]:
        """Return the ranks for which the group has waited since the last report."""
        return tuple(sorted(self._stalled))

    @property
    def problem(self) -> str:
        """Return why the group cannot serve, or an empty string."""
        return self._problem

    def observe(self, reports: Mapping[UpstreamId, RankReport]) -> None:
        """Update loads, stragglers and stalled ranks from the runners' reports."""
        busy, tokens = list(self._busy_s), list(self._tokens)
        restarted = False
        for upstream, report in reports.items():
            incarnation = report.state.incarnation
            restarted |= self._incarnations.get(upstream) != incarnation
            self._incarnations[upstream] = incarnation
            self._tracker.observe(upstream, incarnation, report.expert_tokens)
            for offset, (seconds, count) in enumerate(
                zip(report.busy_s, report.tokens, strict=True)
            ):
                busy[report.first_rank + offset] = seconds
                tokens[report.first_rank + offset] = count
        previous = self._detector.stragglers
        if not restarted:
            self._detector.observe(
                [new - old for new, old in zip(busy, self._busy_s, strict=True)],
                [new - old for new, old in zip(tokens, self._tokens, strict=True)],
            )
        self._busy_s, self._tokens = busy, tokens
        self._log_stragglers(previous)
        self._update_stalled(reports)

    def decide(self, current: Placement | None) -> Decision | None:
        """Return a decision; None if the experts do not fit or no loads are known."""
        loads = self._tracker.loads
        known = sum(loads) > 0
        problem = PlacementProblem(
            loads if known else (1.0,) * self._group.experts,
            self._detector.capacities(self._lost),
            self._group.slots_per_rank,
        )
        try:
            decision = self._rebalancer.decide(problem, current)
        except UnableToServeError as error:
            self._set_problem(str(error))
            return None
        self._set_problem("")
        if not known and decision.verdict is Verdict.REBALANCE:
            # A new coordinator has no load estimates yet.
            return None
        return decision

    def record_commit(self, decision: Decision) -> None:
        """Charge a decision that has come into use to the budget of moved bytes."""
        self._rebalancer.committed(decision)
        _logger.info(
            "expert map changed",
            extra={
                "event": "expert_map_changed",
                "group": self._group.id,
                "verdict": decision.verdict.value,
                "skew_before": round(decision.skew_before, 3),
                "skew_after": round(decision.skew_after, 3),
                "moved_bytes": decision.moved_bytes,
            },
        )

    def _log_stragglers(self, previous: frozenset[int]) -> None:
        now = self._detector.stragglers
        for rank in sorted(now ^ previous):
            is_slow = rank in now
            _logger.warning(
                "rank %d %s a straggler",
                rank,
                "is" if is_slow else "is no longer",
                extra={
                    "event": "straggler" if is_slow else "straggler_recovered",
                    "group": self._group.id,
                    "rank": rank,
                },
            )

    def _update_stalled(self, reports: Mapping[UpstreamId, RankReport]) -> None:
        step = max(report.state.step for report in reports.values())
        self._lost = {rank for report in reports.values() for rank in report.lost}
        late = {rank for report in reports.values() for rank in report.late}
        stalled = late - self._lost if step == self._step else set()
        self._log_stalled(sorted(stalled - self._stalled))
        self._stalled, self._step = stalled, step

    def _log_stalled(self, ranks: Sequence[int]) -> None:
        for rank in ranks:
            _logger.warning(
                "the group is waiting for rank %d at the barrier",
                rank,
                extra={"event": "rank_stalled", "group": self._group.id, "rank": rank},
            )

    def _set_problem(self, problem: str) -> None:
        if problem and problem != self._problem:
            _logger.error(
                "the group cannot serve: %s",
                problem,
                extra={"event": "group_unable_to_serve", "group": self._group.id},
            )
        self._problem = problem
