"""The bounded memory of keys, with the floor below which keys are forgotten."""

from __future__ import annotations

import heapq
from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

from sardineyard.core.clock import WallTime
from sardineyard.idempotency.keys import TimedKey, UntimedKey, floor_after

if TYPE_CHECKING:
    from sardineyard.core.ids import Fingerprint, UpstreamId
    from sardineyard.idempotency.keys import Key, ScopedKey
    from sardineyard.idempotency.messages import KeyState, StoredAnswer

# A node has 32 MB for control work; these bounds keep the keys to about a third.
MAX_ENTRIES = 20_000
MAX_ANSWER_BYTES = 4 * 1024 * 1024


@dataclass(slots=True)
class Entry:
    """Hold what is known about one key."""

    state: KeyState
    number: int
    arrival: WallTime
    # A key that was surrendered before any attempt arrived has no fingerprint.
    fingerprint: Fingerprint | None = None
    asked_owners: tuple[UpstreamId, ...] = ()
    answer: StoredAnswer | None = None


class KeyStore:
    """Hold the entries, evict the oldest finished ones and raise the floor."""

    def __init__(self, max_entries: int, max_answer_bytes: int) -> None:
        self._max_entries = max_entries
        self._max_answer_bytes = max_answer_bytes
        self._entries: dict[ScopedKey, Entry] = {}
        self._finished: list[tuple[WallTime, int, ScopedKey]] = []
        self._with_answer: deque[tuple[ScopedKey, Entry]] = deque()
        self._answer_bytes = 0
        # An eviction raises the floor of its own kind only. The claimed age of an
        # untimed key is its arrival less a whole window, so a floor that follows
        # evicted timed keys would refuse every untimed one.
        self._floors: dict[type[Key], WallTime] = {
            TimedKey: WallTime(0.0),
            UntimedKey: WallTime(0.0),
        }

    @property
    def key_count(self) -> int:
        """Return the number of keys in memory."""
        return len(self._entries)

    @property
    def answer_bytes(self) -> int:
        """Return the bytes of the stored answers."""
        return self._answer_bytes

    def find(self, scoped: ScopedKey) -> Entry | None:
        """Return the entry of a key."""
        return self._entries.get(scoped)

    def floor_of(self, kind: type[Key]) -> WallTime:
        """Return the floor: absent keys created until then may have run before."""
        return self._floors[kind]

    def raise_floor(self, floor: WallTime) -> None:
        """Raise the floor of every kind of key."""
        for kind in self._floors:
            self._raise_floor_of(kind, floor)

    def add(self, scoped: ScopedKey, entry: Entry) -> bool:
        """Add an entry; return False when running calls fill the table."""
        while len(self._entries) >= self._max_entries:
            if not self._finished:
                return False
            floor, _, evicted = heapq.heappop(self._finished)
            self._drop_answer(self._entries.pop(evicted))
            self._raise_floor_of(type(evicted.key), floor)
        self._entries[scoped] = entry
        return True

    def remove(self, scoped: ScopedKey) -> None:
        """Remove an entry whose call was not run and is not finished."""
        del self._entries[scoped]

    def finish(
        self, scoped: ScopedKey, state: KeyState, answer: StoredAnswer | None = None
    ) -> None:
        """Put an entry in its final state and make it evictable."""
        entry = self._entries[scoped]
        entry.state = state
        floor = floor_after(scoped.key, entry.arrival)
        heapq.heappush(self._finished, (floor, entry.number, scoped))
        if answer is not None and len(answer.body) <= self._max_answer_bytes:
            entry.answer = answer
            self._answer_bytes += len(answer.body)
            self._with_answer.append((scoped, entry))
        # An answer that is too old is dropped, the fact that the call ran is not.
        while self._answer_bytes > self._max_answer_bytes:
            self._drop_answer(self._with_answer.popleft()[1])

    def _raise_floor_of(self, kind: type[Key], floor: WallTime) -> None:
        self._floors[kind] = max(self._floors[kind], floor)

    def _drop_answer(self, entry: Entry) -> None:
        if entry.answer is not None:
            self._answer_bytes -= len(entry.answer.body)
            entry.answer = None
