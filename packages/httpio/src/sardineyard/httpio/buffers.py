"""Memory that the answers of servers may take in one process."""

from __future__ import annotations


class BufferBudget:
    """Share a number of bytes among the answers that are being received."""

    def __init__(self, max_bytes: int) -> None:
        self._left = max_bytes

    def take(self, size: int) -> bool:
        """Return whether an answer may keep this many more bytes."""
        if size > self._left:
            return False
        self._left -= size
        return True

    def give_back(self, size: int) -> None:
        """Free the bytes of an answer."""
        self._left += size
