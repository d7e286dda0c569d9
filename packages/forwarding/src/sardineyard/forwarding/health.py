"""Ejection of upstreams that fail more often than the others, or that are slow."""

from __future__ import annotations

import logging
from dataclasses import dataclass
from typing import TYPE_CHECKING

from sardineyard.core.clock import Deadline, deadline_after

if TYPE_CHECKING:
    from collections.abc import Sequence

    from sardineyard.core.clock import Clock

_logger = logging.getLogger(__name__)

# Weight of the newest result in the moving failure rate: about the last eight calls.
_NEWEST_WEIGHT = 0.12
# An upstream is ejected when its failure rate is above this and above twice the mean
# of its service, so that a fault shared by all ejects nobody.
_EJECTION_RATE = 0.35
_MEAN_FACTOR = 2.0
# Seconds of the first ejection; they double with each further one in a row.
_FIRST_EJECTION_S = 1.0
_LONGEST_EJECTION_S = 8.0
# Most of a service that may be ejected at once.
_MAX_EJECTED_SHARE = 0.34
# Slowdown from which an upstream gets no new work. A rank that reads a prompt of 835
# tokens in 14 ms takes 27 ms then, and all ranks of its group wait for it.
SLOWDOWN_LIMIT = 2.0
# Time for which one report of a slowdown holds; they come three times a second.
_SLOW_S = 1.5


_NEVER = Deadline(float("-inf"))


@dataclass(slots=True)
class _Health:
    failure_rate: float = 0.0
    ejected_until: Deadline = _NEVER
    ejections: int = 0
    slow_until: Deadline = _NEVER

    def is_available(self, now: float) -> bool:
        """Return whether new work may be given."""
        return self.ejected_until <= now and self.slow_until <= now


class HealthTable:
    """Follow the results of calls by upstream."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._health: dict[str, _Health] = {}

    def succeeded(self, upstream: str) -> None:
        """Count a call that was answered."""
        health = self._health.get(upstream)
        if health is not None:
            health.failure_rate *= 1 - _NEWEST_WEIGHT
            if self._clock.now() > health.ejected_until:
                health.ejections = 0

    def failed(self, upstream: str, peers: Sequence[str], *, certain: bool) -> None:
        """Count a failed call; a certain failure, such as no listener, ejects."""
        health = self._health.setdefault(upstream, _Health())
        health.failure_rate += (1 - health.failure_rate) * _NEWEST_WEIGHT
        now = self._clock.now()
        if health.ejected_until > now:
            return
        others = [self._rate(peer) for peer in peers if peer != upstream]
        mean = sum(others) / len(others) if others else 1.0
        is_outlier = health.failure_rate > max(_EJECTION_RATE, _MEAN_FACTOR * mean)
        if certain or is_outlier:
            self._eject(upstream, health, peers)

    def slowed(self, upstream: str, slowdown: float, peers: Sequence[str]) -> None:
        """Take in how much longer than usual an upstream's work takes."""
        if slowdown < SLOWDOWN_LIMIT:
            return
        health = self._health.setdefault(upstream, _Health())
        now = self._clock.now()
        if health.slow_until <= now:
            if not self._may_lose_one(peers):
                return
            _logger.info(
                "an upstream gets no new work while it is slow",
                extra={
                    "event": "upstream_slow",
                    "upstream": upstream,
                    "slowdown": round(slowdown, 1),
                },
            )
        health.slow_until = deadline_after(self._clock, _SLOW_S)

    def available(self, upstreams: Sequence[str]) -> set[str]:
        """Return the upstreams that are not ejected; all, where none would be left."""
        now = self._clock.now()
        left = {
            upstream
            for upstream in upstreams
            if upstream not in self._health or self._health[upstream].is_available(now)
        }
        return left or set(upstreams)

    def forget_all_but(self, upstreams: set[str]) -> None:
        """Drop what is known of upstreams that are gone."""
        for upstream in list(self._health):
            if upstream not in upstreams:
                del self._health[upstream]

    def _rate(self, upstream: str) -> float:
        health = self._health.get(upstream)
        return health.failure_rate if health else 0.0

    def _may_lose_one(self, peers: Sequence[str]) -> bool:
        lost = len(peers) - len(self.available(peers))
        return len(peers) <= 1 or lost + 1 <= max(1, len(peers) * _MAX_EJECTED_SHARE)

    def _eject(self, upstream: str, health: _Health, peers: Sequence[str]) -> None:
        if not self._may_lose_one(peers):
            return
        seconds = min(_LONGEST_EJECTION_S, _FIRST_EJECTION_S * 2**health.ejections)
        health.ejections += 1
        health.ejected_until = deadline_after(self._clock, seconds)
        _logger.info(
            "an upstream gets no new work for a time",
            extra={
                "event": "upstream_ejected",
                "upstream": upstream,
                "failure_rate": round(health.failure_rate, 3),
                "seconds": seconds,
            },
        )
