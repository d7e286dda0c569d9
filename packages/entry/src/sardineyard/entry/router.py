"""Task that owns the table of upstreams and chooses one for each attempt."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from functools import singledispatchmethod
from typing import TYPE_CHECKING, Any

from returns.result import Failure, Success

from sardineyard.configsync.messages import DocumentAdopted
from sardineyard.core.address import parse_address
from sardineyard.core.errors import ErrorKind, RequestError
from sardineyard.core.mailbox import Mailbox
from sardineyard.core.requests import Generation, ServiceCall
from sardineyard.core.states import UpstreamState
from sardineyard.entry.agent_link import AgentLink
from sardineyard.entry.messages import (
    AskRetry,
    AttemptEnded,
    DumpRouter,
    LinkDown,
    LinkUp,
    LoadReceived,
    Pick,
    PickUpstream,
)
from sardineyard.idempotency.keys import ScopedKey, parse_key
from sardineyard.idempotency.ownership import Ownership
from sardineyard.telemetry.state import UpstreamView

if TYPE_CHECKING:
    from collections.abc import Iterable
    from random import Random

    from returns.result import Result

    from sardineyard.core.clock import Clock
    from sardineyard.core.control import ControlMeter
    from sardineyard.core.ids import Incarnation, ServiceName, UpstreamId
    from sardineyard.core.requests import LoadReport
    from sardineyard.document.model import Service, Upstream
    from sardineyard.wire.control import Hello

_RETRY_TOKENS_PER_SUCCESS = 0.1
_MAX_RETRY_TOKENS = 10.0


@dataclass(slots=True)
class _Known:
    """Hold what the router knows about one upstream."""

    upstream: Upstream
    link: AgentLink
    task: asyncio.Task[None]
    incarnation: Incarnation | None = None
    in_flight: int = 0
    load: LoadReport | None = None

    @property
    def usable(self) -> bool:
        """Return whether new work may go to the upstream."""
        draining = self.load is not None and self.load.draining
        return self.incarnation is not None and not draining


class Router:
    """Choose upstreams by power of two choices and own the links to their agents."""

    def __init__(
        self,
        hello: Hello,
        clock: Clock,
        random: Random,
        meter: ControlMeter,
    ) -> None:
        self.mailbox: Mailbox[Any] = Mailbox()
        self._hello = hello
        self._clock = clock
        self._random = random
        self._meter = meter
        self._known: dict[UpstreamId, _Known] = {}
        self._services: dict[ServiceName, Service] = {}
        self._ownership = Ownership()
        self._parked: list[PickUpstream] = []
        self._retry_tokens = _MAX_RETRY_TOKENS

    async def run(self) -> None:
        """Handle messages for ever."""
        try:
            while True:
                self._handle(await self.mailbox.receive())
        finally:
            for known in self._known.values():
                known.task.cancel()

    @singledispatchmethod
    def _handle(self, message: object) -> None:
        raise TypeError(f"unexpected message {type(message).__name__}")

    @_handle.register(DocumentAdopted)
    def _document_adopted(self, message: DocumentAdopted) -> None:
        document = message.document
        self._services = {service.name: service for service in document.services}
        self._ownership = Ownership.of(document.services)
        wanted = {upstream.id: upstream for upstream in document.upstreams}
        for upstream_id, known in list(self._known.items()):
            replacement = wanted.get(upstream_id)
            if (
                replacement is None
                or replacement.agent_address != known.upstream.agent_address
            ):
                known.task.cancel()
                del self._known[upstream_id]
            else:
                known.upstream = replacement
        for upstream in wanted.values():
            if upstream.id not in self._known:
                self._add(upstream)
        self._pick_for_parked()

    @_handle.register(PickUpstream)
    def _pick_upstream(self, message: PickUpstream) -> None:
        picked = self._pick(message.request, message.excluded)
        match picked:
            case Success(known):
                known.in_flight += 1
                assert known.incarnation is not None
                pick = Pick(known.upstream.id, known.incarnation, known.link.mailbox)
                message.reply.send(Success(pick))
            case Failure(error) if error.kind is ErrorKind.OWNER_UNAVAILABLE:
                # Only the owner may run the call, so it waits for the owner's return.
                self._parked = [each for each in self._parked if not each.reply.done]
                self._parked.append(message)
            case Failure(error):
                message.reply.send(Failure(error))

    @_handle.register(AttemptEnded)
    def _attempt_ended(self, message: AttemptEnded) -> None:
        known = self._known.get(message.upstream)
        if known is not None:
            known.in_flight = max(0, known.in_flight - 1)
        if message.error is None:
            self._retry_tokens = min(
                _MAX_RETRY_TOKENS, self._retry_tokens + _RETRY_TOKENS_PER_SUCCESS
            )

    @_handle.register(AskRetry)
    def _ask_retry(self, message: AskRetry) -> None:
        allowed = self._retry_tokens >= 1.0
        if allowed:
            self._retry_tokens -= 1.0
        message.reply.send(allowed)

    @_handle.register(LinkUp)
    def _link_up(self, message: LinkUp) -> None:
        known = self._known.get(message.upstream)
        if known is not None:
            known.incarnation = message.incarnation
            self._pick_for_parked()

    @_handle.register(LinkDown)
    def _link_down(self, message: LinkDown) -> None:
        known = self._known.get(message.upstream)
        if known is not None:
            known.incarnation = None
            known.load = None

    @_handle.register(LoadReceived)
    def _load_received(self, message: LoadReceived) -> None:
        known = self._known.get(message.load.upstream)
        if known is not None:
            known.load = message.load

    @_handle.register(DumpRouter)
    def _dump(self, message: DumpRouter) -> None:
        message.reply.send(tuple(_view(known) for known in self._known.values()))

    def _add(self, upstream: Upstream) -> None:
        link = AgentLink(
            upstream.id,
            parse_address(upstream.agent_address),
            self._hello,
            self.mailbox,
            self._clock,
            self._random,
            self._meter,
        )
        task = asyncio.get_running_loop().create_task(
            link.run(), name=f"agent-link-{upstream.id}"
        )
        self._known[upstream.id] = _Known(upstream, link, task)

    def _pick(
        self, request: Generation | ServiceCall, excluded: frozenset[UpstreamId]
    ) -> Result[_Known, RequestError]:
        if isinstance(request, ServiceCall) and request.idempotency_key is not None:
            return self._pick_owner(request)
        candidates = [
            known
            for known in self._candidates(request)
            if known.usable and known.upstream.id not in excluded
        ]
        if not candidates:
            return Failure(RequestError(ErrorKind.NO_UPSTREAM))
        pair = self._random.sample(candidates, min(2, len(candidates)))
        return Success(min(pair, key=lambda known: known.in_flight))

    def _pick_owner(self, request: ServiceCall) -> Result[_Known, RequestError]:
        key = parse_key(request.idempotency_key or "").unwrap()
        place = self._ownership.place(ScopedKey(request.team, request.service, key))
        known = self._known.get(place.owner) if place.owner is not None else None
        # An owner that drains still has the answers of the keys that it knows.
        if known is None or known.incarnation is None:
            return Failure(RequestError(ErrorKind.OWNER_UNAVAILABLE))
        return Success(known)

    def _pick_for_parked(self) -> None:
        parked, self._parked = self._parked, []
        for message in parked:
            if not message.reply.done:
                self._pick_upstream(message)

    def _candidates(self, request: Generation | ServiceCall) -> Iterable[_Known]:
        if isinstance(request, Generation):
            return [
                known
                for known in self._known.values()
                if request.model in known.upstream.models
            ]
        service = self._services.get(request.service)
        upstreams = service.upstreams if service else ()
        return [self._known[name] for name in upstreams if name in self._known]


def _view(known: _Known) -> UpstreamView:
    load = known.load
    if known.incarnation is None:
        state = UpstreamState.SUSPECT
    else:
        state = UpstreamState.LIVE if known.usable else UpstreamState.LEAVING
    return UpstreamView(
        upstream=known.upstream.id,
        state=state,
        in_flight=known.in_flight,
        connected=known.incarnation is not None,
        incarnation=known.incarnation,
        queued=load.queued if load else 0,
        running=load.running if load else 0,
    )
