"""Bounded in-memory store of keys.

Eviction of a key raises the history cutoff. Attempts with an absent key that was
created at or before the cutoff are refused, because the key may have run earlier.
"""

from __future__ import annotations

import heapq
from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

from sardineyard.core.clock import WallTime
from sardineyard.idempotency.keys import TimedKey, UntimedKey, cutoff_after

if TYPE_CHECKING:
    from sardineyard.core.ids import Fingerprint, UpstreamId
    from sardineyard.idempotency.keys import Key, ScopedKey
    from sardineyard.idempotency.messages import KeyState, StoredResponse

# A node has 32 MB of memory for control work; these limits keep the key store to
# about a third of it.
MAX_KEYS = 20_000
MAX_RESPONSE_BYTES = 4 * 1024 * 1024


@dataclass(slots=True)
class KeyRecord:
    """Record of one key and the state of its call."""

    state: KeyState
    number: int
    arrival: WallTime
    # None if the key was surrendered before any attempt arrived.
    fingerprint: Fingerprint | None = None
    queried_owners: tuple[UpstreamId, ...] = ()
    response: StoredResponse | None = None


class KeyStore:
    """Store of key records that evicts the oldest finished ones when it is full."""

    def __init__(self, max_keys: int, max_response_bytes: int) -> None:
        self._max_keys = max_keys
        self._max_response_bytes = max_response_bytes
        self._records: dict[ScopedKey, KeyRecord] = {}
        self._evictable: list[tuple[WallTime, int, ScopedKey]] = []
        self._with_response: deque[tuple[ScopedKey, KeyRecord]] = deque()
        self._response_bytes = 0
        # An eviction raises the cutoff of its own kind of key only. An untimed key
        # counts as created a whole window before its arrival, so a cutoff that follows
        # evicted timed keys would refuse every untimed key.
        self._cutoffs: dict[type[Key], WallTime] = {
            TimedKey: WallTime(0.0),
            UntimedKey: WallTime(0.0),
        }

    @property
    def key_count(self) -> int:
        """Return the number of stored keys."""
        return len(self._records)

    @property
    def response_bytes(self) -> int:
        """Return the total size of the stored responses in bytes."""
        return self._response_bytes

    def find(self, scoped: ScopedKey) -> KeyRecord | None:
        """Return the record of a key, if any."""
        return self._records.get(scoped)

    def cutoff_of(self, kind: type[Key]) -> WallTime:
        """Return the time up to which absent keys of this kind may have run before."""
        return self._cutoffs[kind]

    def raise_history_cutoff(self, cutoff: WallTime) -> None:
        """Raise the history cutoff of every kind of key."""
        for kind in self._cutoffs:
            self._raise_cutoff_of(kind, cutoff)

    def add(self, scoped: ScopedKey, record: KeyRecord) -> bool:
        """Add a record, evicting old ones; return False if all keys are running."""
        while len(self._records) >= self._max_keys:
            if not self._evictable:
                return False
            cutoff, _, evicted = heapq.heappop(self._evictable)
            self._drop_response(self._records.pop(evicted))
            self._raise_cutoff_of(type(evicted.key), cutoff)
        self._records[scoped] = record
        return True

    def remove(self, scoped: ScopedKey) -> None:
        """Remove the record of a call that did not run and has not been finished."""
        del self._records[scoped]

    def finish(
        self, scoped: ScopedKey, state: KeyState, response: StoredResponse | None = None
    ) -> None:
        """Set the final state of a key and make its record evictable."""
        record = self._records[scoped]
        record.state = state
        cutoff = cutoff_after(scoped.key, record.arrival)
        heapq.heappush(self._evictable, (cutoff, record.number, scoped))
        if response is not None and len(response.body) <= self._max_response_bytes:
            record.response = response
            self._response_bytes += len(response.body)
            self._with_response.append((scoped, record))
        # The oldest responses are dropped. The record that the call ran stays.
        while self._response_bytes > self._max_response_bytes:
            self._drop_response(self._with_response.popleft()[1])

    def _raise_cutoff_of(self, kind: type[Key], cutoff: WallTime) -> None:
        self._cutoffs[kind] = max(self._cutoffs[kind], cutoff)

    def _drop_response(self, record: KeyRecord) -> None:
        if record.response is not None:
            self._response_bytes -= len(record.response.body)
            record.response = None
