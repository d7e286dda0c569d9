"""Allocation of slots: which waiting request is sent next, and to which upstream."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sardineyard.core.clock import remaining
from sardineyard.forwarding.announcements import UpstreamAnnouncements
from sardineyard.forwarding.config import ServiceProfile
from sardineyard.forwarding.passes import PassModel
from sardineyard.forwarding.rate_limits import UpstreamRateLimits
from sardineyard.forwarding.service_load import ServiceLoad
from sardineyard.forwarding.slot_messages import (
    RETRY_AFTER_FRACTION,
    RefusalReason,
    SlotGrant,
    SlotRefusal,
)

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence
    from random import Random

    from sardineyard.core.clock import Clock, Deadline
    from sardineyard.core.ids import FailureDomain, ServiceName
    from sardineyard.forwarding.config import UpstreamEntry
    from sardineyard.forwarding.slot_messages import SlotRequest, TicketId

# Requests sent to an upstream without an engine in excess of its slots; it queues them.
_QUEUED_AT_UPSTREAM = 2
# Requests that this process sends to an upstream after a pause before the upstream has
# accepted one of them. All others would be rejected with them if it needs more time.
_REQUESTS_AFTER_PAUSE = 2
# Fraction of the limit that each lower priority leaves to more urgent requests.
_RESERVED_PER_PRIORITY = 0.06
# Maximum fraction that a priority leaves to more urgent requests.
_MAX_RESERVED = 0.3
# Cost of an upstream in another failure domain, in requests in flight: traffic between
# domains is billed.
_OTHER_DOMAIN_COST = 0.4
# Upstreams sampled at random, of which the least loaded is chosen. Otherwise, all
# processes with the same view would choose the same upstream.
_SAMPLED_UPSTREAMS = 4
# Maximum random cost that breaks ties, in requests in flight.
_TIE_BREAK_NOISE = 0.1
_MIN_RETRY_AFTER_S = 0.05
# Maximum fraction of a pause by which callers that are refused in it return later, so
# that they do not all return at its end.
_RETURN_SPREAD = 0.25
# Interval between requests that probe a closed group, in seconds. A group is re-formed
# within about a second, and each request may be sent only twice.
_PROBE_INTERVAL_S = 0.2
# Maximum number of waiting requests per slot of this process, and the lower bound of
# that maximum.
_QUEUE_PER_SLOT = 0.8
_MIN_QUEUE = 6


class SlotAllocator:
    """Grants upstream slots to waiting requests, within the limit of each service."""

    def __init__(self, clock: Clock, rng: Random, domain: FailureDomain) -> None:
        self._clock = clock
        self._rng = rng
        self._domain = domain
        self._local_in_flight: dict[str, int] = {}
        self._peer_in_flight: Mapping[str, int] = {}
        # Service and upstream of each granted slot.
        self._granted: dict[TicketId, tuple[ServiceName, str]] = {}
        self._services: dict[ServiceName, ServiceLoad] = {}
        self._rate_limits = UpstreamRateLimits(clock, rng)
        self._announcements = UpstreamAnnouncements(clock)
        self._processes = 1

    @property
    def rate_limits(self) -> UpstreamRateLimits:
        """Return the limits that single upstreams named."""
        return self._rate_limits

    @property
    def announcements(self) -> UpstreamAnnouncements:
        """Return what single upstreams announced about themselves."""
        return self._announcements

    @property
    def local_in_flight(self) -> dict[str, int]:
        """Return the in-flight requests of this process by upstream."""
        return {id: count for id, count in self._local_in_flight.items() if count > 0}

    @property
    def pass_factors(self) -> dict[str, float]:
        """Return the ratio of measured to nominal pass time by service, if known."""
        models = {name: load.model for name, load in self._services.items()}
        return {
            str(name): round(model.measured_factor, 3)
            for name, model in models.items()
            if model is not None and model.measured_factor is not None
        }

    @property
    def services(self) -> dict[ServiceName, ServiceLoad]:
        """Return the load of each service."""
        return self._services

    def configure(self, profiles: Mapping[ServiceName, ServiceProfile]) -> None:
        """Apply the services of a configuration; waiting requests are kept."""
        for name, profile in profiles.items():
            known = self._services.get(name)
            if known is not None and known.profile == profile:
                continue
            model = PassModel(self._clock, profile.engine) if profile.engine else None
            waiting = known.waiting if known is not None else []
            self._services[name] = ServiceLoad(profile, model, waiting)

    def update_peer_loads(
        self,
        peer_in_flight: Mapping[str, int],
        processes: int,
        upstreams: Mapping[ServiceName, Sequence[UpstreamEntry]],
        pass_factors: Mapping[str, float],
    ) -> None:
        """Apply the in-flight requests by upstream and the pass factors of the peers.

        Until the next update, each process grants only its share of the free slots. All
        processes see the same free slots, and would otherwise overload the service.
        """
        self._peer_in_flight = peer_in_flight
        self._processes = max(1, processes)
        self._rate_limits.update_credits(self._processes)
        for service, load in self._services.items():
            if load.model is not None and service in pass_factors:
                load.model.set_peer_factor(pass_factors[service])
            listed = upstreams.get(service, ())
            limit, total = self.limit(service, listed), self._total_in_flight(listed)
            load.replenish_credits(limit, total, self._processes)

    def in_flight(self, upstream: str) -> int:
        """Return the known in-flight requests of all processes at an upstream."""
        return self._local_in_flight.get(upstream, 0) + self._peer_in_flight.get(
            upstream, 0
        )

    def observe_event_gap(
        self, service: ServiceName, gap_s: float, upstreams: Sequence[UpstreamEntry]
    ) -> None:
        """Record the gap between two events of a stream."""
        load = self._services.get(service)
        if load is None or load.model is None or not upstreams:
            return
        load.model.observe(
            gap_s,
            self._total_in_flight(upstreams) / len(upstreams),
            load.max_event_gap_s,
        )

    def observe_first_event(self, service: ServiceName, seconds: float) -> None:
        """Record the time from the grant of a slot to the first event."""
        load = self._services.get(service)
        if load is not None:
            load.observe_first_event(seconds)

    def record_rejected(self, service: ServiceName, upstream: str) -> None:
        """Record that an upstream rejected a request without running it."""
        load = self._load_of(service)
        load.rejecting.add(upstream)
        load.probe_at = self._clock.now() + _PROBE_INTERVAL_S

    def record_accepted(self, service: ServiceName) -> None:
        """Record that an upstream of the service accepted a request."""
        self._load_of(service).rejecting.clear()

    def limit(self, service: ServiceName, upstreams: Sequence[UpstreamEntry]) -> float:
        """Return the number of requests that the service may run concurrently."""
        slots = sum(self._usable_slots(upstream) for upstream in upstreams)
        load = self._services.get(service)
        if load is None or load.model is None:
            return slots + _QUEUED_AT_UPSTREAM * len(upstreams)
        if load.max_event_gap_s <= 0:
            return slots
        per_rank = load.model.streams_per_rank(load.max_event_gap_s)
        return min(slots, per_rank * len(upstreams))

    def enqueue(self, request: SlotRequest) -> None:
        """Add a request to the queue of its service."""
        load = self._load_of(request.service)
        if request.target_event_gap_s > 0:
            load.max_event_gap_s = request.target_event_gap_s
        load.waiting.append(request)

    def release(self, ticket: TicketId) -> ServiceName | None:
        """Free a granted slot, or cancel a waiting request; return the service."""
        granted = self._granted.pop(ticket, None)
        if granted is not None:
            service, upstream = granted
            self._local_in_flight[upstream] -= 1
            if self._local_in_flight[upstream] <= 0:
                del self._local_in_flight[upstream]
            return service
        for service, load in self._services.items():
            for index, request in enumerate(load.waiting):
                if request.ticket == ticket:
                    del load.waiting[index]
                    return service
        return None

    def grant(
        self,
        service: ServiceName,
        upstreams: Sequence[UpstreamEntry],
        resumes_at: Deadline | None = None,
    ) -> list[tuple[SlotRequest, SlotGrant | SlotRefusal]]:
        """Grant or refuse slots to waiting requests, in order of precedence.

        Requests that are not in the result continue to wait. If no upstream is given
        because all of them pause, `resumes_at` is the end of the first pause.
        """
        load = self._services.get(service)
        if load is None:
            return []
        decided: list[tuple[SlotRequest, SlotGrant | SlotRefusal]] = []
        limit = self.limit(service, upstreams)
        kept: list[SlotRequest] = []
        # Streams that may stay where they are do not count as waiting.
        ahead = 0
        for request in sorted(load.waiting, key=self._sort_key):
            slot = self._find_slot(request, upstreams, limit)
            if slot is not None:
                self._record_grant(request, slot)
                decided.append((request, slot))
            elif refused := self._refuse(request, upstreams, limit, ahead, resumes_at):
                decided.append((request, refused))
            else:
                kept.append(request)
                ahead += not request.holds_slot
        load.waiting[:] = kept
        return decided

    def _load_of(self, service: ServiceName) -> ServiceLoad:
        load = self._services.get(service)
        if load is None:
            load = ServiceLoad(ServiceProfile(service, 0), None)
            self._services[service] = load
        return load

    def _sort_key(self, request: SlotRequest) -> tuple[bool, bool, bool, int, float]:
        # Late requests come last: if an overlong queue were served in order of arrival,
        # every request would be late. Among the late ones, retries come first, as their
        # callers make no further attempt.
        return (
            not request.is_continuation,
            self._is_late(request),
            not request.is_late_retry,
            request.priority,
            request.arrived,
        )

    def _is_late(self, request: SlotRequest) -> bool:
        load = self._services[request.service]
        waited_s = self._clock.now() - request.arrived + request.earlier_attempts_s
        first_event_s = load.first_event_s if load.model is not None else 0.0
        return waited_s + first_event_s > request.target_latency_s

    def _find_slot(
        self, request: SlotRequest, upstreams: Sequence[UpstreamEntry], limit: float
    ) -> SlotGrant | None:
        load = self._services[request.service]
        total = self._total_in_flight(upstreams) - request.holds_slot
        reserved = min(_MAX_RESERVED, _RESERVED_PER_PRIORITY * request.priority)
        is_late = self._is_late(request)
        reserved += load.reserved_from_late * is_late
        share = 1.0 if request.is_continuation else 1.0 - reserved
        queued = 0 if load.model is not None else _QUEUED_AT_UPSTREAM
        if total >= max(1.0, limit * share):
            return None
        credit = min(load.credit, load.late_credit) if is_late else load.credit
        if self._processes > 1 and credit < 1.0 and not request.is_continuation:
            return None
        if load.is_closed and self._clock.now() < load.probe_at:
            return None
        if request.allowed is not None:
            upstreams = [u for u in upstreams if u.id in request.allowed]
        # Upstreams that already failed this request are used only if there is no other,
        # and never for a stream that still has its slot there.
        candidates = [u for u in upstreams if u.id not in request.excluded]
        if not candidates and not request.holds_slot:
            candidates = list(upstreams)
        free = [
            upstream
            for upstream in candidates
            if self.in_flight(upstream.id) < upstream.slots + queued
            and self._rate_limits.may_send(upstream.id)
            and self._may_send_after_pause(upstream)
        ]
        if not free:
            return None
        sampled = self._rng.sample(free, min(len(free), _SAMPLED_UPSTREAMS))
        best = min(sampled, key=self._cost)
        return SlotGrant(best, self.in_flight(best.id), total, limit, is_late)

    def _total_in_flight(self, upstreams: Sequence[UpstreamEntry]) -> int:
        return sum(self.in_flight(upstream.id) for upstream in upstreams)

    def _may_send_after_pause(self, upstream: UpstreamEntry) -> bool:
        """Return whether an upstream may be sent one more request since its pause."""
        sent = self._local_in_flight.get(upstream.id, 0)
        return sent < _REQUESTS_AFTER_PAUSE or not self._announcements.is_resuming(
            upstream.incarnation
        )

    def _usable_slots(self, upstream: UpstreamEntry) -> int:
        """Return the slots of an upstream that may be used at present."""
        if self._rate_limits.may_send(upstream.id) and self._may_send_after_pause(
            upstream
        ):
            return upstream.slots
        return min(upstream.slots, self.in_flight(upstream.id))

    def _cost(self, upstream: UpstreamEntry) -> float:
        is_other_domain = upstream.failure_domain != self._domain
        return (
            self.in_flight(upstream.id)
            + _OTHER_DOMAIN_COST * is_other_domain
            + _TIE_BREAK_NOISE * self._rng.random()
        )

    def _record_grant(self, request: SlotRequest, slot: SlotGrant) -> None:
        upstream = slot.upstream.id
        self._local_in_flight[upstream] = self._local_in_flight.get(upstream, 0) + 1
        self._granted[request.ticket] = (request.service, upstream)
        self._rate_limits.record_sent(upstream)
        load = self._services[request.service]
        if not request.holds_slot:
            # A stream that moves gives up its other slot, so it takes no free one.
            load.credit -= 1.0
            load.late_credit -= slot.is_late
        load.probe_at = self._clock.now() + _PROBE_INTERVAL_S

    def _refuse(
        self,
        request: SlotRequest,
        upstreams: Sequence[UpstreamEntry],
        limit: float,
        ahead: int,
        resumes_at: Deadline | None,
    ) -> SlotRefusal | None:
        now = self._clock.now()
        left_s = remaining(self._clock, request.deadline)
        local_slots = max(1.0, limit / self._processes)
        max_waiting = max(_MIN_QUEUE, local_slots * _QUEUE_PER_SLOT)
        if left_s <= 0:
            reason = (
                RefusalReason.NO_FREE_SLOT
                if request.holds_slot
                else RefusalReason.OUT_OF_TIME
            )
        elif request.allowed is not None and not any(
            upstream.id in request.allowed for upstream in upstreams
        ):
            reason = RefusalReason.NO_UPSTREAM
        elif resumes_at is not None and resumes_at > request.refuse_at:
            reason = RefusalReason.PAUSED
        elif now >= request.refuse_at:
            reason = (
                RefusalReason.OVERLOADED if upstreams else RefusalReason.NO_UPSTREAM
            )
        elif request.is_continuation:
            return None
        elif ahead >= max_waiting or self._is_beyond_rate(request, upstreams, ahead):
            reason = RefusalReason.OVERLOADED
        else:
            return None
        if resumes_at is None:
            retry_after_s = left_s * RETRY_AFTER_FRACTION
        else:
            spread = 1.0 + _RETURN_SPREAD * self._rng.random()
            retry_after_s = remaining(self._clock, resumes_at) * spread
        return SlotRefusal(
            reason,
            max(_MIN_RETRY_AFTER_S, retry_after_s),
            ahead,
            self._total_in_flight(upstreams),
            limit,
            self._is_late(request),
        )

    def _is_beyond_rate(
        self, request: SlotRequest, upstreams: Sequence[UpstreamEntry], ahead: int
    ) -> bool:
        """Return whether the rate limits leave no request for this one in time."""
        rate = self._rate_limits.total_rate_per_s(u.id for u in upstreams)
        if rate is None:
            return False
        wait_s = ahead * self._processes / rate
        return self._clock.now() + wait_s > request.refuse_at
