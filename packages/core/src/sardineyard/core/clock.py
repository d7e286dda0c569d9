"""Time as deadlines, from a clock that tests can replace."""

import time
from typing import NewType, Protocol

# Seconds on the monotonic clock of one process; never sent to another process.
Deadline = NewType("Deadline", float)
# Seconds since 1970, comparable between VMs up to the bound on clock skew.
WallTime = NewType("WallTime", float)

NO_DEADLINE = Deadline(float("inf"))


class Clock(Protocol):
    """Give the monotonic time and the wall time in seconds."""

    def now(self) -> float:
        """Return the monotonic time in seconds."""

    def wall(self) -> WallTime:
        """Return the wall time in seconds since 1970."""


class SystemClock:
    """Read the clocks of the operating system."""

    def now(self) -> float:
        """Return the monotonic time in seconds."""
        return time.monotonic()

    def wall(self) -> WallTime:
        """Return the wall time in seconds since 1970."""
        return WallTime(time.time())


class ManualClock:
    """Stand still until a test moves it."""

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
        """Move both times forward by a number of seconds."""
        self._now += seconds
        self._wall += seconds


def deadline_after(clock: Clock, seconds: float) -> Deadline:
    """Return the deadline that lies a number of seconds ahead."""
    return Deadline(clock.now() + seconds)


def remaining(clock: Clock, deadline: Deadline) -> float:
    """Return the seconds left before a deadline, never less than zero."""
    return max(0.0, deadline - clock.now())
