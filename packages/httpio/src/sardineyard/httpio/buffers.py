"""Limit on the memory that buffered response bodies take in one process."""

from __future__ import annotations


class BufferBudget:
    """Budget of bytes shared by all bodies that are held in memory."""

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


class BodyReservation:
    """Part of a budget that one body has reserved."""

    def __init__(self, budget: BufferBudget, uncounted_bytes: int) -> None:
        self._budget = budget
        # Small bodies are not counted, so that they pass when large ones fill the
        # budget.
        self._uncounted_bytes = uncounted_bytes
        self._reserved_bytes = 0

    def try_grow(self, body_bytes: int) -> bool:
        """Reserve what a body of a size needs; return False if it is not available."""
        additional = body_bytes - self._uncounted_bytes - self._reserved_bytes
        if additional <= 0:
            return True
        if not self._budget.try_reserve(additional):
            return False
        self._reserved_bytes += additional
        return True

    def release(self) -> None:
        """Return everything to the budget."""
        self._budget.release(self._reserved_bytes)
        self._reserved_bytes = 0
