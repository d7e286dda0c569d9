"""Min-heap whose entries can be updated and removed by key."""

from __future__ import annotations

import heapq
from itertools import count
from typing import Generic, TypeVar

Key = TypeVar("Key")

# Entries above twice the number of live keys at which the heap is rebuilt.
_REBUILD_SLACK = 64


class LazyHeap(Generic[Key]):
    """Min-heap of keys by value with lazy deletion of outdated entries."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, Key]] = []
        self._entries: dict[Key, tuple[float, int, Key]] = {}
        self._order = count()

    def __len__(self) -> int:
        return len(self._entries)

    def __contains__(self, key: Key) -> bool:
        return key in self._entries

    @property
    def heap_size(self) -> int:
        """Return the number of entries in memory, including outdated ones."""
        return len(self._heap)

    def put(self, key: Key, value: float) -> None:
        """Add a key or change its value."""
        entry = (value, next(self._order), key)
        self._entries[key] = entry
        heapq.heappush(self._heap, entry)
        self._drop_outdated()

    def discard(self, key: Key) -> None:
        """Remove a key if present."""
        self._entries.pop(key, None)
        self._drop_outdated()

    def first(self) -> tuple[float, Key] | None:
        """Return the lowest value and its key, or None if the heap is empty."""
        heap = self._heap
        while heap and self._entries.get(heap[0][2]) is not heap[0]:
            heapq.heappop(heap)
        return (heap[0][0], heap[0][2]) if heap else None

    def _drop_outdated(self) -> None:
        if len(self._heap) > 2 * len(self._entries) + _REBUILD_SLACK:
            self._heap = list(self._entries.values())
            heapq.heapify(self._heap)
