"""Detection of pauses of the local process."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sardineyard.core.clock import Clock

# Delay in seconds above which a periodic call counts as paused: by SIGSTOP, a VM
# migration or a starved host. Garbage collection and long handlers delay it far less.
PAUSE_THRESHOLD_S = 1.0


class PauseDetector:
    """Detector of pauses, based on the delay of a call that is due periodically."""

    def __init__(self, clock: Clock, interval_s: float) -> None:
        self._clock = clock
        self._interval_s = interval_s
        self._due_at = clock.now() + interval_s

    def tick(self) -> float:
        """Return the delay of this call in seconds if a pause caused it, else zero."""
        now = self._clock.now()
        delay_s = now - self._due_at
        self._due_at = now + self._interval_s
        return delay_s if delay_s > PAUSE_THRESHOLD_S else 0.0
