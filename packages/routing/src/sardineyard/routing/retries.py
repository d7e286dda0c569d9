"""Retry budgets: retries are a share of recent successes."""

from __future__ import annotations

from collections import deque
from enum import Enum, unique
from typing import TYPE_CHECKING

from sardineyard.core.errors import ErrorKind, Outcome

if TYPE_CHECKING:
    from sardineyard.core.clock import Clock, Deadline
    from sardineyard.core.errors import RequestError

_WINDOW_S = 10.0
# Retries in a window that need no success, so that an entry with little traffic
# can still move its requests away from a lost upstream.
_MINIMUM = 10

# Another upstream may answer these although this one did not.
_OTHER_UPSTREAM_MAY_HELP = frozenset(
    {
        ErrorKind.NO_UPSTREAM,
        ErrorKind.DRAINING,
        ErrorKind.OVERLOADED,
        ErrorKind.DEADLINE_UNREACHABLE,
        ErrorKind.STALE_INCARNATION,
        ErrorKind.UPSTREAM_LOST,
        ErrorKind.UPSTREAM_PROTOCOL,
    }
)


@unique
class Hop(Enum):
    """Name the place at which a call is repeated."""

    ENTRY_TO_AGENT = "entry_to_agent"
    RESUME = "resume"
    AGENT_TO_RUNNER = "agent_to_runner"


class RetryBudget:
    """Allow retries up to a share of the successes in the last ten seconds."""

    def __init__(self, clock: Clock, share: float, minimum: int = _MINIMUM) -> None:
        self._clock = clock
        self.share = share
        self._minimum = minimum
        # Successes and retries by whole second.
        self._seconds: deque[list[float]] = deque()

    @property
    def left(self) -> float:
        """Return the number of retries that are allowed now."""
        self._drop_old()
        successes = sum(second[1] for second in self._seconds)
        retries = sum(second[2] for second in self._seconds)
        return max(self._minimum, self.share * successes) - retries

    def succeeded(self) -> None:
        """Count a request that succeeded."""
        self._current()[1] += 1

    def take(self) -> bool:
        """Use one retry and return whether it is allowed."""
        if self.left < 1:
            return False
        self._current()[2] += 1
        return True

    def _current(self) -> list[float]:
        self._drop_old()
        second = float(int(self._clock.now()))
        if not self._seconds or self._seconds[-1][0] != second:
            self._seconds.append([second, 0.0, 0.0])
        return self._seconds[-1]

    def _drop_old(self) -> None:
        oldest = self._clock.now() - _WINDOW_S
        while self._seconds and self._seconds[0][0] <= oldest:
            self._seconds.popleft()


class RetryBudgets:
    """Hold the budget of an entry and one for each hop."""

    def __init__(self, clock: Clock, share: float, minimum: int = _MINIMUM) -> None:
        self._entry = RetryBudget(clock, share, minimum)
        self._hops = {hop: RetryBudget(clock, share, minimum) for hop in Hop}

    def configure(self, share: float) -> None:
        """Use another share of the successes."""
        for budget in (self._entry, *self._hops.values()):
            budget.share = share

    def succeeded(self, *hops: Hop) -> None:
        """Count a request that succeeded over some hops."""
        self._entry.succeeded()
        for hop in hops:
            self._hops[hop].succeeded()

    def take(self, hop: Hop) -> bool:
        """Use one retry when both the entry and the hop have one left."""
        if self._entry.left < 1 or not self._hops[hop].take():
            return False
        return self._entry.take()

    def left(self, hop: Hop) -> float:
        """Return the retries that a hop may make now."""
        return min(self._entry.left, self._hops[hop].left)


def is_retryable(
    error: RequestError, *, repeatable: bool, clock: Clock, deadline: Deadline
) -> bool:
    """Return whether another try is safe and can still be of use."""
    if error.kind not in _OTHER_UPSTREAM_MAY_HELP or clock.now() >= deadline:
        return False
    return error.outcome is Outcome.NOT_RUN or repeatable
