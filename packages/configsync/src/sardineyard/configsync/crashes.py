"""Counts of crashes that a process passes on, whether it is an entry or not."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

from sardineyard.core.clock import deadline_after
from sardineyard.core.crashes import CrashCount
from sardineyard.core.ids import Fingerprint
from sardineyard.wire import peer_pb2 as pb

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sardineyard.core.clock import Clock

_CAPACITY = 1_000
# Counts in one message; crashes are rare, and the latest matter most.
_SENT = 10


class CrashGossip:
    """Remember the greatest count of each fingerprint until it expires."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._counts: OrderedDict[Fingerprint, CrashCount] = OrderedDict()

    def merge(self, counts: Iterable[CrashCount]) -> tuple[CrashCount, ...]:
        """Take over counts and return those that were news."""
        now = self._clock.now()
        news = []
        for count in counts:
            known = self._counts.get(count.fingerprint)
            is_known = known is not None and known.expires > now
            if count.expires <= now or (
                is_known and known is not None and known.crashes >= count.crashes
            ):
                continue
            self._counts[count.fingerprint] = count
            self._counts.move_to_end(count.fingerprint)
            if len(self._counts) > _CAPACITY:
                self._counts.popitem(last=False)
            news.append(count)
        return tuple(news)

    def encode(self) -> list[pb.CrashCount]:
        """Return the latest counts for a peer."""
        now = self._clock.now()
        latest = list(self._counts.values())[-_SENT:]
        return [
            pb.CrashCount(
                fingerprint=count.fingerprint,
                crashes=count.crashes,
                expires_in_s=int(count.expires - now),
            )
            for count in latest
            if count.expires > now
        ]

    def decode(self, counts: Iterable[pb.CrashCount]) -> list[CrashCount]:
        """Return the counts that a peer sent."""
        return [
            CrashCount(
                Fingerprint(count.fingerprint),
                count.crashes,
                deadline_after(self._clock, count.expires_in_s),
            )
            for count in counts
        ]
