"""Limit on the memory that buffered response bodies take in one process."""

from __future__ import annotations


class BufferBudget:
    """Budget of bytes shared by all responses that are being received."""

    def __init__(self, max_bytes: int) -> None:
        self._available_bytes = max_bytes

    def try_reserve(self, size: int) -> bool:
        """Reserve bytes; return False if the budget does not allow them."""
        if size > self._available_bytes:
            return False
        self._available_bytes -= size
        return True

    def release(self, size: int) -> None:
        """Return reserved bytes to the budget."""
        self._available_bytes += size
