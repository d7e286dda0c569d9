"""Admission: which waiting request gets the next place, and where."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from sardineyard.core.clock import remaining
from sardineyard.forwarding.config import ServiceProfile
from sardineyard.forwarding.passes import PassModel
from sardineyard.forwarding.place_messages import (
    RETRY_TIME_LEFT,
    Place,
    Refusal,
    Refused,
)

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence
    from random import Random

    from sardineyard.core.clock import Clock
    from sardineyard.core.ids import FailureDomain, ServiceName
    from sardineyard.forwarding.config import UpstreamEntry
    from sardineyard.forwarding.place_messages import PlaceRequest, TicketId

# Requests beyond its slots that a plain upstream is given; it queues a few itself.
_QUEUED_AT_UPSTREAM = 2
# Part of the streams that each further priority leaves to the more urgent ones.
_RESERVED_PER_PRIORITY = 0.06
_MOST_RESERVED = 0.3
# Part of the streams that requests which are late already leave to those that can be
# on time: a late answer earns a third, and makes the next request late as well. The
# limit itself varies by a tenth from pass to pass, so a smaller part is no reserve.
_RESERVED_FROM_LATE = 0.3
# The same while passes are too long for any stream to be on time.
_RESERVED_FROM_LATE_IN_VAIN = 0.12
# Cost of another failure domain in places: bytes between domains are paid for.
_OTHER_DOMAIN_COST = 0.4
# Upstreams that are drawn at random, of which the least loaded is chosen. Processes
# with the same view would otherwise all choose the same one.
_DRAWN_UPSTREAMS = 4
_TIE_BREAK = 0.1
# A request is held for a place until this multiple of its target latency. Callers
# give a stream up at four times the target.
_HOLD_TARGETS = 2.4
# The same for a request that came back: its caller does not ask a third time.
_HOLD_TARGETS_AGAIN = 3.6
# Part of the time left after which a plain request that waits is refused, so that
# its caller can come back in time.
_HOLD_TIME_LEFT = 0.4
_LEAST_RETRY_AFTER_S = 0.05
# Time from a place to the first event before it was measured, and the weight of the
# newest measurement.
_USUAL_FIRST_EVENT_S = 0.15
_FIRST_EVENT_WEIGHT = 0.1
# Ranks of one group that reject requests before it is taken as closed: a group that
# is formed anew rejects at every rank, a full rank alone.
_CLOSED_BY = 2
# Pause between two requests that are sent to a closed group; it is formed within about
# a second, and each request may be sent twice only.
_PROBE_S = 0.2
# Waiting requests for each place of this process.
_QUEUE_PER_PLACE = 0.8
_LEAST_QUEUE = 6


@dataclass(slots=True)
class ServiceLoad:
    """Hold what runs and waits for one service."""

    profile: ServiceProfile
    model: PassModel | None
    waiting: list[PlaceRequest] = field(default_factory=list)
    allowed_pause_s: float = 0.0
    # Places that this process may still give out before it hears from the others, and
    # those of them that requests which are late already may get.
    credit: float = 1.0
    late_credit: float = 1.0
    # Mean time from a place to the first event, in seconds.
    first_event_s: float = _USUAL_FIRST_EVENT_S
    # Upstreams that rejected a request since the last one that was run.
    rejecting: set[str] = field(default_factory=set)
    probe_at: float = 0.0

    @property
    def reserved_from_late(self) -> float:
        """Return the part of the streams that late requests leave to others."""
        model = self.model
        if model is None or model.allows_on_time(self.allowed_pause_s):
            return _RESERVED_FROM_LATE
        return _RESERVED_FROM_LATE_IN_VAIN

    @property
    def is_closed(self) -> bool:
        """Return whether the group of an engine is known to run nothing."""
        return self.model is not None and len(self.rejecting) >= _CLOSED_BY


class PlaceBook:
    """Count the requests at each upstream and give out free places."""

    def __init__(self, clock: Clock, rng: Random, domain: FailureDomain) -> None:
        self._clock = clock
        self._rng = rng
        self._domain = domain
        self._own: dict[str, int] = {}
        self._others: Mapping[str, int] = {}
        self._granted: dict[TicketId, tuple[ServiceName, str]] = {}
        self._services: dict[ServiceName, ServiceLoad] = {}
        self._processes = 1

    @property
    def own_in_flight(self) -> dict[str, int]:
        """Return the requests of this process by upstream."""
        return {id: count for id, count in self._own.items() if count > 0}

    @property
    def pass_factors(self) -> dict[str, float]:
        """Return the factors of measured over published passes, where known."""
        models = {name: load.model for name, load in self._services.items()}
        return {
            str(name): round(model.measured_factor, 3)
            for name, model in models.items()
            if model is not None and model.measured_factor is not None
        }

    @property
    def services(self) -> dict[ServiceName, ServiceLoad]:
        """Return the load by service."""
        return self._services

    def configure(self, profiles: Mapping[ServiceName, ServiceProfile]) -> None:
        """Adopt the services of a configuration."""
        for name, profile in profiles.items():
            known = self._services.get(name)
            if known is not None and known.profile == profile:
                continue
            model = PassModel(self._clock, profile.engine) if profile.engine else None
            waiting = known.waiting if known is not None else []
            self._services[name] = ServiceLoad(profile, model, waiting)

    def hear(
        self,
        others: Mapping[str, int],
        processes: int,
        upstreams: Mapping[ServiceName, Sequence[UpstreamEntry]],
        pass_factors: Mapping[str, float],
    ) -> None:
        """Adopt the requests of the other processes by upstream, and their passes.

        Each process gives out its part of the free places before it hears again: all
        see the same free places, and together they would overfill the service.
        """
        self._others = others
        self._processes = max(1, processes)
        for service, load in self._services.items():
            if load.model is not None and service in pass_factors:
                load.model.hear(pass_factors[service])
            listed = upstreams.get(service, ())
            limit, total = self.limit(service, listed), self._total(listed)
            load.credit = self._grown(load.credit, limit - total)
            for_late = limit * (1.0 - load.reserved_from_late) - total
            load.late_credit = self._grown(load.late_credit, for_late)

    def _grown(self, credit: float, free: float) -> float:
        """Return the credit with the part of this process in the free places."""
        part = max(0.0, free) / self._processes
        return min(max(1.0, part), credit + part)

    def in_flight(self, upstream: str) -> int:
        """Return the requests of all processes at an upstream, as far as known."""
        return self._own.get(upstream, 0) + self._others.get(upstream, 0)

    def observe_pause(
        self, service: ServiceName, pause_s: float, upstreams: Sequence[UpstreamEntry]
    ) -> None:
        """Take in the pause between two events of a stream."""
        load = self._services.get(service)
        if load is None or load.model is None or not upstreams:
            return
        load.model.observe(
            pause_s, self._total(upstreams) / len(upstreams), load.allowed_pause_s
        )

    def observe_first_event(self, service: ServiceName, seconds: float) -> None:
        """Take in the time from a place to the first event of a stream."""
        load = self._services.get(service)
        if load is not None:
            load.first_event_s += _FIRST_EVENT_WEIGHT * (seconds - load.first_event_s)

    def rejected(self, service: ServiceName, upstream: str) -> None:
        """Take in that an upstream rejected a request without running it."""
        load = self._load(service)
        load.rejecting.add(upstream)
        load.probe_at = self._clock.now() + _PROBE_S

    def opened(self, service: ServiceName) -> None:
        """Take in that an upstream of a service runs a request."""
        self._load(service).rejecting.clear()

    def limit(self, service: ServiceName, upstreams: Sequence[UpstreamEntry]) -> float:
        """Return the requests that the service may run at once."""
        slots = sum(upstream.slots for upstream in upstreams)
        load = self._services.get(service)
        if load is None or load.model is None:
            return slots + _QUEUED_AT_UPSTREAM * len(upstreams)
        if load.allowed_pause_s <= 0:
            return slots
        per_rank = load.model.streams_per_rank(load.allowed_pause_s)
        return min(slots, per_rank * len(upstreams))

    def enqueue(self, request: PlaceRequest) -> None:
        """Add a request to those that wait for a place."""
        load = self._load(request.service)
        if request.target_pause_s > 0:
            load.allowed_pause_s = request.target_pause_s
        load.waiting.append(request)

    def release(self, ticket: TicketId) -> ServiceName | None:
        """Give a place back, or end the wait for one; return the service."""
        granted = self._granted.pop(ticket, None)
        if granted is not None:
            service, upstream = granted
            self._own[upstream] -= 1
            if self._own[upstream] <= 0:
                del self._own[upstream]
            return service
        for service, load in self._services.items():
            for index, request in enumerate(load.waiting):
                if request.ticket == ticket:
                    del load.waiting[index]
                    return service
        return None

    def grant(
        self, service: ServiceName, upstreams: Sequence[UpstreamEntry]
    ) -> list[tuple[PlaceRequest, Place | Refused]]:
        """Decide on the waiting requests, the most valuable first.

        Requests that are not in the result go on waiting.
        """
        load = self._services.get(service)
        if load is None:
            return []
        decided: list[tuple[PlaceRequest, Place | Refused]] = []
        limit = self.limit(service, upstreams)
        kept: list[PlaceRequest] = []
        for request in sorted(load.waiting, key=self._rank):
            place = self._find_place(request, upstreams, limit)
            if place is not None:
                self._take(request, place)
                decided.append((request, place))
            elif refused := self._refuse(request, upstreams, limit, len(kept)):
                decided.append((request, refused))
            else:
                kept.append(request)
        load.waiting[:] = kept
        return decided

    def _load(self, service: ServiceName) -> ServiceLoad:
        load = self._services.get(service)
        if load is None:
            load = ServiceLoad(ServiceProfile(service, 0), None)
            self._services[service] = load
        return load

    def _rank(self, request: PlaceRequest) -> tuple[bool, bool, bool, int, float]:
        # Requests that cannot be on time any more come last: served in the order of
        # their arrival, a queue that is too long makes every request late. Among them
        # go first those that came back, as their callers do not come back again.
        return (
            not request.is_continuation,
            self._is_late(request),
            not request.came_back,
            request.priority,
            request.arrived,
        )

    def _is_late(self, request: PlaceRequest) -> bool:
        load = self._services[request.service]
        waited_s = self._clock.now() - request.arrived + request.waited_before_s
        first_event_s = load.first_event_s if load.model is not None else 0.0
        return waited_s + first_event_s > request.target_latency_s

    def _find_place(
        self, request: PlaceRequest, upstreams: Sequence[UpstreamEntry], limit: float
    ) -> Place | None:
        load = self._services[request.service]
        total = self._total(upstreams)
        reserved = min(_MOST_RESERVED, _RESERVED_PER_PRIORITY * request.priority)
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
        # Upstreams that failed this request before are a last resort.
        others = [u for u in upstreams if u.id not in request.excluded] or upstreams
        free = [u for u in others if self.in_flight(u.id) < u.slots + queued]
        if not free:
            return None
        drawn = self._rng.sample(free, min(len(free), _DRAWN_UPSTREAMS))
        best = min(drawn, key=self._cost)
        return Place(best, self.in_flight(best.id), total, limit, is_late)

    def _total(self, upstreams: Sequence[UpstreamEntry]) -> int:
        return sum(self.in_flight(upstream.id) for upstream in upstreams)

    def _cost(self, upstream: UpstreamEntry) -> float:
        elsewhere = upstream.failure_domain != self._domain
        return (
            self.in_flight(upstream.id)
            + _OTHER_DOMAIN_COST * elsewhere
            + _TIE_BREAK * self._rng.random()
        )

    def _take(self, request: PlaceRequest, place: Place) -> None:
        upstream = place.upstream.id
        self._own[upstream] = self._own.get(upstream, 0) + 1
        self._granted[request.ticket] = (request.service, upstream)
        load = self._services[request.service]
        load.credit -= 1.0
        load.late_credit -= place.is_late
        load.probe_at = self._clock.now() + _PROBE_S

    def _refuse(
        self,
        request: PlaceRequest,
        upstreams: Sequence[UpstreamEntry],
        limit: float,
        ahead: int,
    ) -> Refused | None:
        now = self._clock.now()
        left = remaining(self._clock, request.deadline)
        places = max(1.0, limit / self._processes)
        most_waiting = max(_LEAST_QUEUE, places * _QUEUE_PER_PLACE)
        if left <= 0:
            reason = Refusal.OUT_OF_TIME
        elif now >= self._give_up_at(request):
            reason = Refusal.OVERLOADED if upstreams else Refusal.NO_UPSTREAM
        elif ahead >= most_waiting:
            reason = Refusal.OVERLOADED
        else:
            return None
        return Refused(
            reason,
            max(_LEAST_RETRY_AFTER_S, left * RETRY_TIME_LEFT),
            ahead,
            self._total(upstreams),
            limit,
            self._is_late(request),
        )

    def _give_up_at(self, request: PlaceRequest) -> float:
        whole = request.deadline - request.arrived
        if request.target_pause_s > 0:
            targets = _HOLD_TARGETS_AGAIN if request.came_back else _HOLD_TARGETS
            hold = request.target_latency_s * targets
            return request.arrived + min(hold, whole * _HOLD_TIME_LEFT)
        return request.arrived + whole * _HOLD_TIME_LEFT
