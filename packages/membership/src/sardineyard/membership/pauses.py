"""Detection of pauses of the own process."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sardineyard.core.clock import Clock

# A loop that was late by more than this was paused: by SIGSTOP, a moved VM or a
# starved host. Garbage collection and long handlers stay far below it.
PAUSE_LIMIT_S = 1.0


class PauseDetector:
    """Compare the time between two regular calls with the planned interval."""

    def __init__(self, clock: Clock, interval_s: float) -> None:
        self._clock = clock
        self._interval_s = interval_s
        self._due = clock.now() + interval_s

    def tick(self) -> float:
        """Return by how many seconds a pause delayed this call, or zero."""
        now = self._clock.now()
        late = now - self._due
        self._due = now + self._interval_s
        return late if late > PAUSE_LIMIT_S else 0.0
