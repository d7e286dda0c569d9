"""Retry budgets: retries are limited to a fraction of recent successes."""

from __future__ import annotations

from collections import deque
from enum import Enum, unique
from typing import TYPE_CHECKING

from sardineyard.core.errors import ErrorKind, Outcome

if TYPE_CHECKING:
    from sardineyard.core.clock import Clock, Deadline
    from sardineyard.core.errors import RequestError

_WINDOW_S = 10.0
# Retries per window that are allowed without successes, so that an entry with little
# traffic can still move its requests away from a lost upstream.
_MIN_RETRIES = 10

# Errors of one upstream for which another upstream may succeed.
_RETRYABLE_KINDS = frozenset(
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
    """Stage at which a call is retried; each has its own budget."""

    ENTRY_TO_AGENT = "entry_to_agent"
    RESUME = "resume"
    AGENT_TO_RUNNER = "agent_to_runner"


class RetryBudget:
    """Allows retries up to a fraction of the successes in the last ten seconds."""

    def __init__(
        self, clock: Clock, share: float, min_retries: int = _MIN_RETRIES
    ) -> None:
        self._clock = clock
        self.share = share
        self._min_retries = min_retries
        # One [second, successes, retries] per whole second of the clock.
        self._buckets: deque[list[float]] = deque()

    @property
    def remaining(self) -> float:
        """Return the number of retries left in the current window."""
        self._drop_expired()
        successes = sum(bucket[1] for bucket in self._buckets)
        retries = sum(bucket[2] for bucket in self._buckets)
        return max(self._min_retries, self.share * successes) - retries

    def succeeded(self) -> None:
        """Count a request that succeeded."""
        self._current_bucket()[1] += 1

    def take(self) -> bool:
        """Take one retry and return whether the budget allowed it."""
        if self.remaining < 1:
            return False
        self._current_bucket()[2] += 1
        return True

    def _current_bucket(self) -> list[float]:
        self._drop_expired()
        second = float(int(self._clock.now()))
        if not self._buckets or self._buckets[-1][0] != second:
            self._buckets.append([second, 0.0, 0.0])
        return self._buckets[-1]

    def _drop_expired(self) -> None:
        window_start = self._clock.now() - _WINDOW_S
        while self._buckets and self._buckets[0][0] <= window_start:
            self._buckets.popleft()


class RetryBudgets:
    """Retry budget of the entry and one for each hop."""

    def __init__(
        self, clock: Clock, share: float, min_retries: int = _MIN_RETRIES
    ) -> None:
        self._entry = RetryBudget(clock, share, min_retries)
        self._hops = {hop: RetryBudget(clock, share, min_retries) for hop in Hop}

    def configure(self, share: float) -> None:
        """Change the allowed ratio of retries to successes."""
        for budget in (self._entry, *self._hops.values()):
            budget.share = share

    def succeeded(self, *hops: Hop) -> None:
        """Count a request that succeeded, for the entry and the given hops."""
        self._entry.succeeded()
        for hop in hops:
            self._hops[hop].succeeded()

    def take(self, hop: Hop) -> bool:
        """Take one retry if both the entry and the hop have one left."""
        if self._entry.remaining < 1 or not self._hops[hop].take():
            return False
        return self._entry.take()

    def remaining(self, hop: Hop) -> float:
        """Return the number of retries that a hop has left."""
        return min(self._entry.remaining, self._hops[hop].remaining)


def is_retryable(
    error: RequestError, *, repeatable: bool, clock: Clock, deadline: Deadline
) -> bool:
    """Return whether a retry is safe and may still succeed in time."""
    if error.kind not in _RETRYABLE_KINDS or clock.now() >= deadline:
        return False
    return error.outcome is Outcome.NOT_RUN or repeatable
