"""Callers of an emulated day: what they ask, and what they got."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, unique
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from random import Random

    from sardineyard.emulator.days import Day, Kind

# Callers give a stream up before its first event after this multiple of its target.
PATIENCE_TARGETS = 4.0
# A caller that was refused comes back once.
_ATTEMPTS = 2


@unique
class Outcome(Enum):
    """Say how a request ended for its caller."""

    IN_TIME = "in time"
    LATE = "late"
    LOST = "lost"


@dataclass(slots=True)
class Request:
    """Hold one request of a caller over all its attempts."""

    kind: Kind
    asked_at: float
    gateway: int
    prompt_tokens: float
    events: int
    attempts: int = 0
    # Moment at which the next attempt begins.
    due_at: float = 0.0
    outcome: Outcome | None = None

    @property
    def worth(self) -> float:
        """Return what the caller got out of the request."""
        if self.outcome is Outcome.IN_TIME:
            return self.kind.worth
        return self.kind.late_worth if self.outcome is Outcome.LATE else 0.0

    def end(self, first_at: float, longest_pause_s: float) -> None:
        """Note that the whole answer arrived."""
        in_time = (
            first_at - self.asked_at <= self.kind.target_s
            and longest_pause_s <= self.kind.target_pause_s
        )
        self.outcome = Outcome.IN_TIME if in_time else Outcome.LATE

    def refuse(self, now: float, retry_after_s: float, gateway: int) -> None:
        """Come back later at another gateway, or give up."""
        self.due_at = now + retry_after_s
        self.gateway = gateway
        if self.attempts >= _ATTEMPTS or self.due_at > self._gives_up_at:
            self.outcome = Outcome.LOST

    @property
    def _gives_up_at(self) -> float:
        return self.asked_at + self.kind.deadline_s


def draw_requests(day: Day, rng: Random) -> list[Request]:
    """Return all requests of a day in the order of their time."""
    drawn = []
    for kind in day.kinds.values():
        now = 0.0
        while True:
            now += rng.expovariate(kind.per_s * _burst_at(day, now))
            if now >= day.length_s:
                break
            request = Request(
                kind,
                now,
                rng.randrange(day.gateways),
                kind.prompt_tokens * rng.lognormvariate(-0.32, 0.8),
                max(2, round(rng.expovariate(1 / kind.events))),
                due_at=now,
            )
            drawn.append(request)
    return sorted(drawn, key=lambda request: request.asked_at)


def _burst_at(day: Day, now: float) -> float:
    factor = 1.0
    for trouble in day.troubles:
        if trouble.holds_at(now):
            factor *= trouble.burst
    return factor
