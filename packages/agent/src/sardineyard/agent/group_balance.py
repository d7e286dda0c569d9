"""What the coordinator learns about the ranks and decides about their map."""

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

# Intervals between two readings after which half of a load counts. Longer half-lives
# followed a drift later and moved more bytes: see docs/experts.md.
_HALF_LIFE_INTERVALS = 0.5
# Tokens of an average expert that an estimate needs for a noise of 5%.
_LEAST_TOKENS_PER_EXPERT = 400


class GroupBalance:
    """Watch the ranks of one group through the reports of its runners."""

    def __init__(self, group: Group, clock: Clock) -> None:
        self._group = group
        ranks = len(group.upstreams) * group.ranks_per_upstream
        self._tracker = LoadTracker(
            clock,
            group.experts,
            _HALF_LIFE_INTERVALS * group.rebalance_interval_s,
            _LEAST_TOKENS_PER_EXPERT * group.experts,
        )
        self._detector = StragglerDetector(ranks)
        self._rebalancer = Rebalancer(
            clock, RebalanceRules(group.expert_bytes, group.rebalance_bytes_per_s)
        )
        self._busy = [0.0] * ranks
        self._tokens = [0.0] * ranks
        self._incarnations: dict[UpstreamId, Incarnation] = {}
        self._step = -1
        self._lost: set[RankIndex] = set()
        self._late: set[RankIndex] = set()
        self._problem = ""

    @property
    def stragglers(self) -> tuple[int, ...]:
        """Return the ranks that are slower than the others."""
        return tuple(sorted(self._detector.stragglers))

    @property
    def stalled(self) -> tuple[int, ...]:
        """Return the ranks for which the others have waited since the last report."""
        return tuple(sorted(self._late))

    @property
    def problem(self) -> str:
        """Return why the group cannot serve, or nothing."""
        return self._problem

    def observe(self, reports: Mapping[UpstreamId, RankReport]) -> None:
        """Take the reports of all runners of the group into account."""
        busy, tokens = list(self._busy), list(self._tokens)
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
        before = self._detector.stragglers
        if not restarted:
            self._detector.observe(
                [new - old for new, old in zip(busy, self._busy, strict=True)],
                [new - old for new, old in zip(tokens, self._tokens, strict=True)],
            )
        self._busy, self._tokens = busy, tokens
        self._log_stragglers(before)
        self._watch_barrier(reports)

    def decide(self, current: Placement | None) -> Decision | None:
        """Return a decision, or None when the group cannot hold its experts."""
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
            # A new coordinator has no loads yet.
            return None
        return decision

    def committed(self, decision: Decision) -> None:
        """Count a decision that is now in use against the budget."""
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

    def _log_stragglers(self, before: frozenset[int]) -> None:
        now = self._detector.stragglers
        for rank in sorted(now ^ before):
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

    def _watch_barrier(self, reports: Mapping[UpstreamId, RankReport]) -> None:
        step = max(report.state.step for report in reports.values())
        self._lost = {rank for report in reports.values() for rank in report.lost}
        late = {rank for report in reports.values() for rank in report.late}
        stalled = late - self._lost if step == self._step else set()
        self._log_waiting(sorted(stalled - self._late))
        self._late, self._step = stalled, step

    def _log_waiting(self, ranks: Sequence[int]) -> None:
        for rank in ranks:
            _logger.warning(
                "the group waits for rank %d",
                rank,
                extra={"event": "rank_stalled", "group": self._group.id, "rank": rank},
            )

    def _set_problem(self, problem: str) -> None:
        if problem and problem != self._problem:
            _logger.error(
                "group is unable to serve: %s",
                problem,
                extra={"event": "group_unable_to_serve", "group": self._group.id},
            )
        self._problem = problem
