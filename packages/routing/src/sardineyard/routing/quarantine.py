"""Quarantine of requests that crash the upstreams that run them."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from enum import Enum, unique
from typing import TYPE_CHECKING

from sardineyard.core.clock import deadline_after
from sardineyard.core.crashes import CrashCount

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sardineyard.core.clock import Clock
    from sardineyard.core.ids import Fingerprint, UpstreamId

_CAPACITY = 10_000
_SAME_CRASH_S = 1.0


@unique
class Treatment(Enum):
    """Say how a request may run."""

    NORMAL = "normal"
    ISOLATED = "isolated"
    REFUSED = "refused"


@dataclass(frozen=True, slots=True)
class CrashRecord(CrashCount):
    """Hold a count with the last crash that this process saw itself."""

    place: UpstreamId | None = None
    seen_at: float = 0.0


class Quarantine:
    """Isolate a fingerprint one crash before the limit and refuse it at the limit."""

    def __init__(
        self,
        clock: Clock,
        limit: int = 3,
        expiry_s: float = 600.0,
        capacity: int = _CAPACITY,
    ) -> None:
        self._clock = clock
        self._limit = limit
        self._expiry_s = expiry_s
        self._capacity = capacity
        self._records: OrderedDict[Fingerprint, CrashRecord] = OrderedDict()
        # Counts that a success has disproved; peers may still send them.
        self._cleared: OrderedDict[Fingerprint, CrashRecord] = OrderedDict()

    def __len__(self) -> int:
        return len(self._records) + len(self._cleared)

    def treatment(self, fingerprint: Fingerprint) -> Treatment:
        """Return how a request may run."""
        crashes = self._crashes(fingerprint)
        if crashes >= self._limit:
            return Treatment.REFUSED
        if crashes >= self._limit - 1 > 0:
            return Treatment.ISOLATED
        return Treatment.NORMAL

    def configure(self, limit: int, expiry_s: float) -> None:
        """Use another limit and expiry for crashes from now on."""
        self._limit = limit
        self._expiry_s = expiry_s

    def crashed(self, place: UpstreamId, running: Iterable[Fingerprint]) -> None:
        """Suspect every fingerprint that was running when an upstream was lost.

        The calls of one crash are reported one by one, so a second report of one
        fingerprint from the same place within a second is the same crash.
        """
        now = self._clock.now()
        for fingerprint in set(running):
            crashes = self._crashes(fingerprint)
            known = self._records.get(fingerprint)
            if (
                known is not None
                and known.place == place
                and now - known.seen_at < _SAME_CRASH_S
            ):
                continue
            expires = deadline_after(self._clock, self._expiry_s)
            record = CrashRecord(fingerprint, crashes + 1, expires, place, now)
            _put(self._records, record, self._capacity)

    def succeeded(self, fingerprint: Fingerprint) -> None:
        """Clear a fingerprint whose request finished."""
        record = self._records.pop(fingerprint, None)
        if record is not None:
            _put(self._cleared, record, self._capacity)

    def records(self) -> list[CrashCount]:
        """Return the counts for peers."""
        now = self._clock.now()
        return [record for record in self._records.values() if record.expires > now]

    def merge(self, records: Iterable[CrashCount]) -> None:
        """Take over counts of peers; the greatest count wins.

        Counts are not added, because two entries may have seen the same crash.
        """
        now = self._clock.now()
        for record in records:
            cleared = self._cleared.get(record.fingerprint)
            disproved = (
                cleared is not None
                and cleared.expires > now
                and record.crashes <= cleared.crashes
            )
            if disproved or record.expires <= now:
                continue
            if record.crashes > self._crashes(record.fingerprint):
                merged = CrashRecord(record.fingerprint, record.crashes, record.expires)
                _put(self._records, merged, self._capacity)

    def _crashes(self, fingerprint: Fingerprint) -> int:
        record = self._records.get(fingerprint)
        if record is None:
            return 0
        if record.expires <= self._clock.now():
            del self._records[fingerprint]
            return 0
        return record.crashes


def _put(
    records: OrderedDict[Fingerprint, CrashRecord], record: CrashRecord, capacity: int
) -> None:
    records[record.fingerprint] = record
    records.move_to_end(record.fingerprint)
    if len(records) > capacity:
        records.popitem(last=False)
