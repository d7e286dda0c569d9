"""Decides whether a request is retried after a call to an upstream."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, unique

from sardineyard.core.errors import ErrorKind, RequestError
from sardineyard.forwarding.config import RetryPolicy

# Maximum number of attempts per request that end before anything was sent. No
# upstream received such an attempt, so it does not count as a retry.
_MAX_UNSENT_ATTEMPTS = 3


@unique
class CallOutcome(Enum):
    """What is known about the execution of a request after one call."""

    DELIVERED = "delivered"
    # Nothing was sent to the upstream.
    NOT_SENT = "not_sent"
    # The upstream stated that it did not run the request and never will.
    NOT_RUN = "not_run"
    # The upstream ran the request and returned a complete error response.
    FAILED = "failed"
    UNKNOWN = "unknown"
    # The upstream ended. The request may be the cause, so no other one gets it.
    CRASHED = "crashed"
    # The call was cancelled to move its stream to another upstream; the retry budget
    # has already been charged.
    MOVED = "moved"


@unique
class NextAction(Enum):
    """What to do with a request after a call."""

    END = "end"
    # Forward the error response of the upstream to the caller.
    FORWARD_FAILURE = "pass_failure"
    RETRY = "try_again"
    # Retry if the retry budget allows it, else use `action_without_retry`.
    RETRY_IF_IN_BUDGET = "repeat"


@dataclass(slots=True)
class Progress:
    """Attempts made so far for one request of a caller."""

    retry_policy: RetryPolicy
    max_upstreams: int
    # Attempts in which the request was sent to an upstream.
    sent_attempts: int = 0
    unsent_attempts: int = 0
    may_have_run: bool = False
    has_stream_started: bool = False
    # Whether the caller has received an event after which a stream can be resumed.
    can_resume: bool = False

    @property
    def may_retry(self) -> bool:
        """Return whether the request may be sent to one more upstream."""
        return self.is_retryable and not self.has_used_all_upstreams

    @property
    def has_used_all_upstreams(self) -> bool:
        """Return whether the request was sent to as many upstreams as it may be."""
        return self.sent_attempts >= self.max_upstreams

    @property
    def may_return(self) -> bool:
        """Return whether a started stream may go back to an upstream that it had.

        It may once, after it was moved: the upstream was silent, but may be sound.
        """
        return (
            self.has_stream_started
            and self.is_retryable
            and self.sent_attempts == self.max_upstreams > 1
        )

    @property
    def can_move(self) -> bool:
        """Return whether a started stream may be moved to another upstream."""
        return self.has_stream_started and self.may_retry

    @property
    def is_retryable(self) -> bool:
        """Return whether running the request a second time is safe."""
        if self.retry_policy is RetryPolicy.AT_MOST_ONCE:
            return not self.may_have_run
        if self.has_stream_started:
            return self.retry_policy is RetryPolicy.RESUMABLE and self.can_resume
        return True

    def next_action(self, outcome: CallOutcome) -> NextAction:
        """Return the action that follows the outcome of the last call."""
        if outcome in (CallOutcome.DELIVERED, CallOutcome.CRASHED):
            return NextAction.END
        if outcome is CallOutcome.MOVED:
            return NextAction.RETRY
        if outcome is CallOutcome.NOT_SENT:
            may_retry = self.unsent_attempts < _MAX_UNSENT_ATTEMPTS
            return (
                NextAction.RETRY if may_retry and self.is_retryable else NextAction.END
            )
        if self.may_retry or self.may_return:
            return NextAction.RETRY_IF_IN_BUDGET
        return self.action_without_retry(outcome)

    def action_without_retry(self, outcome: CallOutcome) -> NextAction:
        """Return the action that ends a request after its last call."""
        is_failure = outcome is CallOutcome.FAILED and not self.has_stream_started
        return NextAction.FORWARD_FAILURE if is_failure else NextAction.END

    def final_error(self, outcome: CallOutcome) -> RequestError:
        """Return the error of a request that ends without a response."""
        if self.may_have_run:
            return RequestError(ErrorKind.UPSTREAM_LOST)
        if outcome is CallOutcome.NOT_RUN:
            return RequestError(ErrorKind.OVERLOADED)
        return RequestError(ErrorKind.NO_UPSTREAM)
