"""Ejection of upstreams that fail again and again, up to a part of the set."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sardineyard.core.ids import UpstreamId

# At most this part of a set is ejected: a fault that hits more of them is likely
# not theirs, and the rest could not carry the load.
MAX_EJECTED_SHARE = 1 / 3
_FAILURES = 5
_FIRST_EJECTION_S = 5.0
_LONGEST_EJECTION_S = 60.0


@dataclass(slots=True)
class _Record:
    failures: int = 0
    ejections: int = 0
    until: float = -math.inf


class OutlierDetector:
    """Eject an upstream after consecutive failures, longer each time."""

    def __init__(self, max_share: float = MAX_EJECTED_SHARE) -> None:
        self._max_share = max_share
        self._records: dict[UpstreamId, _Record] = {}

    def is_ejected(self, upstream: UpstreamId, now: float) -> bool:
        """Return whether an upstream gets no new work at the moment."""
        record = self._records.get(upstream)
        return record is not None and record.until > now

    def failures(self, upstream: UpstreamId) -> int:
        """Return the consecutive failures since the last success or ejection."""
        record = self._records.get(upstream)
        return 0 if record is None else record.failures

    def ejected(self, now: float) -> list[UpstreamId]:
        """Return the upstreams that are ejected."""
        return [name for name, record in self._records.items() if record.until > now]

    def next_return(self, now: float) -> float:
        """Return the time at which the next ejection ends."""
        ends = [record.until for record in self._records.values()]
        return min((end for end in ends if end > now), default=math.inf)

    def success(self, upstream: UpstreamId) -> None:
        """End a run of failures."""
        self._records.pop(upstream, None)

    def failure(self, upstream: UpstreamId, now: float, set_size: int) -> bool:
        """Count a failure and return whether it led to an ejection."""
        record = self._records.setdefault(upstream, _Record())
        record.failures += 1
        if record.failures < _FAILURES or record.until > now:
            return False
        if len(self.ejected(now)) + 1 > self._max_share * set_size:
            return False
        length = min(_LONGEST_EJECTION_S, _FIRST_EJECTION_S * 2**record.ejections)
        record.ejections += 1
        record.failures = 0
        record.until = now + length
        return True

    def forget(self, upstream: UpstreamId) -> None:
        """Drop the record of an upstream that left the subset."""
        self._records.pop(upstream, None)
