"""What an entry knows about the upstreams of its subset."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from sardineyard.core.states import UpstreamState
from sardineyard.routing.outliers import OutlierDetector
from sardineyard.routing.subset import candidate_seed

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Sequence

    from sardineyard.core.ids import FailureDomain, ModelName, PriorityName, UpstreamId
    from sardineyard.core.requests import LoadReport

# Reports arrive every 500 ms; one that is two periods old says little.
_REPORT_LIFE_S = 1.0
_SMOOTHING = 0.1
# One report shows a moment that has passed; its noise would send work to and fro.
_REPORT_SMOOTHING = 0.2
# Latency assumed before the first answer; only ratios between upstreams count.
_FIRST_LATENCY_S = 0.02


@dataclass(slots=True, eq=False)
class UpstreamView:
    """Hold the load, latency and state of one upstream."""

    upstream: UpstreamId
    models: frozenset[ModelName]
    failure_domain: FailureDomain
    slots: int
    seed: int
    state: UpstreamState = UpstreamState.LIVE
    in_flight: int = 0
    # Own requests in flight by rank of priority, the most urgent first.
    own: list[int] = field(default_factory=list)
    # Seconds per token and per request; zero when no answer was seen.
    latency_s: float = 0.0
    request_s: float = 0.0
    # Load by other entries in the last reports that goes before a request of each
    # rank of priority.
    others: list[float] = field(default_factory=list)
    reported: int = 0
    reported_at: float = -math.inf


class UpstreamTable:
    """Keep load, latency and health; the cost of a read depends on the subset only."""

    def __init__(
        self,
        priorities: Sequence[PriorityName] = (),
        outliers: OutlierDetector | None = None,
    ) -> None:
        self._ranks = {name: rank for rank, name in enumerate(priorities)}
        self._views: dict[UpstreamId, UpstreamView] = {}
        self._by_model: dict[ModelName, list[UpstreamView]] = {}
        self._outliers = outliers or OutlierDetector()
        self._usable: dict[ModelName, list[UpstreamView]] = {}
        self._usable_until = -math.inf
        # Stands in for an upstream that has not answered yet.
        self._mean_latency_s = _FIRST_LATENCY_S

    def __len__(self) -> int:
        return len(self._views)

    def __contains__(self, upstream: UpstreamId) -> bool:
        return upstream in self._views

    @property
    def outliers(self) -> OutlierDetector:
        """Return the detector of failing upstreams."""
        return self._outliers

    def set_priorities(self, priorities: Sequence[PriorityName]) -> None:
        """Follow the priorities of a document, the most urgent first."""
        ranks = {name: rank for rank, name in enumerate(priorities)}
        if ranks == self._ranks:
            return
        self._ranks = ranks
        for view in self._views.values():
            # Counts of open requests restart; their ends are never below zero.
            view.own = [0] * self._width
            view.others = [0.0] * self._width

    @property
    def _width(self) -> int:
        return max(1, len(self._ranks))

    def rank(self, priority: PriorityName | None) -> int:
        """Return the place of a priority; an unknown one is the least urgent."""
        if priority is None:
            return self._width - 1
        return self._ranks.get(priority, self._width - 1)

    def view(self, upstream: UpstreamId) -> UpstreamView | None:
        """Return what is known about one upstream."""
        return self._views.get(upstream)

    def views(self) -> list[UpstreamView]:
        """Return all upstreams of the subset."""
        return list(self._views.values())

    def add(
        self,
        upstream: UpstreamId,
        models: Iterable[ModelName],
        failure_domain: FailureDomain,
        slots: int,
    ) -> None:
        """Add an upstream, or update what the document says about it."""
        known = self._views.get(upstream)
        if known is None:
            self._views[upstream] = UpstreamView(
                upstream,
                frozenset(models),
                failure_domain,
                slots,
                candidate_seed(upstream),
                own=[0] * self._width,
                others=[0.0] * self._width,
            )
        else:
            known.models = frozenset(models)
            known.failure_domain = failure_domain
            known.slots = slots
        self._index()

    def remove(self, upstream: UpstreamId) -> None:
        """Forget an upstream that is no longer in the subset."""
        if self._views.pop(upstream, None) is not None:
            self._outliers.forget(upstream)
            self._index()

    def set_state(self, upstream: UpstreamId, state: UpstreamState) -> None:
        """Record what membership and sessions say about an upstream."""
        view = self._views.get(upstream)
        if view is not None and view.state is not state:
            view.state = state
            self._invalidate()

    def report(self, report: LoadReport, now: float) -> None:
        """Take over a load report; `draining` stops new work at once."""
        view = self._views.get(report.upstream)
        if view is None:
            return
        view.reported = report.running + report.queued
        for name, rank in self._ranks.items() or ((None, 0),):
            ahead = float(view.reported)
            wait_s = None if name is None else report.expected_wait_s.get(name)
            if wait_s is not None and view.request_s:
                # The queue of less urgent work does not delay this priority.
                waiting = wait_s * view.slots / view.request_s
                ahead = report.running + min(float(report.queued), waiting)
            new = max(0.0, ahead - self.own_ahead(view, rank))
            view.others[rank] += _REPORT_SMOOTHING * (new - view.others[rank])
        view.reported_at = now
        view.slots = report.slots or view.slots
        if report.draining:
            self.set_state(report.upstream, UpstreamState.LEAVING)
        elif view.state is UpstreamState.LEAVING:
            self.set_state(report.upstream, UpstreamState.LIVE)

    def started(
        self, upstream: UpstreamId, priority: PriorityName | None = None
    ) -> None:
        """Count a request that was sent."""
        view = self._views.get(upstream)
        if view is not None:
            view.in_flight += 1
            view.own[self.rank(priority)] += 1

    def ended(self, upstream: UpstreamId, priority: PriorityName | None = None) -> None:
        """Count the end of a request, whatever it was."""
        view = self._views.get(upstream)
        if view is not None:
            view.in_flight = max(0, view.in_flight - 1)
            rank = self.rank(priority)
            view.own[rank] = max(0, view.own[rank] - 1)

    def observe(self, upstream: UpstreamId, seconds: float, tokens: int) -> None:
        """Learn the speed of an upstream from an answer, without its wait."""
        self._outliers.success(upstream)
        view = self._views.get(upstream)
        if view is None or seconds <= 0:
            return
        per_token = seconds / max(1, tokens)
        if view.latency_s == 0.0:
            view.latency_s = per_token
            view.request_s = seconds
        view.latency_s += _SMOOTHING * (per_token - view.latency_s)
        view.request_s += _SMOOTHING * (seconds - view.request_s)
        known = [one.latency_s for one in self._views.values() if one.latency_s]
        self._mean_latency_s = sum(known) / len(known)

    def own_ahead(self, view: UpstreamView, rank: int) -> int:
        """Return the own requests at an upstream that go before a rank's next."""
        return sum(view.own[: rank + 1])

    def failed(self, upstream: UpstreamId, now: float) -> None:
        """Record a failure that is the upstream's fault."""
        if upstream in self._views and self._outliers.failure(
            upstream, now, len(self._views)
        ):
            self._invalidate()

    def usable(
        self,
        model: ModelName,
        now: float,
        excluded: Collection[UpstreamId] = (),
    ) -> list[UpstreamView]:
        """Return the upstreams of a model that may get new work."""
        if now >= self._usable_until:
            self._usable.clear()
            self._usable_until = self._outliers.next_return(now)
        found = self._usable.get(model)
        if found is None:
            found = self._usable[model] = self._select(model, now)
        if excluded:
            return [view for view in found if view.upstream not in excluded]
        return found

    def load(
        self, view: UpstreamView, rank: int, now: float, mean_others: float
    ) -> float:
        """Return the requests at an upstream, by own count and aged report.

        An old report fades towards the mean of the others: fading towards zero would
        send everything to the upstream that has not reported for longest.
        """
        age = max(0.0, now - view.reported_at)
        weight = math.exp(-age / _REPORT_LIFE_S)
        others = mean_others + weight * (view.others[rank] - mean_others)
        return self.own_ahead(view, rank) + others

    def cost(
        self, view: UpstreamView, rank: int, now: float, mean_others: float
    ) -> float:
        """Return the expected time per slot that one more request would see."""
        latency = view.latency_s or self._mean_latency_s
        load = self.load(view, rank, now, mean_others)
        # An upstream that fails at once looks idle, so failures count as load; with
        # two upstreams the cap leaves no room to eject one.
        failures = self._outliers.failures(view.upstream)
        return (load + 1) * (1 + failures) / view.slots * latency

    def mean_others(self, views: list[UpstreamView], rank: int) -> float:
        """Return the mean load by other entries in the last reports."""
        if not views:
            return 0.0
        return sum(view.others[rank] for view in views) / len(views)

    def _select(self, model: ModelName, now: float) -> list[UpstreamView]:
        known = self._by_model.get(model, ())
        live = [view for view in known if view.state is UpstreamState.LIVE]
        # A session is needed to send anything, so an upstream that answers is always
        # the better choice. Without any, the fault is likely on this side, and the
        # last known set stays in use.
        candidates = live or [
            view for view in known if view.state is UpstreamState.SUSPECT
        ]
        healthy = [
            view
            for view in candidates
            if not self._outliers.is_ejected(view.upstream, now)
        ]
        return healthy or candidates

    def _index(self) -> None:
        self._by_model.clear()
        for view in self._views.values():
            for model in view.models:
                self._by_model.setdefault(model, []).append(view)
        self._invalidate()

    def _invalidate(self) -> None:
        self._usable_until = -math.inf
