"""Number of streams that a lock-step engine carries within the allowed pause."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sardineyard.core.clock import Clock
    from sardineyard.forwarding.config import EngineProfile

# Time constant of the mean pause: several passes, but shorter than a flood needs to
# fill the engine.
_SMOOTHING_S = 0.4
# Pauses older than this say nothing about the passes of now.
_STALE_S = 1.5
# Part of the allowed pause that the mean pass may take. The longest of the two dozen
# pauses of a stream has to stay below the allowed one, and it is 1.5 to 1.7 times the
# mean: prompts are read, experts copied, and popularity shifts before a map follows.
_USED_PAUSE = 0.58
# Part of the slots that is always used, so that new pauses are measured.
_LEAST_SHARE = 0.3
# Share of the slots in use before anything was measured.
_FIRST_SHARE = 0.7


class PassModel:
    """Predict the pause between events from the streams that run on each rank.

    The time of a pass grows in a straight line with the streams of a rank; the slope
    depends on the balance of the expert map and is measured.
    """

    def __init__(self, clock: Clock, engine: EngineProfile) -> None:
        self._clock = clock
        self._engine = engine
        self._pause_s = 0.0
        self._streams = 0.0
        self._measured_at = float("-inf")

    @property
    def pause_s(self) -> float:
        """Return the mean pause of late, in seconds; zero before the first one."""
        return self._pause_s

    def observe(self, pause_s: float, streams_per_rank: float) -> None:
        """Take in one pause between two events."""
        now = self._clock.now()
        age = now - self._measured_at
        weight = min(1.0, 0.05 + age / _SMOOTHING_S)
        self._pause_s += weight * (pause_s - self._pause_s)
        self._streams += weight * (max(1.0, streams_per_rank) - self._streams)
        self._measured_at = now

    def streams_per_rank(self, allowed_pause_s: float) -> float:
        """Return the streams per rank at which pauses stay below the allowed one."""
        slots = self._engine.slots
        if self._clock.now() - self._measured_at > _STALE_S:
            return slots * _FIRST_SHARE
        empty_s = self._engine.steps_per_pass * self._engine.step_ms / 1000
        slope = (self._pause_s - empty_s) / self._streams
        room_s = _USED_PAUSE * allowed_pause_s - empty_s
        if slope <= 0 or room_s <= 0:
            return slots if slope <= 0 else slots * _LEAST_SHARE
        return min(slots, max(slots * _LEAST_SHARE, room_s / slope))
