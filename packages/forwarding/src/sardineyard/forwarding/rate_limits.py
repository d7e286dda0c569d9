"""Limits on the requests a second that single upstreams take from all gateways."""

from __future__ import annotations

import logging
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable
    from random import Random

    from sardineyard.core.clock import Clock
    from sardineyard.forwarding.quarantine import PeerHost

_logger = logging.getLogger(__name__)

# Seconds of the limit that may be used at once after a time with fewer requests.
_BURST_S = 0.5
# Lower bound of that burst in requests, for limits below one request a second.
_MIN_BURST = 1.0
# Lower bound of a limit, in requests a second: only the answer to a request shows that
# an upstream no longer has a limit.
_MIN_RATE_PER_S = 0.2
# Time in seconds for which gateways are told that a limit has ended. It covers lost
# datagrams and the age of earlier statements that may still arrive.
_ENDED_STATEMENT_S = 5.0


class LimitStatement(msgspec.Struct, frozen=True, array_like=True):
    """What one gateway knows of the limit of one upstream, to be sent to the others."""

    upstream: str
    # Requests a second; None if the upstream no longer names a limit.
    limit_per_s: float | None
    # Seconds since the answer with the limit, or the first one without it. Clocks of
    # two processes cannot be compared.
    age_s: float
    # Requests that the sender has sent to the upstream while it knew of a limit.
    sent: int


@dataclass(slots=True)
class _Limit:
    rate_per_s: float | None
    stated_at: float
    # Requests of all gateways that the rate has not yet made up for.
    level: float = 0.0
    level_at: float = 0.0
    # Requests that this process may send until the next update from its peers.
    credit: int = 0
    sent: int = 0
    # Count of each peer in its last statement.
    sent_by_peer: dict[PeerHost, int] = field(default_factory=dict)

    def burst(self) -> float:
        """Return the number of requests that may be sent at once."""
        rate = self.rate_per_s or 0.0
        return max(_MIN_BURST, rate * _BURST_S)


class UpstreamRateLimits:
    """Keeps the requests of all gateways within the limits of single upstreams.

    Each gateway counts its own requests and those that the others state. What the limit
    leaves is divided among the gateways by chance, anew at each update: fixed shares of
    a limit of a few requests a second would add up to a burst of one per gateway.
    """

    def __init__(self, clock: Clock, rng: Random) -> None:
        self._clock = clock
        self._rng = rng
        self._limits: dict[str, _Limit] = {}

    def observe(self, upstream: str, limit_per_s: float | None) -> None:
        """Record the limit that an answer names, or that it names none."""
        if limit_per_s is not None or upstream in self._limits:
            self._apply(upstream, limit_per_s, self._clock.now(), "response")

    def receive(self, peer: PeerHost, statements: Iterable[LimitStatement]) -> None:
        """Apply the statements of another gateway."""
        now = self._clock.now()
        for statement in statements:
            known = self._limits.get(statement.upstream)
            if known is None and statement.limit_per_s is None:
                continue
            limit = self._apply(
                statement.upstream,
                statement.limit_per_s,
                now - statement.age_s,
                f"peer {peer}",
            )
            # The count starts at zero again when the peer restarts.
            before = limit.sent_by_peer.get(peer, statement.sent)
            self._decay(limit)
            limit.level += max(0, statement.sent - before)
            limit.sent_by_peer[peer] = statement.sent

    def statements(self) -> tuple[LimitStatement, ...]:
        """Return what this process knows, the newest first."""
        now = self._clock.now()
        newest_first = sorted(self._limits.items(), key=lambda item: -item[1].stated_at)
        return tuple(
            LimitStatement(
                upstream, limit.rate_per_s, max(0.0, now - limit.stated_at), limit.sent
            )
            for upstream, limit in newest_first
        )

    def update_credits(self, processes: int) -> None:
        """Draw the share of this process in what the limits leave free."""
        now = self._clock.now()
        for upstream, limit in list(self._limits.items()):
            if limit.rate_per_s is None:
                if now - limit.stated_at > _ENDED_STATEMENT_S:
                    del self._limits[upstream]
                continue
            self._decay(limit)
            share = max(0.0, limit.burst() - limit.level) / max(1, processes)
            limit.credit = int(share) + (self._rng.random() < share % 1.0)

    def may_send(self, upstream: str) -> bool:
        """Return whether this process may send a request to an upstream now."""
        limit = self._limits.get(upstream)
        return limit is None or limit.rate_per_s is None or limit.credit > 0

    def record_sent(self, upstream: str) -> None:
        """Count a request that this process sends to an upstream."""
        limit = self._limits.get(upstream)
        if limit is None:
            return
        self._decay(limit)
        limit.level += 1.0
        limit.credit -= 1
        limit.sent += 1

    def total_rate_per_s(self, upstreams: Iterable[str]) -> float | None:
        """Return the sum of the limits, or None if an upstream has none."""
        total = 0.0
        for upstream in upstreams:
            limit = self._limits.get(upstream)
            if limit is None or limit.rate_per_s is None:
                return None
            total += limit.rate_per_s
        return total or None

    def retain_only(self, upstreams: Collection[str]) -> None:
        """Forget the limits of upstreams that are not listed any more."""
        for upstream in self._limits.keys() - upstreams:
            del self._limits[upstream]

    def _apply(
        self, upstream: str, limit_per_s: float | None, stated_at: float, source: str
    ) -> _Limit:
        limit = self._limits.get(upstream)
        if limit is None:
            limit = _Limit(None, float("-inf"), level_at=self._clock.now())
            self._limits[upstream] = limit
        has_ended_before = limit_per_s is None and limit.rate_per_s is None
        if stated_at < limit.stated_at or has_ended_before:
            return limit
        self._decay(limit)
        rate = None if limit_per_s is None else max(_MIN_RATE_PER_S, limit_per_s)
        if rate != limit.rate_per_s:
            _log_limit(upstream, rate, source)
        limit.stated_at, limit.rate_per_s = stated_at, rate
        return limit

    def _decay(self, limit: _Limit) -> None:
        now = self._clock.now()
        elapsed_s = now - limit.level_at
        limit.level = max(0.0, limit.level - (limit.rate_per_s or 0.0) * elapsed_s)
        limit.level_at = now


def _log_limit(upstream: str, rate_per_s: float | None, source: str) -> None:
    _logger.info(
        "rate limit of an upstream changed",
        extra={
            "event": "upstream_rate_limit",
            "upstream": upstream,
            "limit_per_s": rate_per_s,
            "source": source,
        },
    )
