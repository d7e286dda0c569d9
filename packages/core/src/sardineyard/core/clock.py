"""Clocks and deadlines; tests replace the system clock with a manual one."""

import time
from typing import NewType, Protocol

# Time in seconds on the monotonic clock of one process. It has no meaning in another
# process, so it is never sent to one.
Deadline = NewType("Deadline", float)
# Time in seconds since 1970, comparable between VMs within the maximum clock skew.
WallTime = NewType("WallTime", float)

NO_DEADLINE = Deadline(float("inf"))


class Clock(Protocol):
    """Source of monotonic time and wall time."""

    def now(self) -> float:
        """Return the monotonic time in seconds."""

    def wall(self) -> WallTime:
        """Return the wall time in seconds since 1970."""


class SystemClock:
    """Clock of the operating system."""

    def now(self) -> float:
        """Return the monotonic time in seconds."""
        return time.monotonic()

    def wall(self) -> WallTime:
        """Return the wall time in seconds since 1970."""
        return WallTime(time.time())


class ManualClock:
    """Clock for tests that changes only through `advance`."""

    def __init__(self, now: float = 0.0, wall: float = 1_800_000_000.0) -> None:
        self._now = now
        self._wall = wall

    def now(self) -> float:
        """Return the monotonic time in seconds."""
        return self._now

    def wall(self) -> WallTime:
        """Return the wall time in seconds since 1970."""
        return WallTime(self._wall)

    def advance(self, seconds: float) -> None:
        """Advance the monotonic and the wall time by the same number of seconds."""
        self._now += seconds
        self._wall += seconds


def deadline_after(clock: Clock, seconds: float) -> Deadline:
    """Return the deadline a number of seconds from now."""
    return Deadline(clock.now() + seconds)


def remaining(clock: Clock, deadline: Deadline) -> float:
    """Return the seconds until a deadline, or zero once it has passed."""
    return max(0.0, deadline - clock.now())
