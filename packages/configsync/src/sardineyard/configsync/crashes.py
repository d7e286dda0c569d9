"""Gossip of upstream crash counts, which entries and agents forward to their peers."""

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

_MAX_FINGERPRINTS = 1_000
# Max counts in one message; crashes are rare, and the latest matter most.
_MAX_SENT_COUNTS = 10


class CrashGossip:
    """Greatest known crash count of each request fingerprint, until it expires."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._counts: OrderedDict[Fingerprint, CrashCount] = OrderedDict()

    def merge(self, counts: Iterable[CrashCount]) -> tuple[CrashCount, ...]:
        """Add counts and return those that were new or greater than the known ones."""
        now = self._clock.now()
        updates = []
        for count in counts:
            known = self._counts.get(count.fingerprint)
            is_known = known is not None and known.expires > now
            if count.expires <= now or (
                is_known and known is not None and known.crashes >= count.crashes
            ):
                continue
            self._counts[count.fingerprint] = count
            self._counts.move_to_end(count.fingerprint)
            if len(self._counts) > _MAX_FINGERPRINTS:
                self._counts.popitem(last=False)
            updates.append(count)
        return tuple(updates)

    def encode(self) -> list[pb.CrashCount]:
        """Encode the latest counts for a peer."""
        now = self._clock.now()
        latest = list(self._counts.values())[-_MAX_SENT_COUNTS:]
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
        """Decode the counts that a peer sent."""
        return [
            CrashCount(
                Fingerprint(count.fingerprint),
                count.crashes,
                deadline_after(self._clock, count.expires_in_s),
            )
            for count in counts
        ]
