"""Routing decisions: upstream table, policy, retry budgets and quarantine."""

from __future__ import annotations

from functools import singledispatchmethod
from typing import TYPE_CHECKING

from returns.result import Failure, Success

from sardineyard.core.errors import ErrorKind, RequestError
from sardineyard.core.ids import ModelName
from sardineyard.core.requests import Generation, ServiceCall
from sardineyard.core.states import UpstreamState
from sardineyard.idempotency.keys import ScopedKey, parse_key
from sardineyard.idempotency.ownership import Ownership
from sardineyard.routing.policies import RouteRequest, choose
from sardineyard.routing.quarantine import Quarantine, QuarantineStatus
from sardineyard.routing.retries import Hop, RetryBudgets
from sardineyard.routing.subset import choose_subset
from sardineyard.routing.table import UpstreamTable

if TYPE_CHECKING:
    from random import Random

    from returns.result import Result

    from sardineyard.core.clock import Clock
    from sardineyard.core.ids import ProcessId, RequestId, ServiceName, UpstreamId
    from sardineyard.document.model import Document, Upstream
    from sardineyard.entry.messages import AttemptEnded
    from sardineyard.routing.policies import Policy

# Errors caused by a fault of the upstream, not by the request or by the load.
_UPSTREAM_FAULTS = frozenset(
    {ErrorKind.UPSTREAM_LOST, ErrorKind.UPSTREAM_PROTOCOL, ErrorKind.NO_UPSTREAM}
)
# Retries as a share of successes, until the first document sets it.
_INITIAL_RETRY_SHARE = 0.1


class RouteState:
    """Picks upstreams and grants retries; owned by the router task."""

    def __init__(
        self, process: ProcessId, policy: Policy, clock: Clock, random: Random
    ) -> None:
        self.table = UpstreamTable()
        self.budgets = RetryBudgets(clock, _INITIAL_RETRY_SHARE)
        self.quarantine = Quarantine(clock)
        self._process = process
        self._policy = policy
        self._clock = clock
        self._random = random
        self._ownership = Ownership()
        # The isolated request that may crash upstreams, and the upstream it runs on.
        self._isolated: tuple[RequestId, UpstreamId] | None = None

    def adopt(self, document: Document) -> list[Upstream]:
        """Apply a document; return the upstreams to which the entry needs a session."""
        limits = document.limits
        self.budgets.configure(limits.retry_budget_share)
        self.quarantine.configure(limits.quarantine_crashes, limits.quarantine_s)
        self.table.set_priorities([priority.name for priority in document.priorities])
        self._ownership = Ownership.from_services(document.services)
        selected = self._select_upstreams(document)
        for view in self.table.views():
            if view.upstream not in selected:
                self.table.remove(view.upstream)
        service_models: dict[UpstreamId, list[ModelName]] = {}
        for service in document.services:
            for name in service.upstreams:
                service_models.setdefault(name, []).append(_service_model(service.name))
        for upstream in selected.values():
            self.table.add(
                upstream.id,
                [*upstream.models, *service_models.get(upstream.id, [])],
                upstream.failure_domain,
                upstream.slots,
            )
        return list(selected.values())

    def pick(
        self, request: Generation | ServiceCall, excluded: frozenset[UpstreamId]
    ) -> Result[UpstreamId, RequestError]:
        """Return the upstream for one attempt and count it as in flight."""
        status = self.quarantine.status(request.fingerprint)
        if status is QuarantineStatus.REFUSED:
            return Failure(RequestError(ErrorKind.QUARANTINED))
        isolate = status is QuarantineStatus.ISOLATED
        if isolate and self._isolated is not None:
            detail = "another request under suspicion runs now"
            return Failure(RequestError(ErrorKind.OVERLOADED, detail))
        if self._isolated is not None:
            excluded = self._avoid_isolated(request, excluded)
        picked = self._choose(request, excluded, isolate=isolate)
        match picked:
            case Success(upstream):
                self.table.started(upstream, request.priority)
                if isolate:
                    self._isolated = (request.request_id, upstream)
        return picked

    def record_attempt(self, message: AttemptEnded) -> None:
        """Update load, retry budgets and quarantine with the result of one attempt."""
        request, upstream = message.request, message.upstream
        self.table.ended(upstream, request.priority)
        if self._isolated is not None and self._isolated[0] == request.request_id:
            self._isolated = None
        if message.error is None:
            self.budgets.succeeded(Hop.ENTRY_TO_AGENT, Hop.RESUME)
            self.quarantine.succeeded(request.fingerprint)
            self.table.observe(upstream, message.service_s, message.tokens)
            return
        if message.error.kind in _UPSTREAM_FAULTS:
            self.table.failed(upstream, self._clock.now())
        if message.error.kind is ErrorKind.UPSTREAM_LOST:
            self.quarantine.crashed(upstream, [request.fingerprint])

    def acquire_retry(self, cause: RequestError) -> bool:
        """Take one retry from the budgets of the entry and the hop if both allow it."""
        lost = cause.kind is ErrorKind.UPSTREAM_LOST
        return self.budgets.take(Hop.RESUME if lost else Hop.ENTRY_TO_AGENT)

    def _avoid_isolated(
        self, request: Generation | ServiceCall, excluded: frozenset[UpstreamId]
    ) -> frozenset[UpstreamId]:
        assert self._isolated is not None
        extended = excluded | {self._isolated[1]}
        usable = self.table.usable(_model_of(request), self._clock.now(), extended)
        return extended if usable else excluded

    @singledispatchmethod
    def _choose(
        self, request: object, excluded: frozenset[UpstreamId], *, isolate: bool
    ) -> Result[UpstreamId, RequestError]:
        raise TypeError(f"unexpected request {type(request).__name__}")

    @_choose.register(Generation)
    def _choose_for_generation(
        self, request: Generation, excluded: frozenset[UpstreamId], *, isolate: bool
    ) -> Result[UpstreamId, RequestError]:
        route = RouteRequest(
            request.model, request.priority, request.prompt, request.adapter, excluded
        )
        return self._choose_for_route(route, isolate=isolate)

    @_choose.register(ServiceCall)
    def _choose_for_service(
        self, request: ServiceCall, excluded: frozenset[UpstreamId], *, isolate: bool
    ) -> Result[UpstreamId, RequestError]:
        if request.idempotency_key is not None:
            return self._choose_owner(request)
        route = RouteRequest(
            _service_model(request.service), request.priority, excluded=excluded
        )
        return self._choose_for_route(route, isolate=isolate)

    def _choose_for_route(
        self, route: RouteRequest, *, isolate: bool
    ) -> Result[UpstreamId, RequestError]:
        now = self._clock.now()
        if isolate:
            # A crash of the least loaded upstream affects the fewest other requests.
            views = self.table.usable(route.model, now, route.excluded)
            view = min(views, key=lambda view: view.in_flight, default=None)
        else:
            view = choose(self._policy, self.table, route, now, self._random)
        if view is None:
            return Failure(RequestError(ErrorKind.NO_UPSTREAM))
        return Success(view.upstream)

    def _choose_owner(self, request: ServiceCall) -> Result[UpstreamId, RequestError]:
        key = parse_key(request.idempotency_key or "").unwrap()
        scoped = ScopedKey(request.team, request.service, key)
        owner = self._ownership.owners_of(scoped).owner
        view = self.table.view(owner) if owner is not None else None
        # A draining owner can still replay the responses of the keys in its table.
        if view is None or view.state in (UpstreamState.GONE, UpstreamState.SUSPECT):
            return Failure(RequestError(ErrorKind.OWNER_UNAVAILABLE))
        return Success(view.upstream)

    def _select_upstreams(self, document: Document) -> dict[UpstreamId, Upstream]:
        """Return a subset of each model's upstreams and all upstreams of services.

        Services need all, because any of their upstreams may own a key.
        """
        by_id = {upstream.id: upstream for upstream in document.upstreams}
        size = document.limits.subset_size
        chosen = {name for service in document.services for name in service.upstreams}
        for model in {
            model for upstream in by_id.values() for model in upstream.models
        }:
            names = [
                name for name, upstream in by_id.items() if model in upstream.models
            ]
            chosen.update(choose_subset(self._process, names, size))
        return {name: upstream for name, upstream in by_id.items() if name in chosen}


def _service_model(service: ServiceName) -> ModelName:
    """Return the model name that stands for a service in the upstream table."""
    return ModelName(f"service/{service}")


def _model_of(request: Generation | ServiceCall) -> ModelName:
    if isinstance(request, Generation):
        return request.model
    return _service_model(request.service)
