"""One day in simulated time, with the production slot allocator and planner."""

from __future__ import annotations

from dataclasses import dataclass
from heapq import heapify, heappop, heappush
from random import Random
from statistics import median
from typing import TYPE_CHECKING

from sardineyard.core.clock import Deadline, ManualClock
from sardineyard.core.ids import FailureDomain, RankIndex, ServiceName
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
from sardineyard.forwarding.slot_messages import SlotGrant, SlotRequest, TicketId
from sardineyard.forwarding.slots import SlotAllocator

if TYPE_CHECKING:
    from sardineyard.emulator.callers import Request
    from sardineyard.emulator.days import Day

_SERVICE = ServiceName("emulated")
_DOMAIN = FailureDomain("emulated")
# Interval at which gateways decide on waiting requests.
_TICK_S = 0.02


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
        return DayResult(self._requests, self._samples, self._rebalancer.copies)

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
                {_SERVICE: self._usable_upstreams},
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
            for slot_request, decision in allocator.grant(
                _SERVICE, self._usable_upstreams
            ):
                request = self._requests[slot_request.ticket]
                if isinstance(decision, SlotGrant):
                    self._group.streams[slot_request.ticket] = Stream(
                        slot_request.ticket,
                        index,
                        RankIndex(decision.upstream.port),
                        request.prompt_tokens,
                        request.events,
                        now,
                    )
                    continue
                gateway = self._rng.randrange(len(self._allocators))
                request.record_refusal(now, decision.retry_after_s, gateway)
                if request.outcome is None:
                    heappush(
                        self._arrivals, (request.next_attempt_at, slot_request.ticket)
                    )

    def _end_pass(self) -> None:
        now = self._clock.now()
        for stream in self._group.end_pass(now):
            allocator = self._allocators[stream.gateway]
            request = self._requests[stream.ticket]
            if stream.first_event_at == now:
                allocator.observe_first_event(_SERVICE, now - stream.started_at)
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
