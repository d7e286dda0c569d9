"""Decision what follows a call to an upstream."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, unique

from sardineyard.core.errors import ErrorKind, RequestError
from sardineyard.forwarding.config import Repetition

# Upstreams at which no connection could be opened before a request is refused; such
# tries reach nobody and are no repeats.
_MAX_UNREACHABLE = 3


@unique
class CallOutcome(Enum):
    """Say what is known about a request after one call."""

    DELIVERED = "delivered"
    # Nothing was sent.
    NOT_SENT = "not_sent"
    # The upstream promised not to run it.
    NOT_RUN = "not_run"
    # The upstream ran it and answered with a whole failure.
    FAILED = "failed"
    UNKNOWN = "unknown"
    # The stream was broken off to go on at another upstream, as the budget allows.
    MOVED = "moved"


@unique
class Next(Enum):
    """Say what to do with a request."""

    END = "end"
    # Pass on the failure that the upstream gave.
    PASS_FAILURE = "pass_failure"
    TRY_AGAIN = "try_again"
    # Try again if the budget for repeats allows it, else as `otherwise` says.
    REPEAT = "repeat"


@dataclass(slots=True)
class Progress:
    """Hold what was done for one request of a caller."""

    repetition: Repetition
    max_upstreams: int
    # Upstreams to which it was sent.
    sent: int = 0
    unreachable: int = 0
    may_have_run: bool = False
    is_started: bool = False
    # Whether a started stream has an event behind which it can go on.
    can_resume: bool = False

    @property
    def can_move(self) -> bool:
        """Return whether a started stream may go on at another upstream."""
        is_resumable = self.is_started and self.is_repeatable
        return is_resumable and self.sent < self.max_upstreams

    @property
    def is_repeatable(self) -> bool:
        """Return whether the request may be run once more."""
        if self.repetition is Repetition.AT_MOST_ONCE:
            return not self.may_have_run
        if self.is_started:
            return self.repetition is Repetition.RESUMABLE and self.can_resume
        return True

    def next_after(self, outcome: CallOutcome) -> Next:
        """Return what follows the outcome of the last call."""
        if outcome is CallOutcome.DELIVERED:
            return Next.END
        if outcome is CallOutcome.MOVED:
            return Next.TRY_AGAIN
        if outcome is CallOutcome.NOT_SENT:
            has_left = self.unreachable < _MAX_UNREACHABLE
            return Next.TRY_AGAIN if has_left and self.is_repeatable else Next.END
        if self.sent < self.max_upstreams and self.is_repeatable:
            return Next.REPEAT
        return self.otherwise(outcome)

    def otherwise(self, outcome: CallOutcome) -> Next:
        """Return what follows where no further call is made."""
        passes = outcome is CallOutcome.FAILED and not self.is_started
        return Next.PASS_FAILURE if passes else Next.END

    def error_after(self, outcome: CallOutcome) -> RequestError:
        """Return the error of a request that ends without an answer."""
        if self.may_have_run:
            return RequestError(ErrorKind.UPSTREAM_LOST)
        if outcome is CallOutcome.NOT_RUN:
            return RequestError(ErrorKind.OVERLOADED)
        return RequestError(ErrorKind.NO_UPSTREAM)
