"""One day in simulated time, with the production slot allocator and planner."""

from __future__ import annotations

from dataclasses import dataclass, replace
from heapq import heapify, heappop, heappush
from random import Random
from statistics import median
from typing import TYPE_CHECKING

from sardineyard.core.clock import Deadline, ManualClock, deadline_after, remaining
from sardineyard.core.ids import FailureDomain, RankIndex, RequestId, ServiceName
from sardineyard.emulator.callers import (
    FIRST_EVENT_TIMEOUT_FACTOR,
    Outcome,
    draw_requests,
)
from sardineyard.emulator.group import EmulatedGroup, Stream
from sardineyard.emulator.rebalancing import ROUND_S, EmulatedRebalancer
from sardineyard.experts.layout_plan import GroupShape
from sardineyard.forwarding.config import (
    ServiceProfile,
    UpstreamEntry,
    UpstreamPhase,
)
from sardineyard.forwarding.health import SLOWDOWN_LIMIT
from sardineyard.forwarding.slot_messages import (
    RETRY_AFTER_FRACTION,
    SlotGrant,
    SlotRequest,
    TicketId,
)
from sardineyard.forwarding.slots import SlotAllocator

if TYPE_CHECKING:
    from collections.abc import Sequence

    from sardineyard.emulator.callers import Request
    from sardineyard.emulator.days import Day, Trouble

_SERVICE = ServiceName("emulated")
_DOMAIN = FailureDomain("emulated")
# Interval at which gateways decide on waiting requests.
_TICK_S = 0.02
# Ranks to which a gateway sends one attempt of a caller at most.
_MAX_RANKS = 2


@dataclass(frozen=True, slots=True)
class PassSample:
    """State of the group during one decode pass."""

    began_at: float
    pass_s: float
    skew: float
    streams: int


@dataclass(frozen=True, slots=True)
class DayResult:
    """Outcomes of the requests of a day, and samples of the state of the group."""

    requests: list[Request]
    samples: list[PassSample]
    copies: int
    # Requests that ranks rejected because they pause.
    rejections: int
    # Requests that gateways sent to ranks which had told them before to send none.
    unwanted: int

    @property
    def worth(self) -> float:
        """Return the worth achieved as a fraction of the highest possible one."""
        total = sum(request.kind.worth for request in self.requests)
        return sum(request.worth for request in self.requests) / total if total else 0.0


class Emulation:
    """Simulation of one day, decode pass by decode pass."""

    def __init__(
        self, day: Day, seed: int, *, rebalancing_enabled: bool = True
    ) -> None:
        rng = Random(seed)
        self._rebalancing_enabled = rebalancing_enabled
        group = day.group
        self._day = day
        self._rng = rng
        self._clock = ManualClock()
        shape = GroupShape(
            group.ranks,
            group.sets,
            group.experts,
            group.places,
            group.spare,
            group.expert_copy_s,
        )
        self._group = EmulatedGroup(group, day.popularity, shape, rng)
        self._rebalancer = EmulatedRebalancer(self._group, shape, self._clock)
        self._upstreams = [
            UpstreamEntry(
                str(rank),
                _SERVICE,
                "emulated",
                rank,
                _DOMAIN,
                group.slots,
                UpstreamPhase.READY,
            )
            for rank in range(group.ranks)
        ]
        self._allocators = [self._new_allocator() for _ in range(day.gateways)]
        self._requests = draw_requests(day, rng)
        self._arrivals = [
            (r.next_attempt_at, number) for number, r in enumerate(self._requests)
        ]
        heapify(self._arrivals)
        self._samples: list[PassSample] = []
        self._rejections = 0
        self._unwanted = 0

    def run(self) -> DayResult:
        """Run until all requests have ended."""
        shift_at = self._day.popularity.shift_every_s
        end = self._day.length_s + 2 * max(
            kind.deadline_s for kind in self._day.kinds.values()
        )
        while self._clock.now() < end and not self._has_ended():
            now = self._clock.now()
            if now >= shift_at:
                self._group.shift_popularity()
                shift_at += self._day.popularity.shift_every_s
            self._apply_slowdown(now)
            self._rebalancer.begin_pass()
            self._group.begin_pass()
            pass_s = self._group.pass_s()
            self._samples.append(
                PassSample(now, pass_s, self._group.skew, len(self._group.streams))
            )
            self._wait_until(now + pass_s)
            self._end_pass()
        for request in self._requests:
            request.outcome = request.outcome or Outcome.LOST
        return DayResult(
            self._requests,
            self._samples,
            self._rebalancer.copies,
            self._rejections,
            self._unwanted,
        )

    def _new_allocator(self) -> SlotAllocator:
        allocator = SlotAllocator(self._clock, Random(self._rng.random()), _DOMAIN)
        engine = self._day.group.engine()
        allocator.configure({_SERVICE: ServiceProfile(_SERVICE, 1000, engine)})
        return allocator

    def _has_ended(self) -> bool:
        return all(request.outcome is not None for request in self._requests)

    def _apply_slowdown(self, now: float) -> None:
        slowdown = 1.0
        for trouble in self._day.troubles:
            if trouble.is_active_at(now):
                slowdown = max(slowdown, trouble.slowdown)
        self._group.speeds[0] = 1 / slowdown

    @property
    def _usable_upstreams(self) -> list[UpstreamEntry]:
        rank_0_is_ejected = self._group.speeds[0] <= 1 / SLOWDOWN_LIMIT
        return self._upstreams[1:] if rank_0_is_ejected else self._upstreams

    def _pausing_trouble(self, rank: int) -> Trouble | None:
        """Return the trouble for which a rank rejects requests at present."""
        active = (t for t in self._day.troubles if t.is_active_at(self._clock.now()))
        return next((trouble for trouble in active if rank < trouble.pausing), None)

    def _is_leaving(self, rank: int) -> bool:
        now, ranks = self._clock.now(), self._day.group.ranks
        return any(
            t.at_s <= now and rank >= ranks - t.leaving for t in self._day.troubles
        )

    def _accepting_upstreams(self, allocator: SlotAllocator) -> Sequence[UpstreamEntry]:
        return allocator.announcements.accepting(self._usable_upstreams)

    def _wait_until(self, end: float) -> None:
        """Advance the clock to the end of the pass and serve arriving requests."""
        while (now := self._clock.now()) < end:
            if now >= self._next_round_at(now):
                self._exchange_loads()
                if self._rebalancing_enabled:
                    self._rebalancer.run_round()
            self._enqueue_arrivals(now)
            self._grant_slots(now)
            self._clock.advance(min(_TICK_S, end - now) or _TICK_S)

    def _next_round_at(self, now: float) -> float:
        # Rounds are due at multiples of their interval.
        before = now - _TICK_S
        return now if int(now / ROUND_S) != int(before / ROUND_S) else now + 1

    def _exchange_loads(self) -> None:
        loads_by_gateway = [allocator.local_in_flight for allocator in self._allocators]
        for index, allocator in enumerate(self._allocators):
            peer_loads: dict[str, int] = {}
            for other, loads in enumerate(loads_by_gateway):
                if other == index:
                    continue
                for upstream, count in loads.items():
                    peer_loads[upstream] = peer_loads.get(upstream, 0) + count
            factors = [
                other.pass_factors
                for other in self._allocators
                if other is not allocator
            ]
            peer_factors = [f[_SERVICE] for f in factors if _SERVICE in f]
            allocator.update_peer_loads(
                peer_loads,
                len(self._allocators),
                {_SERVICE: self._accepting_upstreams(allocator)},
                {_SERVICE: median(peer_factors)} if peer_factors else {},
            )

    def _enqueue_arrivals(self, now: float) -> None:
        while self._arrivals and self._arrivals[0][0] <= now:
            _, number = heappop(self._arrivals)
            request = self._requests[number]
            request.attempts += 1
            kind = request.kind
            self._allocators[request.gateway].enqueue(
                SlotRequest(
                    TicketId(number),
                    _SERVICE,
                    kind.priority,
                    now,
                    Deadline(request.arrived_at + kind.deadline_s),
                    kind.target_s,
                    kind.target_pause_s,
                    request.next_attempt_at - request.arrived_at,
                )
            )

    def _grant_slots(self, now: float) -> None:
        for index, allocator in enumerate(self._allocators):
            upstreams = self._accepting_upstreams(allocator)
            resumes_at = self._resumes_at(allocator, upstreams)
            refusing = {
                upstream.id
                for upstream in self._usable_upstreams
                if not allocator.announcements.accepts_requests(upstream.incarnation)
            }
            for slot_request, decision in allocator.grant(
                _SERVICE, upstreams, resumes_at
            ):
                if not isinstance(decision, SlotGrant):
                    self._refuse(slot_request, decision.retry_after_s)
                    continue
                upstream = decision.upstream
                self._unwanted += upstream.id in refusing
                if trouble := self._pausing_trouble(upstream.port):
                    self._reject(slot_request, allocator, upstream, trouble)
                else:
                    self._start_stream(slot_request, index, upstream, now)

    def _resumes_at(
        self, allocator: SlotAllocator, accepting: Sequence[UpstreamEntry]
    ) -> Deadline | None:
        if accepting:
            return None
        return allocator.announcements.resumes_at(
            upstream.incarnation for upstream in self._usable_upstreams
        )

    def _start_stream(
        self,
        slot_request: SlotRequest,
        gateway: int,
        upstream: UpstreamEntry,
        now: float,
    ) -> None:
        number = slot_request.ticket
        request = self._requests[number]
        announcements = self._allocators[gateway].announcements
        request_id = RequestId(str(number))
        if self._is_leaving(upstream.port):
            announcements.record_leaving(upstream.incarnation, request_id)
        announcements.record_accepted(upstream.incarnation, now, request_id)
        self._group.streams[number] = Stream(
            number,
            gateway,
            RankIndex(upstream.port),
            request.prompt_tokens,
            request.events,
            now,
        )

    def _reject(
        self,
        slot_request: SlotRequest,
        allocator: SlotAllocator,
        upstream: UpstreamEntry,
        trouble: Trouble,
    ) -> None:
        """Let a rank reject a request; try another rank or refuse the caller."""
        self._rejections += 1
        allocator.announcements.record_pause(
            upstream.incarnation,
            deadline_after(self._clock, trouble.pause_s),
            RequestId(str(slot_request.ticket)),
        )
        allocator.record_rejected(_SERVICE, upstream.id)
        allocator.release(slot_request.ticket)
        excluded = slot_request.excluded | {upstream.id}
        if len(excluded) < _MAX_RANKS:
            allocator.enqueue(replace(slot_request, excluded=excluded))
            return
        resumes_at = self._resumes_at(allocator, self._accepting_upstreams(allocator))
        if resumes_at is None:
            left_s = remaining(self._clock, slot_request.deadline)
            self._refuse(slot_request, left_s * RETRY_AFTER_FRACTION)
        else:
            self._refuse(slot_request, remaining(self._clock, resumes_at))

    def _refuse(self, slot_request: SlotRequest, retry_after_s: float) -> None:
        request = self._requests[slot_request.ticket]
        gateway = self._rng.randrange(len(self._allocators))
        request.record_refusal(self._clock.now(), retry_after_s, gateway)
        if request.outcome is None:
            heappush(self._arrivals, (request.next_attempt_at, slot_request.ticket))

    def _end_pass(self) -> None:
        now = self._clock.now()
        for stream in self._group.end_pass(now):
            allocator = self._allocators[stream.gateway]
            request = self._requests[stream.ticket]
            if stream.first_event_at == now:
                allocator.observe_first_event(_SERVICE, now - stream.started_at)
                allocator.record_accepted(_SERVICE)
            else:
                event_gap_s = self._samples[-1].pass_s
                allocator.observe_event_gap(
                    _SERVICE, event_gap_s, self._usable_upstreams
                )
            client_timeout_s = FIRST_EVENT_TIMEOUT_FACTOR * request.kind.target_s
            has_timed_out = (
                stream.first_event_at or now
            ) - request.next_attempt_at > client_timeout_s
            if stream.events_left > 0 and not has_timed_out:
                continue
            del self._group.streams[stream.ticket]
            allocator.release(TicketId(stream.ticket))
            if has_timed_out:
                request.outcome = Outcome.LOST
            else:
                first_event_at = (
                    stream.first_event_at or now
                ) + self._day.group.first_event_s
                request.complete(first_event_at, stream.max_event_gap_s)
