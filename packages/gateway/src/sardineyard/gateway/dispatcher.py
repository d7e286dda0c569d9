"""Dispatcher task: owns upstream slots, upstream health and the retry budget."""

from __future__ import annotations

import asyncio
import logging
from functools import singledispatchmethod
from typing import TYPE_CHECKING

from sardineyard.catalog.beacons import UpstreamSlow
from sardineyard.catalog.messages import CatalogChanged, PeerLimits, PeerLoads
from sardineyard.core.mailbox import Mailbox, Reply
from sardineyard.forwarding.budget import ServiceRetryBudget
from sardineyard.forwarding.health import HealthTable
from sardineyard.forwarding.slot_messages import (
    QuarantineRefusal,
    RefusalReason,
    SlotGrant,
)
from sardineyard.forwarding.slots import SlotAllocator
from sardineyard.forwarding.store import BEGINNING
from sardineyard.forwarding.traits import refused_trait
from sardineyard.gateway.messages import (
    AcquireRetry,
    AcquireSlot,
    CallEnded,
    CallResult,
    DumpGateway,
    EventGapMeasured,
    FindResumption,
    FirstEventMeasured,
    MoveStream,
    RefusedTraitsChanged,
    ReleaseSlot,
    RequestArrived,
    ResponseHeadReceived,
)
from sardineyard.gateway.state import GatewayDump, ServiceView

if TYPE_CHECKING:
    from collections.abc import Sequence
    from random import Random

    from sardineyard.core.clock import Clock, Deadline
    from sardineyard.core.ids import FailureDomain, ServiceName
    from sardineyard.forwarding.budget import BudgetRules
    from sardineyard.forwarding.config import UpstreamEntry
    from sardineyard.forwarding.rate_limits import LimitStatement
    from sardineyard.forwarding.slot_messages import SlotRefusal, TicketId
    from sardineyard.forwarding.traits import RefusedTraits
    from sardineyard.telemetry.gateway_metrics import GatewayMetrics

_logger = logging.getLogger(__name__)

# Interval at which queued requests are checked, so that none is queued for longer than
# its limit.
_QUEUE_CHECK_S = 0.02
_FAILURES = frozenset(
    {
        CallResult.UNREACHABLE,
        CallResult.BROKEN,
        CallResult.FAILED,
        CallResult.TIMED_OUT,
        CallResult.MISDIRECTED,
    }
)
# Results that eject an upstream at once, whatever its failure rate.
_CERTAIN_FAILURES = frozenset({CallResult.UNREACHABLE, CallResult.MISDIRECTED})


class Dispatcher:
    """Assigns upstream slots to requests and tracks the results of calls."""

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
        self._slots = SlotAllocator(clock, rng, domain)
        self._health = HealthTable(clock)
        self._budget = ServiceRetryBudget(clock, rules)
        self._catalog = CatalogChanged(None, {}, BEGINNING)
        self._queued: dict[TicketId, AcquireSlot] = {}
        self._slot_holders: dict[TicketId, tuple[str, Mailbox[MoveStream]]] = {}
        self._gateway_count = 1
        self._refused_traits: RefusedTraits = {}

    def in_flight(self) -> dict[str, int]:
        """Return the in-flight requests of this gateway by upstream."""
        return self._slots.local_in_flight

    def pass_factors(self) -> dict[str, float]:
        """Return the ratio of measured to nominal decode pass time, by service."""
        return self._slots.pass_factors

    def limit_statements(self) -> tuple[LimitStatement, ...]:
        """Return the rate limits of upstreams and the requests sent to these."""
        return self._slots.rate_limits.statements()

    def accepts_requests(self, upstream: UpstreamEntry) -> bool:
        """Return whether an upstream takes new requests, as far as it has announced."""
        return self._slots.announcements.accepts_requests(upstream.incarnation)

    async def run(self) -> None:
        """Handle messages until cancelled."""
        while True:
            try:
                async with asyncio.timeout(_QUEUE_CHECK_S if self._queued else None):
                    self._handle(await self.mailbox.receive())
            except TimeoutError:
                self._process_queues()

    @singledispatchmethod
    def _handle(self, message: object) -> None:
        raise TypeError(f"unexpected message {type(message).__name__}")

    @_handle.register(CatalogChanged)
    def _catalog_changed(self, message: CatalogChanged) -> None:
        self._catalog = message
        if message.config is not None:
            self._slots.configure(message.config.services)
        known = {
            entry.id for entries in message.upstreams.values() for entry in entries
        }
        self._health.retain_only(known)
        self._slots.rate_limits.retain_only(known)
        self._process_queues()

    @_handle.register(PeerLoads)
    def _peer_loads(self, message: PeerLoads) -> None:
        self._gateway_count = message.processes
        self._slots.update_peer_loads(
            message.in_flight,
            message.processes,
            {name: self._accepting_upstreams(name) for name in self._catalog.upstreams},
            message.pass_factors,
        )
        self._budget.set_process_count(message.processes)
        self._process_queues()

    @_handle.register(PeerLimits)
    def _peer_limits(self, message: PeerLimits) -> None:
        self._slots.rate_limits.receive(message.peer, message.statements)

    @_handle.register(ResponseHeadReceived)
    def _response_head_received(self, message: ResponseHeadReceived) -> None:
        upstream, request_id = message.upstream, message.request_id
        announcements = self._slots.announcements
        self._slots.rate_limits.observe(upstream[0], message.limit_per_s)
        if message.is_leaving and announcements.record_leaving(upstream, request_id):
            self._metrics.count_announcement("leaving")
        if message.pause_until is not None:
            if announcements.record_pause(upstream, message.pause_until, request_id):
                self._metrics.count_announcement("pause")
        elif not message.is_rejection and announcements.record_accepted(
            upstream, message.call_started_at, request_id
        ):
            self._metrics.count_announcement("resumed")
            self._process_queues()

    @_handle.register(FindResumption)
    def _find_resumption(self, message: FindResumption) -> None:
        accepting = self._accepting_upstreams(message.service)
        message.reply.send(self._resumes_at(message.service, accepting))

    @_handle.register(UpstreamSlow)
    def _upstream_slow(self, message: UpstreamSlow) -> None:
        for entries in self._catalog.upstreams.values():
            upstream_ids = [entry.id for entry in entries]
            for entry in entries:
                if (entry.host, entry.port) != (message.host, message.port):
                    continue
                self._health.record_slowdown(entry.id, message.slowdown, upstream_ids)
                if entry.id not in self._health.available(upstream_ids):
                    self._request_moves(entry.id)

    @_handle.register(AcquireSlot)
    def _acquire_slot(self, message: AcquireSlot) -> None:
        if self._refuse_quarantined(message):
            return
        self._queued[message.request.ticket] = message
        self._slots.enqueue(message.request)
        self._process_queue(message.request.service)

    @_handle.register(RefusedTraitsChanged)
    def _refused_traits_changed(self, message: RefusedTraitsChanged) -> None:
        self._refused_traits = message.traits
        for ticket, queued in list(self._queued.items()):
            if self._refuse_quarantined(queued):
                del self._queued[ticket]
                self._slots.release(ticket)

    @_handle.register(ReleaseSlot)
    def _release_slot(self, message: ReleaseSlot) -> None:
        self._queued.pop(message.ticket, None)
        self._slot_holders.pop(message.ticket, None)
        service = self._slots.release(message.ticket)
        if service is not None:
            self._process_queue(service)

    @_handle.register(CallEnded)
    def _call_ended(self, message: CallEnded) -> None:
        self._metrics.call_ended(message.service, message.result.value)
        if message.result is CallResult.ANSWERED:
            self._health.record_success(message.upstream)
            self._slots.record_accepted(message.service)
        elif message.result is CallResult.REJECTED:
            self._slots.record_rejected(message.service, message.upstream)
        elif message.result in _FAILURES:
            upstream_ids = [
                entry.id for entry in self._listed_upstreams(message.service)
            ]
            eject_immediately = message.result in _CERTAIN_FAILURES
            self._health.record_failure(
                message.upstream, upstream_ids, eject_immediately=eject_immediately
            )

    @_handle.register(EventGapMeasured)
    def _event_gap_measured(self, message: EventGapMeasured) -> None:
        self._slots.observe_event_gap(
            message.service, message.seconds, self._listed_upstreams(message.service)
        )

    @_handle.register(FirstEventMeasured)
    def _first_event_measured(self, message: FirstEventMeasured) -> None:
        self._slots.observe_first_event(message.service, message.seconds)
        self._slots.record_accepted(message.service)

    @_handle.register(RequestArrived)
    def _request_arrived(self, message: RequestArrived) -> None:
        self._budget.count_request(message.service)

    @_handle.register(AcquireRetry)
    def _acquire_retry(self, message: AcquireRetry) -> None:
        message.reply.send(self._budget.try_spend(message.service))

    @_handle.register(DumpGateway)
    def _dump(self, message: DumpGateway) -> None:
        config = self._catalog.config
        message.reply.send(
            GatewayDump(
                config_version=None if config is None else config.version,
                upstream_era=self._catalog.position.era,
                upstream_revision=self._catalog.position.revision,
                processes=self._gateway_count,
                services={
                    str(name): self._service_view(name) for name in self._slots.services
                },
                in_flight=self._slots.local_in_flight,
            )
        )

    def _refuse_quarantined(self, message: AcquireSlot) -> bool:
        """Refuse a request that has a refused trait; return whether it has one."""
        trait = refused_trait(message.traits, self._refused_traits)
        if trait is None:
            return False
        _logger.warning(
            "request refused: requests with one of its traits crash upstreams",
            extra={
                "event": "request_quarantined",
                "request_id": message.request_id,
                "service": message.request.service,
                "trait": str(trait),
            },
        )
        message.reply.send(QuarantineRefusal(trait))
        return True

    def _request_moves(self, upstream: str) -> None:
        """Request that streams move off a slow rank, which delays its whole group."""
        for held_upstream, move_requests in self._slot_holders.values():
            if held_upstream == upstream:
                move_requests.offer(MoveStream("upstream reported slow"))

    def _listed_upstreams(self, service: ServiceName) -> tuple[UpstreamEntry, ...]:
        return self._catalog.upstreams.get(service, ())

    def _accepting_upstreams(self, service: ServiceName) -> Sequence[UpstreamEntry]:
        return self._slots.announcements.accepting(self._listed_upstreams(service))

    def _available_upstreams(
        self, accepting: Sequence[UpstreamEntry]
    ) -> list[UpstreamEntry]:
        available = self._health.available([entry.id for entry in accepting])
        return [entry for entry in accepting if entry.id in available]

    def _resumes_at(
        self, service: ServiceName, accepting: Sequence[UpstreamEntry]
    ) -> Deadline | None:
        """Return when the first pause ends, if no upstream of a service accepts."""
        if accepting:
            return None
        return self._slots.announcements.resumes_at(
            entry.incarnation for entry in self._listed_upstreams(service)
        )

    def _process_queues(self) -> None:
        for service, load in self._slots.services.items():
            if load.waiting:
                self._process_queue(service)

    def _process_queue(self, service: ServiceName) -> None:
        accepting = self._accepting_upstreams(service)
        available = self._available_upstreams(accepting)
        resumes_at = self._resumes_at(service, accepting)
        for request, decision in self._slots.grant(service, available, resumes_at):
            queued = self._queued.pop(request.ticket)
            if isinstance(decision, SlotGrant):
                self._slot_holders[request.ticket] = (
                    decision.upstream.id,
                    queued.move_requests,
                )
            queued.reply.send(decision)
            self._report_decision(queued, decision)

    def _report_decision(
        self, queued: AcquireSlot, decision: SlotGrant | SlotRefusal
    ) -> None:
        request = queued.request
        waited_s = self._clock.now() - request.arrived
        fields = {
            "request_id": queued.request_id,
            "service": request.service,
            "priority": request.priority,
            "waited_ms": round(waited_s * 1000, 1),
            "is_late": decision.is_late,
            "service_in_flight": decision.service_in_flight,
            "service_limit": round(decision.service_limit, 1),
            "upstream_era": self._catalog.position.era,
            "upstream_revision": self._catalog.position.revision,
            "processes": self._gateway_count,
        }
        if isinstance(decision, SlotGrant):
            if not request.holds_slot:
                self._metrics.record_slot_wait(request.priority, waited_s)
            fields |= {
                "event": "place_granted",
                "upstream": decision.upstream.id,
                "upstream_in_flight": decision.in_flight,
            }
            _logger.info("slot granted", extra=fields)
            return
        if decision.reason is RefusalReason.NO_FREE_SLOT:
            fields["event"] = "move_refused"
            _logger.info("stream stays: no other upstream has a slot", extra=fields)
            return
        fields |= {
            "event": "place_refused",
            "reason": decision.reason.value,
            "retry_after_s": round(decision.retry_after_s, 3),
            "waiting": decision.waiting,
        }
        _logger.warning("slot refused", extra=fields)

    def _service_view(self, service: ServiceName) -> ServiceView:
        load = self._slots.services[service]
        upstreams = self._available_upstreams(self._accepting_upstreams(service))
        return ServiceView(
            upstreams=len(upstreams),
            waiting=len(load.waiting),
            in_flight=sum(self._slots.in_flight(entry.id) for entry in upstreams),
            limit=self._slots.limit(service, upstreams),
            pause_s=load.model.pause_s if load.model is not None else 0.0,
            repeats_left=self._budget.remaining(service),
        )


async def acquire_retry(mailbox: Mailbox[object], service: ServiceName) -> bool:
    """Charge the retry budget for a service; return whether a retry is allowed."""
    reply: Reply[bool] = Reply()
    mailbox.post(AcquireRetry(service, reply))
    return await reply.wait()
