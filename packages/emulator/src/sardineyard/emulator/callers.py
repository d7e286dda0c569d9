"""Callers of an emulated day: their requests, retries and outcomes."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, unique
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from random import Random

    from sardineyard.emulator.days import Day, RequestKind

# Client timeout for the first event of a stream, as a multiple of its latency target.
FIRST_EVENT_TIMEOUT_FACTOR = 4.0
# A caller retries a refused request once.
_MAX_ATTEMPTS = 2


@unique
class Outcome(Enum):
    """Outcome of a request for its caller."""

    IN_TIME = "in time"
    LATE = "late"
    LOST = "lost"


@dataclass(slots=True)
class Request:
    """Request of a caller, over all its attempts."""

    kind: RequestKind
    arrived_at: float
    gateway: int
    prompt_tokens: float
    events: int
    attempts: int = 0
    # Time at which the next attempt is sent, in seconds.
    next_attempt_at: float = 0.0
    outcome: Outcome | None = None

    @property
    def worth(self) -> float:
        """Return the worth of the outcome to the caller."""
        if self.outcome is Outcome.IN_TIME:
            return self.kind.worth
        return self.kind.late_worth if self.outcome is Outcome.LATE else 0.0

    def complete(self, first_event_at: float, max_event_gap_s: float) -> None:
        """Set the outcome of a complete response: in time or late."""
        in_time = (
            first_event_at - self.arrived_at <= self.kind.target_s
            and max_event_gap_s <= self.kind.target_pause_s
        )
        self.outcome = Outcome.IN_TIME if in_time else Outcome.LATE

    def record_refusal(self, now: float, retry_after_s: float, gateway: int) -> None:
        """Schedule a retry at another gateway, or count the request as lost."""
        self.next_attempt_at = now + retry_after_s
        self.gateway = gateway
        if self.attempts >= _MAX_ATTEMPTS or self.next_attempt_at > self._deadline_at:
            self.outcome = Outcome.LOST

    @property
    def _deadline_at(self) -> float:
        return self.arrived_at + self.kind.deadline_s


def draw_requests(day: Day, rng: Random) -> list[Request]:
    """Draw all requests of a day at random, ordered by arrival time."""
    requests = []
    for kind in day.kinds.values():
        now = 0.0
        while True:
            now += rng.expovariate(kind.per_s * _arrival_rate_factor(day, now))
            if now >= day.length_s:
                break
            request = Request(
                kind,
                now,
                rng.randrange(day.gateways),
                kind.prompt_tokens * rng.lognormvariate(-0.32, 0.8),
                max(2, round(rng.expovariate(1 / kind.events))),
                next_attempt_at=now,
            )
            requests.append(request)
    return sorted(requests, key=lambda request: request.arrived_at)


def _arrival_rate_factor(day: Day, now: float) -> float:
    factor = 1.0
    for trouble in day.troubles:
        if trouble.is_active_at(now):
            factor *= trouble.burst
    return factor
