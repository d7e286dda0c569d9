"""Ejection of repeatedly failing upstreams, up to a fraction of the subset."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sardineyard.core.ids import UpstreamId

# Fraction of the subset that may be ejected: a fault that affects more upstreams is
# likely not theirs, and the remaining ones could not carry the load.
MAX_EJECTED_SHARE = 1 / 3
_FAILURES_TO_EJECT = 5
_MIN_EJECTION_S = 5.0
_MAX_EJECTION_S = 60.0


@dataclass(slots=True)
class _FailureRecord:
    failures: int = 0
    ejections: int = 0
    ejected_until: float = -math.inf


class OutlierDetector:
    """Ejects an upstream after consecutive failures, each time for longer."""

    def __init__(self, max_share: float = MAX_EJECTED_SHARE) -> None:
        self._max_share = max_share
        self._records: dict[UpstreamId, _FailureRecord] = {}

    def is_ejected(self, upstream: UpstreamId, now: float) -> bool:
        """Return whether an upstream is currently ejected."""
        record = self._records.get(upstream)
        return record is not None and record.ejected_until > now

    def failures(self, upstream: UpstreamId) -> int:
        """Return the consecutive failures since the last success or ejection."""
        record = self._records.get(upstream)
        return 0 if record is None else record.failures

    def ejected(self, now: float) -> list[UpstreamId]:
        """Return the currently ejected upstreams."""
        return [
            name for name, record in self._records.items() if record.ejected_until > now
        ]

    def next_ejection_end(self, now: float) -> float:
        """Return the time at which the next ejection ends."""
        ends = [record.ejected_until for record in self._records.values()]
        return min((end for end in ends if end > now), default=math.inf)

    def success(self, upstream: UpstreamId) -> None:
        """Reset the failures and ejections of an upstream."""
        self._records.pop(upstream, None)

    def failure(self, upstream: UpstreamId, now: float, subset_size: int) -> bool:
        """Count a failure and return whether it caused an ejection."""
        record = self._records.setdefault(upstream, _FailureRecord())
        record.failures += 1
        if record.failures < _FAILURES_TO_EJECT or record.ejected_until > now:
            return False
        if len(self.ejected(now)) + 1 > self._max_share * subset_size:
            return False
        duration_s = min(_MAX_EJECTION_S, _MIN_EJECTION_S * 2**record.ejections)
        record.ejections += 1
        record.failures = 0
        record.ejected_until = now + duration_s
        return True

    def forget(self, upstream: UpstreamId) -> None:
        """Drop the record of an upstream that left the subset."""
        self._records.pop(upstream, None)
