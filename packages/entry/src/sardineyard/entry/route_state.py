"""What the router decides with: table, policy, retry budget and quarantine."""

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
from sardineyard.routing.quarantine import Quarantine, Treatment
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

# Errors that say something about the upstream, not about the request or the load.
_UPSTREAM_FAULTS = frozenset(
    {ErrorKind.UPSTREAM_LOST, ErrorKind.UPSTREAM_PROTOCOL, ErrorKind.NO_UPSTREAM}
)
_FIRST_SHARE = 0.1


class RouteState:
    """Decide on upstreams and retries; the router task owns it."""

    def __init__(
        self, process: ProcessId, policy: Policy, clock: Clock, random: Random
    ) -> None:
        self.table = UpstreamTable()
        self.budgets = RetryBudgets(clock, _FIRST_SHARE)
        self.quarantine = Quarantine(clock)
        self._process = process
        self._policy = policy
        self._clock = clock
        self._random = random
        self._ownership = Ownership()
        # The suspect request that runs alone and the upstream that it has.
        self._isolated: tuple[RequestId, UpstreamId] | None = None

    def adopt(self, document: Document) -> list[Upstream]:
        """Follow a document and return the upstreams that need a session."""
        limits = document.limits
        self.budgets.configure(limits.retry_budget_share)
        self.quarantine.configure(limits.quarantine_crashes, limits.quarantine_s)
        self.table.set_priorities([priority.name for priority in document.priorities])
        self._ownership = Ownership.of(document.services)
        wanted = self._subset(document)
        for view in self.table.views():
            if view.upstream not in wanted:
                self.table.remove(view.upstream)
        served: dict[UpstreamId, list[ModelName]] = {}
        for service in document.services:
            for name in service.upstreams:
                served.setdefault(name, []).append(_service_model(service.name))
        for upstream in wanted.values():
            self.table.add(
                upstream.id,
                [*upstream.models, *served.get(upstream.id, [])],
                upstream.failure_domain,
                upstream.slots,
            )
        return list(wanted.values())

    def pick(
        self, request: Generation | ServiceCall, excluded: frozenset[UpstreamId]
    ) -> Result[UpstreamId, RequestError]:
        """Return the upstream for one attempt and count it as in flight."""
        treatment = self.quarantine.treatment(request.fingerprint)
        if treatment is Treatment.REFUSED:
            return Failure(RequestError(ErrorKind.QUARANTINED))
        isolate = treatment is Treatment.ISOLATED
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

    def ended(self, message: AttemptEnded) -> None:
        """Learn from the end of one attempt."""
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

    def may_retry(self, cause: RequestError) -> bool:
        """Take one retry out of the budget of the entry and of the hop."""
        lost = cause.kind is ErrorKind.UPSTREAM_LOST
        return self.budgets.take(Hop.RESUME if lost else Hop.ENTRY_TO_AGENT)

    def _avoid_isolated(
        self, request: Generation | ServiceCall, excluded: frozenset[UpstreamId]
    ) -> frozenset[UpstreamId]:
        assert self._isolated is not None
        wider = excluded | {self._isolated[1]}
        usable = self.table.usable(_model_of(request), self._clock.now(), wider)
        return wider if usable else excluded

    @singledispatchmethod
    def _choose(
        self, request: object, excluded: frozenset[UpstreamId], *, isolate: bool
    ) -> Result[UpstreamId, RequestError]:
        raise TypeError(f"unexpected request {type(request).__name__}")

    @_choose.register(Generation)
    def _choose_runner(
        self, request: Generation, excluded: frozenset[UpstreamId], *, isolate: bool
    ) -> Result[UpstreamId, RequestError]:
        route = RouteRequest(
            request.model, request.priority, request.prompt, request.adapter, excluded
        )
        return self._routed(route, isolate=isolate)

    @_choose.register(ServiceCall)
    def _choose_service(
        self, request: ServiceCall, excluded: frozenset[UpstreamId], *, isolate: bool
    ) -> Result[UpstreamId, RequestError]:
        if request.idempotency_key is not None:
            return self._owner(request)
        route = RouteRequest(
            _service_model(request.service), request.priority, excluded=excluded
        )
        return self._routed(route, isolate=isolate)

    def _routed(
        self, route: RouteRequest, *, isolate: bool
    ) -> Result[UpstreamId, RequestError]:
        now = self._clock.now()
        if isolate:
            # The upstream with the least work risks the fewest other requests.
            views = self.table.usable(route.model, now, route.excluded)
            view = min(views, key=lambda view: view.in_flight, default=None)
        else:
            view = choose(self._policy, self.table, route, now, self._random)
        if view is None:
            return Failure(RequestError(ErrorKind.NO_UPSTREAM))
        return Success(view.upstream)

    def _owner(self, request: ServiceCall) -> Result[UpstreamId, RequestError]:
        key = parse_key(request.idempotency_key or "").unwrap()
        scoped = ScopedKey(request.team, request.service, key)
        owner = self._ownership.place(scoped).owner
        view = self.table.view(owner) if owner is not None else None
        # An owner that drains still has the answers of the keys that it knows.
        if view is None or view.state in (UpstreamState.GONE, UpstreamState.SUSPECT):
            return Failure(RequestError(ErrorKind.OWNER_UNAVAILABLE))
        return Success(view.upstream)

    def _subset(self, document: Document) -> dict[UpstreamId, Upstream]:
        """Return a part of each model's upstreams and all upstreams of services.

        The owner of a key may be any upstream of its service.
        """
        known = {upstream.id: upstream for upstream in document.upstreams}
        size = document.limits.subset_size
        chosen = {name for service in document.services for name in service.upstreams}
        for model in {model for one in known.values() for model in one.models}:
            names = [name for name, one in known.items() if model in one.models]
            chosen.update(choose_subset(self._process, names, size))
        return {name: one for name, one in known.items() if name in chosen}


def _service_model(service: ServiceName) -> ModelName:
    """Return the name under which the table holds the upstreams of a service."""
    return ModelName(f"service/{service}")


def _model_of(request: Generation | ServiceCall) -> ModelName:
    if isinstance(request, Generation):
        return request.model
    return _service_model(request.service)
