"""Tests of what follows a call to an upstream."""

from __future__ import annotations

import pytest

from sardineyard.core.errors import ErrorKind
from sardineyard.forwarding.config import Repetition
from sardineyard.gateway.attempts import CallOutcome, Next, Progress


@pytest.mark.parametrize("outcome", [CallOutcome.UNKNOWN, CallOutcome.FAILED])
def test_what_may_run_once_is_not_sent_again(outcome: CallOutcome) -> None:
    """Guards against a booking that lands twice."""
    progress = Progress(Repetition.AT_MOST_ONCE, 3, sent=1, may_have_run=True)
    step = progress.next_after(outcome)
    assert step in (Next.END, Next.PASS_FAILURE)


def test_a_promise_allows_another_upstream() -> None:
    """Guards against a refusal while another upstream could run the request."""
    progress = Progress(Repetition.AT_MOST_ONCE, 2, sent=1, may_have_run=False)
    assert progress.next_after(CallOutcome.NOT_RUN) is Next.REPEAT


@pytest.mark.parametrize(
    ("may_have_run", "kind"),
    [(True, ErrorKind.UPSTREAM_LOST), (False, ErrorKind.OVERLOADED)],
)
def test_the_error_says_whether_the_request_may_have_run(
    may_have_run: bool, kind: ErrorKind
) -> None:
    """Guards against a promise that a request has not run, though it may have."""
    progress = Progress(Repetition.IDEMPOTENT, 1, sent=1, may_have_run=may_have_run)
    assert progress.error_after(CallOutcome.NOT_RUN).kind is kind


@pytest.mark.parametrize(
    ("repetition", "is_started", "sent", "can_move"),
    [
        (Repetition.RESUMABLE, True, 1, True),
        (Repetition.RESUMABLE, True, 2, False),
        (Repetition.RESUMABLE, False, 1, False),
        (Repetition.AT_MOST_ONCE, True, 1, False),
    ],
)
def test_only_resumable_streams_move(
    repetition: Repetition, is_started: bool, sent: int, can_move: bool
) -> None:
    """Guards against a stream that is broken off and cannot go on."""
    progress = Progress(
        repetition,
        2,
        sent=sent,
        may_have_run=True,
        is_started=is_started,
        can_resume=is_started,
    )
    assert progress.can_move is can_move


def test_a_moved_stream_is_sent_on_without_another_question() -> None:
    """Guards against a budget that is charged twice for one repeat."""
    progress = Progress(Repetition.RESUMABLE, 2, 1, 0, True, True, True)
    assert progress.next_after(CallOutcome.MOVED) is Next.TRY_AGAIN
