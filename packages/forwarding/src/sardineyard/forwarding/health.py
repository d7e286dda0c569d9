"""Upstream health: ejection of upstreams that fail too often or are slow."""

from __future__ import annotations

import logging
from dataclasses import dataclass
from typing import TYPE_CHECKING

from sardineyard.core.clock import Deadline, deadline_after

if TYPE_CHECKING:
    from collections.abc import Sequence

    from sardineyard.core.clock import Clock

_logger = logging.getLogger(__name__)

# Weight of the newest result in the moving failure rate: it covers about eight calls.
_NEWEST_WEIGHT = 0.12
# An upstream is ejected if its failure rate is above this rate and above this multiple
# of the mean rate of its peers, so that a fault common to all upstreams ejects none.
_MIN_EJECTION_RATE = 0.35
_OUTLIER_FACTOR = 2.0
# Seconds of the first ejection; each consecutive ejection lasts twice as long.
_FIRST_EJECTION_S = 1.0
_MAX_EJECTION_S = 8.0
# Maximum fraction of the upstreams of a service that may be unavailable at once.
_MAX_EJECTED_SHARE = 0.34
# Slowdown factor from which an upstream gets no new requests. At this factor, a rank
# that otherwise reads a prompt of 835 tokens in 14 ms takes 27 ms, and all ranks of its
# group wait for it.
SLOWDOWN_LIMIT = 2.0
# Seconds for which a slowdown report is valid; reports come three times a second.
_SLOWDOWN_VALIDITY_S = 1.5


_NEVER = Deadline(float("-inf"))


@dataclass(slots=True)
class _Health:
    failure_rate: float = 0.0
    ejected_until: Deadline = _NEVER
    ejections: int = 0
    slow_until: Deadline = _NEVER

    def is_available(self, now: float) -> bool:
        """Return whether the upstream may get new requests."""
        return self.ejected_until <= now and self.slow_until <= now


class HealthTable:
    """Failure rates, ejections and slowdowns by upstream."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._health: dict[str, _Health] = {}

    def record_success(self, upstream: str) -> None:
        """Count a call that got a response."""
        health = self._health.get(upstream)
        if health is not None:
            health.failure_rate *= 1 - _NEWEST_WEIGHT
            if self._clock.now() > health.ejected_until:
                health.ejections = 0

    def record_failure(
        self, upstream: str, peers: Sequence[str], *, eject_immediately: bool
    ) -> None:
        """Count a failed call; eject an upstream that is an outlier or down."""
        health = self._health.setdefault(upstream, _Health())
        health.failure_rate += (1 - health.failure_rate) * _NEWEST_WEIGHT
        now = self._clock.now()
        if health.ejected_until > now:
            return
        others = [self._rate(peer) for peer in peers if peer != upstream]
        mean = sum(others) / len(others) if others else 1.0
        is_outlier = health.failure_rate > max(
            _MIN_EJECTION_RATE, _OUTLIER_FACTOR * mean
        )
        if eject_immediately or is_outlier:
            self._eject(upstream, health, peers)

    def record_slowdown(
        self, upstream: str, slowdown: float, peers: Sequence[str]
    ) -> None:
        """Record by which factor an upstream is slower than its baseline."""
        if slowdown < SLOWDOWN_LIMIT:
            return
        health = self._health.setdefault(upstream, _Health())
        now = self._clock.now()
        if health.slow_until <= now:
            if not self._can_eject_another(peers):
                return
            _logger.info(
                "upstream is slow; sending it no new requests",
                extra={
                    "event": "upstream_slow",
                    "upstream": upstream,
                    "slowdown": round(slowdown, 1),
                },
            )
        health.slow_until = deadline_after(self._clock, _SLOWDOWN_VALIDITY_S)

    def available(self, upstreams: Sequence[str]) -> set[str]:
        """Return the upstreams that may get new requests; all of them if none may."""
        now = self._clock.now()
        available = {
            upstream
            for upstream in upstreams
            if upstream not in self._health or self._health[upstream].is_available(now)
        }
        return available or set(upstreams)

    def retain_only(self, upstreams: set[str]) -> None:
        """Drop the health of all upstreams except those given."""
        for upstream in list(self._health):
            if upstream not in upstreams:
                del self._health[upstream]

    def _rate(self, upstream: str) -> float:
        health = self._health.get(upstream)
        return health.failure_rate if health else 0.0

    def _can_eject_another(self, peers: Sequence[str]) -> bool:
        unavailable = len(peers) - len(self.available(peers))
        return len(peers) <= 1 or unavailable + 1 <= max(
            1, len(peers) * _MAX_EJECTED_SHARE
        )

    def _eject(self, upstream: str, health: _Health, peers: Sequence[str]) -> None:
        if not self._can_eject_another(peers):
            return
        seconds = min(_MAX_EJECTION_S, _FIRST_EJECTION_S * 2**health.ejections)
        health.ejections += 1
        health.ejected_until = deadline_after(self._clock, seconds)
        _logger.info(
            "upstream ejected; sending it no new requests for a time",
            extra={
                "event": "upstream_ejected",
                "upstream": upstream,
                "failure_rate": round(health.failure_rate, 3),
                "seconds": seconds,
            },
        )
