"""Tests of the decision whether a request is retried after a call."""

from __future__ import annotations

import pytest

from sardineyard.core.errors import ErrorKind
from sardineyard.forwarding.config import RetryPolicy
from sardineyard.gateway.attempts import CallOutcome, NextAction, Progress


@pytest.mark.parametrize("outcome", [CallOutcome.UNKNOWN, CallOutcome.FAILED])
def test_at_most_once_request_that_may_have_run_is_not_retried(
    outcome: CallOutcome,
) -> None:
    """Guards against a booking that is made twice."""
    progress = Progress(RetryPolicy.AT_MOST_ONCE, 3, sent_attempts=1, may_have_run=True)
    action = progress.next_action(outcome)
    assert action in (NextAction.END, NextAction.FORWARD_FAILURE)


def test_request_that_an_upstream_did_not_run_is_retried() -> None:
    """Guards against an error although another upstream could run the request."""
    progress = Progress(
        RetryPolicy.AT_MOST_ONCE, 2, sent_attempts=1, may_have_run=False
    )
    assert progress.next_action(CallOutcome.NOT_RUN) is NextAction.RETRY_IF_IN_BUDGET


@pytest.mark.parametrize(
    ("may_have_run", "kind"),
    [(True, ErrorKind.UPSTREAM_LOST), (False, ErrorKind.OVERLOADED)],
)
def test_error_states_whether_the_request_may_have_run(
    may_have_run: bool, kind: ErrorKind
) -> None:
    """Guards against reporting a request as not run although it may have run."""
    progress = Progress(
        RetryPolicy.IDEMPOTENT, 1, sent_attempts=1, may_have_run=may_have_run
    )
    assert progress.final_error(CallOutcome.NOT_RUN).kind is kind


@pytest.mark.parametrize(
    ("retry_policy", "is_started", "sent", "can_move"),
    [
        (RetryPolicy.RESUMABLE, True, 1, True),
        (RetryPolicy.RESUMABLE, True, 2, False),
        (RetryPolicy.RESUMABLE, False, 1, False),
        (RetryPolicy.AT_MOST_ONCE, True, 1, False),
    ],
)
def test_only_resumable_streams_move(
    retry_policy: RetryPolicy, is_started: bool, sent: int, can_move: bool
) -> None:
    """Guards against cancelling a stream that no other upstream can resume."""
    progress = Progress(
        retry_policy,
        2,
        sent_attempts=sent,
        may_have_run=True,
        has_stream_started=is_started,
        can_resume=is_started,
    )
    assert progress.can_move is can_move


def test_moved_stream_does_not_charge_the_budget_again() -> None:
    """Guards against charging the retry budget twice for one retry."""
    progress = Progress(RetryPolicy.RESUMABLE, 2, 1, 0, True, True, True)
    assert progress.next_action(CallOutcome.MOVED) is NextAction.RETRY
