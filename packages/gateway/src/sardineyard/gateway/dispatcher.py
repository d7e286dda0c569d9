"""The task that owns places, health and repeats of this gateway."""

from __future__ import annotations

import asyncio
import logging
from functools import singledispatchmethod
from typing import TYPE_CHECKING

from sardineyard.catalog.beacons import UpstreamSlow
from sardineyard.catalog.messages import CatalogChanged, PeerLoads
from sardineyard.core.mailbox import Mailbox, Reply
from sardineyard.forwarding.budget import RepeatBudget
from sardineyard.forwarding.health import HealthTable
from sardineyard.forwarding.place_messages import Place
from sardineyard.forwarding.places import PlaceBook
from sardineyard.gateway.messages import (
    AskPlace,
    AskRepeat,
    CallEnded,
    CallResult,
    DumpGateway,
    FirstEventSeen,
    MoveStream,
    PauseSeen,
    ReleasePlace,
    RequestArrived,
)
from sardineyard.gateway.state import GatewayDump, ServiceView

if TYPE_CHECKING:
    from random import Random

    from sardineyard.core.clock import Clock
    from sardineyard.core.ids import FailureDomain, ServiceName
    from sardineyard.forwarding.budget import BudgetRules
    from sardineyard.forwarding.config import UpstreamEntry
    from sardineyard.forwarding.place_messages import Refused, TicketId
    from sardineyard.telemetry.gateway_metrics import GatewayMetrics

_logger = logging.getLogger(__name__)

# Waiting requests are looked at this often, so that none is held past its time.
_TICK_S = 0.02
_FAILURES = frozenset(
    {
        CallResult.UNREACHABLE,
        CallResult.BROKEN,
        CallResult.FAILED,
        CallResult.TIMED_OUT,
        CallResult.MISDIRECTED,
    }
)
_CERTAIN_FAILURES = frozenset({CallResult.UNREACHABLE, CallResult.MISDIRECTED})


class Dispatcher:
    """Give places to requests and follow how upstreams answer."""

    def __init__(
        self,
        clock: Clock,
        rng: Random,
        domain: FailureDomain,
        rules: BudgetRules,
        metrics: GatewayMetrics,
    ) -> None:
        self.mailbox: Mailbox[object] = Mailbox()
        self._clock = clock
        self._metrics = metrics
        self._book = PlaceBook(clock, rng, domain)
        self._health = HealthTable(clock)
        self._budget = RepeatBudget(clock, rules)
        self._catalog = CatalogChanged(None, {}, 0)
        self._asked: dict[TicketId, AskPlace] = {}
        self._placed: dict[TicketId, tuple[str, Mailbox[MoveStream]]] = {}
        self._processes = 1

    def in_flight(self) -> dict[str, int]:
        """Return the requests of this gateway by upstream."""
        return self._book.own_in_flight

    def pass_factors(self) -> dict[str, float]:
        """Return the factors of measured over published passes, by service."""
        return self._book.pass_factors

    async def run(self) -> None:
        """Handle messages until cancelled."""
        while True:
            try:
                async with asyncio.timeout(_TICK_S if self._asked else None):
                    self._handle(await self.mailbox.receive())
            except TimeoutError:
                self._grant_all()

    @singledispatchmethod
    def _handle(self, message: object) -> None:
        raise TypeError(f"unexpected message {type(message).__name__}")

    @_handle.register(CatalogChanged)
    def _catalog_changed(self, message: CatalogChanged) -> None:
        self._catalog = message
        if message.config is not None:
            self._book.configure(message.config.services)
        known = {entry.id for part in message.upstreams.values() for entry in part}
        self._health.forget_all_but(known)
        self._grant_all()

    @_handle.register(PeerLoads)
    def _peer_loads(self, message: PeerLoads) -> None:
        self._processes = message.processes
        self._book.hear(
            message.in_flight,
            message.processes,
            self._catalog.upstreams,
            message.pass_factors,
        )
        self._budget.share_among(message.processes)
        self._grant_all()

    @_handle.register(UpstreamSlow)
    def _upstream_slow(self, message: UpstreamSlow) -> None:
        for entries in self._catalog.upstreams.values():
            peers = [entry.id for entry in entries]
            for entry in entries:
                if (entry.host, entry.port) != (message.host, message.port):
                    continue
                self._health.slowed(entry.id, message.slowdown, peers)
                if entry.id not in self._health.available(peers):
                    self._move_streams(entry.id)

    @_handle.register(AskPlace)
    def _ask_place(self, message: AskPlace) -> None:
        self._asked[message.request.ticket] = message
        self._book.enqueue(message.request)
        self._grant(message.request.service)

    @_handle.register(ReleasePlace)
    def _release_place(self, message: ReleasePlace) -> None:
        self._asked.pop(message.ticket, None)
        self._placed.pop(message.ticket, None)
        service = self._book.release(message.ticket)
        if service is not None:
            self._grant(service)

    @_handle.register(CallEnded)
    def _call_ended(self, message: CallEnded) -> None:
        self._metrics.call_ended(message.service, message.result.value)
        if message.result is CallResult.ANSWERED:
            self._health.succeeded(message.upstream)
            self._book.opened(message.service)
        elif message.result is CallResult.REJECTED:
            self._book.rejected(message.service, message.upstream)
        elif message.result in _FAILURES:
            peers = [entry.id for entry in self._listed(message.service)]
            certain = message.result in _CERTAIN_FAILURES
            self._health.failed(message.upstream, peers, certain=certain)

    @_handle.register(PauseSeen)
    def _pause_seen(self, message: PauseSeen) -> None:
        self._book.observe_pause(
            message.service, message.seconds, self._listed(message.service)
        )

    @_handle.register(FirstEventSeen)
    def _first_event_seen(self, message: FirstEventSeen) -> None:
        self._book.observe_first_event(message.service, message.seconds)
        self._book.opened(message.service)

    @_handle.register(RequestArrived)
    def _request_arrived(self, message: RequestArrived) -> None:
        self._budget.requested(message.service)

    @_handle.register(AskRepeat)
    def _ask_repeat(self, message: AskRepeat) -> None:
        message.reply.send(self._budget.take(message.service))

    @_handle.register(DumpGateway)
    def _dump(self, message: DumpGateway) -> None:
        config = self._catalog.config
        message.reply.send(
            GatewayDump(
                config_version=None if config is None else config.version,
                upstream_revision=self._catalog.revision,
                processes=self._processes,
                services={str(name): self._view(name) for name in self._book.services},
                in_flight=self._book.own_in_flight,
            )
        )

    def _move_streams(self, upstream: str) -> None:
        """Ask the streams at a slow rank to leave, as all ranks wait for it."""
        for placed_at, notices in self._placed.values():
            if placed_at == upstream:
                notices.offer(MoveStream("the upstream is slow"))

    def _listed(self, service: ServiceName) -> tuple[UpstreamEntry, ...]:
        return self._catalog.upstreams.get(service, ())

    def _usable(self, service: ServiceName) -> list[UpstreamEntry]:
        listed = self._listed(service)
        available = self._health.available([entry.id for entry in listed])
        return [entry for entry in listed if entry.id in available]

    def _grant_all(self) -> None:
        for service, load in self._book.services.items():
            if load.waiting:
                self._grant(service)

    def _grant(self, service: ServiceName) -> None:
        for request, decision in self._book.grant(service, self._usable(service)):
            asked = self._asked.pop(request.ticket)
            if isinstance(decision, Place):
                self._placed[request.ticket] = (decision.upstream.id, asked.notices)
            asked.reply.send(decision)
            self._log(asked, decision)

    def _log(self, asked: AskPlace, decision: Place | Refused) -> None:
        request = asked.request
        waited_s = self._clock.now() - request.arrived
        fields = {
            "request_id": asked.request_id,
            "service": request.service,
            "priority": request.priority,
            "waited_ms": round(waited_s * 1000, 1),
            "is_late": decision.is_late,
            "service_in_flight": decision.service_in_flight,
            "service_limit": round(decision.service_limit, 1),
            "upstream_revision": self._catalog.revision,
            "processes": self._processes,
        }
        if isinstance(decision, Place):
            self._metrics.place_granted(request.priority, waited_s)
            fields |= {
                "event": "place_granted",
                "upstream": decision.upstream.id,
                "upstream_in_flight": decision.in_flight,
            }
            _logger.info("a request got a place", extra=fields)
            return
        fields |= {
            "event": "place_refused",
            "reason": decision.reason.value,
            "retry_after_s": round(decision.retry_after_s, 3),
            "waiting": decision.waiting,
        }
        _logger.warning("a request got no place", extra=fields)

    def _view(self, service: ServiceName) -> ServiceView:
        load = self._book.services[service]
        upstreams = self._usable(service)
        return ServiceView(
            upstreams=len(upstreams),
            waiting=len(load.waiting),
            in_flight=sum(self._book.in_flight(entry.id) for entry in upstreams),
            limit=self._book.limit(service, upstreams),
            pause_s=load.model.pause_s if load.model is not None else 0.0,
            repeats_left=self._budget.left(service),
        )


async def ask_repeat(mailbox: Mailbox[object], service: ServiceName) -> bool:
    """Return whether a request may be sent to a further upstream."""
    reply: Reply[bool] = Reply()
    mailbox.post(AskRepeat(service, reply))
    return await reply.wait()
