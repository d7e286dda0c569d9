"""Load, latency and health of the upstreams in an entry's subset."""

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

# Time constant of the decay of a load report: reports arrive every 500 ms, and one
# that is two periods old says little about the current load.
_REPORT_DECAY_S = 1.0
# Weight of a new sample in the moving averages of latency.
_LATENCY_SMOOTHING = 0.1
# Weight of a new load report in the moving average: each is an outdated snapshot, and
# unsmoothed its noise would make the load oscillate between upstreams.
_LOAD_SMOOTHING = 0.2
# Latency assumed before the first response; only ratios between upstreams matter.
_INITIAL_LATENCY_S = 0.02


@dataclass(slots=True, eq=False)
class UpstreamView:
    """Load, latency and state of one upstream."""

    upstream: UpstreamId
    models: frozenset[ModelName]
    failure_domain: FailureDomain
    slots: int
    seed: int
    state: UpstreamState = UpstreamState.LIVE
    in_flight: int = 0
    # Requests of this entry in flight, by index of priority, the most urgent first.
    own: list[int] = field(default_factory=list)
    # Mean seconds per token and per request; zero before the first response.
    latency_s: float = 0.0
    request_s: float = 0.0
    # Requests of other entries that run before a new request, by index of priority;
    # a moving average over load reports.
    others: list[float] = field(default_factory=list)
    # Running and queued requests in the last report.
    reported: int = 0
    reported_at: float = -math.inf


class UpstreamTable:
    """Table of the subset; the time of a lookup does not depend on the fleet size."""

    def __init__(
        self,
        priorities: Sequence[PriorityName] = (),
        outliers: OutlierDetector | None = None,
    ) -> None:
        self._priority_indices = {name: index for index, name in enumerate(priorities)}
        self._views: dict[UpstreamId, UpstreamView] = {}
        self._by_model: dict[ModelName, list[UpstreamView]] = {}
        self._outliers = outliers or OutlierDetector()
        self._usable: dict[ModelName, list[UpstreamView]] = {}
        self._usable_until = -math.inf
        # Used for an upstream that has not sent a response yet.
        self._mean_latency_s = _INITIAL_LATENCY_S

    def __len__(self) -> int:
        return len(self._views)

    def __contains__(self, upstream: UpstreamId) -> bool:
        return upstream in self._views

    @property
    def outliers(self) -> OutlierDetector:
        """Return the outlier detector."""
        return self._outliers

    def set_priorities(self, priorities: Sequence[PriorityName]) -> None:
        """Apply the priorities of a document, the most urgent first."""
        priority_indices = {name: index for index, name in enumerate(priorities)}
        if priority_indices == self._priority_indices:
            return
        self._priority_indices = priority_indices
        for view in self._views.values():
            # The counts restart at zero although requests are in flight; `ended` keeps
            # them from going negative.
            view.own = [0] * self._priority_count
            view.others = [0.0] * self._priority_count

    @property
    def _priority_count(self) -> int:
        return max(1, len(self._priority_indices))

    def priority_index(self, priority: PriorityName | None) -> int:
        """Return the index of a priority; an unknown one is treated as least urgent."""
        if priority is None:
            return self._priority_count - 1
        return self._priority_indices.get(priority, self._priority_count - 1)

    def view(self, upstream: UpstreamId) -> UpstreamView | None:
        """Return the state of one upstream, or None if it is not in the subset."""
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
        """Add an upstream, or update its configuration."""
        existing = self._views.get(upstream)
        if existing is None:
            self._views[upstream] = UpstreamView(
                upstream,
                frozenset(models),
                failure_domain,
                slots,
                candidate_seed(upstream),
                own=[0] * self._priority_count,
                others=[0.0] * self._priority_count,
            )
        else:
            existing.models = frozenset(models)
            existing.failure_domain = failure_domain
            existing.slots = slots
        self._index()

    def remove(self, upstream: UpstreamId) -> None:
        """Remove an upstream that left the subset."""
        if self._views.pop(upstream, None) is not None:
            self._outliers.forget(upstream)
            self._index()

    def set_state(self, upstream: UpstreamId, state: UpstreamState) -> None:
        """Set the state of an upstream, as known from membership and sessions."""
        view = self._views.get(upstream)
        if view is not None and view.state is not state:
            view.state = state
            self._invalidate()

    def report(self, report: LoadReport, now: float) -> None:
        """Apply a load report; `draining` stops new requests immediately."""
        view = self._views.get(report.upstream)
        if view is None:
            return
        view.reported = report.running + report.queued
        for name, priority_index in self._priority_indices.items() or ((None, 0),):
            ahead = float(view.reported)
            wait_s = None if name is None else report.expected_wait_s.get(name)
            if wait_s is not None and view.request_s:
                # Queued work of less urgent priorities does not delay this one.
                delaying_requests = wait_s * view.slots / view.request_s
                ahead = report.running + min(float(report.queued), delaying_requests)
            sample = max(0.0, ahead - self.local_ahead(view, priority_index))
            view.others[priority_index] += _LOAD_SMOOTHING * (
                sample - view.others[priority_index]
            )
        view.reported_at = now
        view.slots = report.slots or view.slots
        if report.draining:
            self.set_state(report.upstream, UpstreamState.LEAVING)
        elif view.state is UpstreamState.LEAVING:
            self.set_state(report.upstream, UpstreamState.LIVE)

    def started(
        self, upstream: UpstreamId, priority: PriorityName | None = None
    ) -> None:
        """Count a request sent to an upstream."""
        view = self._views.get(upstream)
        if view is not None:
            view.in_flight += 1
            view.own[self.priority_index(priority)] += 1

    def ended(self, upstream: UpstreamId, priority: PriorityName | None = None) -> None:
        """Count the end of a request, with any outcome."""
        view = self._views.get(upstream)
        if view is not None:
            view.in_flight = max(0, view.in_flight - 1)
            priority_index = self.priority_index(priority)
            view.own[priority_index] = max(0, view.own[priority_index] - 1)

    def observe(self, upstream: UpstreamId, seconds: float, tokens: int) -> None:
        """Update the latency with the service time of a response, without its wait."""
        self._outliers.success(upstream)
        view = self._views.get(upstream)
        if view is None or seconds <= 0:
            return
        per_token = seconds / max(1, tokens)
        if view.latency_s == 0.0:
            view.latency_s = per_token
            view.request_s = seconds
        view.latency_s += _LATENCY_SMOOTHING * (per_token - view.latency_s)
        view.request_s += _LATENCY_SMOOTHING * (seconds - view.request_s)
        latencies = [each.latency_s for each in self._views.values() if each.latency_s]
        self._mean_latency_s = sum(latencies) / len(latencies)

    def local_ahead(self, view: UpstreamView, priority_index: int) -> int:
        """Return the requests of this entry that are ahead of a new one."""
        return sum(view.own[: priority_index + 1])

    def failed(self, upstream: UpstreamId, now: float) -> None:
        """Record a failure caused by the upstream."""
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
        """Return the upstreams of a model that may receive new requests."""
        if now >= self._usable_until:
            self._usable.clear()
            self._usable_until = self._outliers.next_ejection_end(now)
        found = self._usable.get(model)
        if found is None:
            found = self._usable[model] = self._select(model, now)
        if excluded:
            return [view for view in found if view.upstream not in excluded]
        return found

    def load(
        self,
        view: UpstreamView,
        priority_index: int,
        now: float,
        mean_other_load: float,
    ) -> float:
        """Return the estimated number of requests ahead of a new one.

        Adds the requests of this entry to the reported load of other entries. The
        latter decays towards its mean over the upstreams: decay towards zero would
        send all requests to the upstream with the oldest report.
        """
        age = max(0.0, now - view.reported_at)
        weight = math.exp(-age / _REPORT_DECAY_S)
        others = mean_other_load + weight * (
            view.others[priority_index] - mean_other_load
        )
        return self.local_ahead(view, priority_index) + others

    def cost(
        self,
        view: UpstreamView,
        priority_index: int,
        now: float,
        mean_other_load: float,
    ) -> float:
        """Return the expected time per slot for one more request."""
        latency = view.latency_s or self._mean_latency_s
        load = self.load(view, priority_index, now, mean_other_load)
        # An upstream that fails immediately looks idle, so failures raise its cost.
        # Ejection is not enough: with two upstreams, the cap allows none.
        failures = self._outliers.failures(view.upstream)
        return (load + 1) * (1 + failures) / view.slots * latency

    def mean_other_load(self, views: list[UpstreamView], priority_index: int) -> float:
        """Return the mean reported load of other entries over some upstreams."""
        if not views:
            return 0.0
        return sum(view.others[priority_index] for view in views) / len(views)

    def _select(self, model: ModelName, now: float) -> list[UpstreamView]:
        views = self._by_model.get(model, ())
        live = [view for view in views if view.state is UpstreamState.LIVE]
        # Sending needs a session, so live upstreams always come first. Without any, the
        # fault is likely at this entry, and the suspect ones stay in use.
        candidates = live or [
            view for view in views if view.state is UpstreamState.SUSPECT
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
