"""Quarantine of requests that crash the upstreams they run on.

A fingerprint is the hash that identifies equal requests in all processes.
"""

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

_MAX_RECORDS = 10_000
_SAME_CRASH_WINDOW_S = 1.0


@unique
class QuarantineStatus(Enum):
    """Whether a request runs normally, alone or not at all."""

    NORMAL = "normal"
    ISOLATED = "isolated"
    REFUSED = "refused"


@dataclass(frozen=True, slots=True)
class CrashRecord(CrashCount):
    """Crash count with the last crash that this process observed itself."""

    upstream: UpstreamId | None = None
    recorded_at: float = 0.0


class Quarantine:
    """Isolates a fingerprint one crash before the limit and refuses it at the limit."""

    def __init__(
        self,
        clock: Clock,
        limit: int = 3,
        expiry_s: float = 600.0,
        capacity: int = _MAX_RECORDS,
    ) -> None:
        self._clock = clock
        self._limit = limit
        self._expiry_s = expiry_s
        self._capacity = capacity
        self._records: OrderedDict[Fingerprint, CrashRecord] = OrderedDict()
        # Counts cleared by a success, kept because peers may still send them.
        self._cleared: OrderedDict[Fingerprint, CrashRecord] = OrderedDict()

    def __len__(self) -> int:
        return len(self._records) + len(self._cleared)

    def status(self, fingerprint: Fingerprint) -> QuarantineStatus:
        """Return the quarantine status of a fingerprint."""
        crashes = self._crashes(fingerprint)
        if crashes >= self._limit:
            return QuarantineStatus.REFUSED
        if crashes >= self._limit - 1 > 0:
            return QuarantineStatus.ISOLATED
        return QuarantineStatus.NORMAL

    def configure(self, limit: int, expiry_s: float) -> None:
        """Change the limit, and the expiry of crashes recorded from now on."""
        self._limit = limit
        self._expiry_s = expiry_s

    def crashed(self, upstream: UpstreamId, running: Iterable[Fingerprint]) -> None:
        """Count a crash for every fingerprint that was running on a lost upstream.

        The requests affected by one crash are reported separately, so reports of the
        same fingerprint and upstream within one second count as one crash.
        """
        now = self._clock.now()
        for fingerprint in set(running):
            crashes = self._crashes(fingerprint)
            previous = self._records.get(fingerprint)
            if (
                previous is not None
                and previous.upstream == upstream
                and now - previous.recorded_at < _SAME_CRASH_WINDOW_S
            ):
                continue
            expires = deadline_after(self._clock, self._expiry_s)
            record = CrashRecord(fingerprint, crashes + 1, expires, upstream, now)
            _put(self._records, record, self._capacity)

    def succeeded(self, fingerprint: Fingerprint) -> None:
        """Clear a fingerprint whose request succeeded."""
        record = self._records.pop(fingerprint, None)
        if record is not None:
            _put(self._cleared, record, self._capacity)

    def records(self) -> list[CrashCount]:
        """Return the unexpired counts, to be sent to peers."""
        now = self._clock.now()
        return [record for record in self._records.values() if record.expires > now]

    def merge(self, records: Iterable[CrashCount]) -> None:
        """Merge the counts of peers; the highest count wins.

        Counts are not added up, because two entries may have observed the same crash.
        """
        now = self._clock.now()
        for record in records:
            cleared = self._cleared.get(record.fingerprint)
            is_cleared = (
                cleared is not None
                and cleared.expires > now
                and record.crashes <= cleared.crashes
            )
            if is_cleared or record.expires <= now:
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
