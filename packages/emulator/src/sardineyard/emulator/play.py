"""One day in simulated time, with the project's own places and planner."""

from __future__ import annotations

from dataclasses import dataclass
from heapq import heapify, heappop, heappush
from random import Random
from statistics import median
from typing import TYPE_CHECKING

from sardineyard.core.clock import Deadline, ManualClock
from sardineyard.core.ids import FailureDomain, RankIndex, ServiceName
from sardineyard.emulator.callers import PATIENCE_TARGETS, Outcome, draw_requests
from sardineyard.emulator.group import EmulatedGroup, Stream
from sardineyard.emulator.levelling import ROUND_S, MapFollower
from sardineyard.experts.leveling import GroupShape
from sardineyard.forwarding.config import (
    ServiceProfile,
    UpstreamEntry,
    UpstreamPhase,
)
from sardineyard.forwarding.health import SLOWDOWN_LIMIT
from sardineyard.forwarding.place_messages import Place, PlaceRequest, TicketId
from sardineyard.forwarding.places import PlaceBook

if TYPE_CHECKING:
    from sardineyard.emulator.callers import Request
    from sardineyard.emulator.days import Day

_SERVICE = ServiceName("emulated")
_DOMAIN = FailureDomain("emulated")
# Gateways look at waiting requests this often.
_TICK_S = 0.02


@dataclass(frozen=True, slots=True)
class Sample:
    """Hold the state of the group at one pass."""

    at: float
    pass_s: float
    skew: float
    streams: int


@dataclass(frozen=True, slots=True)
class Played:
    """Hold what a day brought."""

    requests: list[Request]
    samples: list[Sample]
    copies: int

    @property
    def worth(self) -> float:
        """Return the worth of all answers over that of all requests."""
        owed = sum(request.kind.worth for request in self.requests)
        return sum(request.worth for request in self.requests) / owed if owed else 0.0


class Emulation:
    """Play one day, pass by pass."""

    def __init__(self, day: Day, seed: int, *, levels_map: bool = True) -> None:
        rng = Random(seed)
        self._levels_map = levels_map
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
        self._follower = MapFollower(self._group, shape, self._clock)
        self._entries = [
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
        self._books = [self._new_book() for _ in range(day.gateways)]
        self._requests = draw_requests(day, rng)
        self._due = [(r.due_at, number) for number, r in enumerate(self._requests)]
        heapify(self._due)
        self._samples: list[Sample] = []

    def run(self) -> Played:
        """Play until all requests have ended."""
        shift_at = self._day.popularity.shift_every_s
        end = self._day.length_s + 2 * max(
            kind.deadline_s for kind in self._day.kinds.values()
        )
        while self._clock.now() < end and not self._is_over():
            now = self._clock.now()
            if now >= shift_at:
                self._group.shift()
                shift_at += self._day.popularity.shift_every_s
            self._slow_down(now)
            self._follower.begin_pass()
            self._group.begin_pass()
            pass_s = self._group.pass_s()
            self._samples.append(
                Sample(now, pass_s, self._group.skew, len(self._group.streams))
            )
            self._wait_until(now + pass_s)
            self._end_pass()
        for request in self._requests:
            request.outcome = request.outcome or Outcome.LOST
        return Played(self._requests, self._samples, self._follower.copies)

    def _new_book(self) -> PlaceBook:
        book = PlaceBook(self._clock, Random(self._rng.random()), _DOMAIN)
        engine = self._day.group.engine()
        book.configure({_SERVICE: ServiceProfile(_SERVICE, 1000, engine)})
        return book

    def _is_over(self) -> bool:
        return all(request.outcome is not None for request in self._requests)

    def _slow_down(self, now: float) -> None:
        slowdown = 1.0
        for trouble in self._day.troubles:
            if trouble.holds_at(now):
                slowdown = max(slowdown, trouble.slowdown)
        self._group.speeds[0] = 1 / slowdown

    @property
    def _usable(self) -> list[UpstreamEntry]:
        is_slow = self._group.speeds[0] <= 1 / SLOWDOWN_LIMIT
        return self._entries[1:] if is_slow else self._entries

    def _wait_until(self, end: float) -> None:
        """Let requests arrive and be decided on until the pass ends."""
        while (now := self._clock.now()) < end:
            if now >= self._next_round(now):
                self._exchange_loads()
                if self._levels_map:
                    self._follower.look()
            self._let_arrive(now)
            self._grant_all(now)
            self._clock.advance(min(_TICK_S, end - now) or _TICK_S)

    def _next_round(self, now: float) -> float:
        # Rounds are due at multiples of their length.
        before = now - _TICK_S
        return now if int(now / ROUND_S) != int(before / ROUND_S) else now + 1

    def _exchange_loads(self) -> None:
        own = [book.own_in_flight for book in self._books]
        for index, book in enumerate(self._books):
            others: dict[str, int] = {}
            for other, loads in enumerate(own):
                if other == index:
                    continue
                for upstream, count in loads.items():
                    others[upstream] = others.get(upstream, 0) + count
            factors = [other.pass_factors for other in self._books if other is not book]
            heard = [f[_SERVICE] for f in factors if _SERVICE in f]
            book.hear(
                others,
                len(self._books),
                {_SERVICE: self._usable},
                {_SERVICE: median(heard)} if heard else {},
            )

    def _let_arrive(self, now: float) -> None:
        while self._due and self._due[0][0] <= now:
            _, number = heappop(self._due)
            request = self._requests[number]
            request.attempts += 1
            kind = request.kind
            self._books[request.gateway].enqueue(
                PlaceRequest(
                    TicketId(number),
                    _SERVICE,
                    kind.priority,
                    now,
                    Deadline(request.asked_at + kind.deadline_s),
                    kind.target_s,
                    kind.target_pause_s,
                    request.due_at - request.asked_at,
                )
            )

    def _grant_all(self, now: float) -> None:
        for index, book in enumerate(self._books):
            for asked, decision in book.grant(_SERVICE, self._usable):
                request = self._requests[asked.ticket]
                if isinstance(decision, Place):
                    self._group.streams[asked.ticket] = Stream(
                        asked.ticket,
                        index,
                        RankIndex(decision.upstream.port),
                        request.prompt_tokens,
                        request.events,
                        now,
                    )
                    continue
                gateway = self._rng.randrange(len(self._books))
                request.refuse(now, decision.retry_after_s, gateway)
                if request.outcome is None:
                    heappush(self._due, (request.due_at, asked.ticket))

    def _end_pass(self) -> None:
        now = self._clock.now()
        for stream in self._group.end_pass(now):
            book = self._books[stream.gateway]
            request = self._requests[stream.ticket]
            if stream.first_at == now:
                book.observe_first_event(_SERVICE, now - stream.placed_at)
            else:
                pause_s = self._samples[-1].pass_s
                book.observe_pause(_SERVICE, pause_s, self._usable)
            patience_s = PATIENCE_TARGETS * request.kind.target_s
            has_left = (stream.first_at or now) - request.due_at > patience_s
            if stream.events_left > 0 and not has_left:
                continue
            del self._group.streams[stream.ticket]
            book.release(TicketId(stream.ticket))
            if has_left:
                request.outcome = Outcome.LOST
            else:
                first_at = (stream.first_at or now) + self._day.group.first_event_s
                request.end(first_at, stream.longest_pause_s)
