"""Crash counts that travel with the exchange between peers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sardineyard.core.clock import Deadline
from sardineyard.core.crashes import CrashCount
from sardineyard.core.ids import Fingerprint
from sardineyard.wire import peer_pb2 as pb

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sardineyard.core.clock import Clock

# Counts in one message; with 50 bytes each they stay below 2 KB.
MAX_SENT = 32
MAX_KNOWN = 1_000
_LONGEST_EXPIRY_S = 3_600


class CrashCounts:
    """Keep the greatest count of each request until it expires."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._counts: dict[Fingerprint, CrashCount] = {}

    def __len__(self) -> int:
        return len(self._counts)

    def merge(self, counts: Iterable[CrashCount]) -> tuple[CrashCount, ...]:
        """Take counts in and return those that are new or greater."""
        self._expire()
        grown = []
        for count in counts:
            known = self._counts.get(count.fingerprint)
            if known is not None and known.crashes >= count.crashes:
                continue
            if known is None and len(self._counts) >= MAX_KNOWN:
                del self._counts[min(self._counts, key=self._expiry_of)]
            self._counts[count.fingerprint] = count
            grown.append(count)
        return tuple(grown)

    def select(self) -> tuple[CrashCount, ...]:
        """Return the counts to send, those with the most crashes first."""
        self._expire()
        ordered = sorted(
            self._counts.values(), key=lambda count: (-count.crashes, -count.expires)
        )
        return tuple(ordered[:MAX_SENT])

    def _expire(self) -> None:
        now = self._clock.now()
        expired = [
            fingerprint
            for fingerprint, count in self._counts.items()
            if count.expires <= now
        ]
        for fingerprint in expired:
            del self._counts[fingerprint]

    def _expiry_of(self, fingerprint: Fingerprint) -> Deadline:
        return self._counts[fingerprint].expires


def encode_counts(counts: Iterable[CrashCount], now: float) -> list[pb.CrashCount]:
    """Encode counts; clocks differ between processes, hence the time left."""
    return [
        pb.CrashCount(
            fingerprint=count.fingerprint,
            crashes=count.crashes,
            expires_in_s=max(0, int(count.expires - now)),
        )
        for count in counts
    ]


def decode_counts(counts: Iterable[pb.CrashCount], now: float) -> list[CrashCount]:
    """Decode counts and bound the time for which they are believed."""
    return [
        CrashCount(
            Fingerprint(count.fingerprint),
            count.crashes,
            Deadline(now + min(count.expires_in_s, _LONGEST_EXPIRY_S)),
        )
        for count in counts
        if count.expires_in_s > 0
    ]
