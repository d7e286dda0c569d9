"""Tests of the decisions about keys."""

from collections.abc import Callable
from dataclasses import replace

import pytest

from sardineyard.core.clock import ManualClock, WallTime
from sardineyard.core.errors import ErrorKind, Outcome
from sardineyard.core.ids import Incarnation, UpstreamId
from sardineyard.idempotency.keys import TimedKey, UntimedKey, parse_key
from sardineyard.idempotency.lease import AddressLease, LeaseChange, begin_renewal
from sardineyard.idempotency.messages import (
    AskPrevious,
    Attempt,
    Decision,
    Finish,
    Join,
    Refuse,
    Replay,
    Run,
    StoredAnswer,
    SurrenderAnswer,
    SurrenderQuestion,
    SurrenderState,
)
from sardineyard.idempotency.ownership import Ownership, UpstreamSets
from sardineyard.idempotency.table import KeyLimits, KeyTable

MakeAttempt = Callable[..., Attempt]
WriteKey = Callable[[WallTime], str]


def _run(table: KeyTable, attempt: Attempt, size: int = 10) -> Decision:
    decision = table.admit(attempt)
    assert isinstance(decision, Run)
    assert isinstance(table.start(decision.ticket, attempt), Run)
    answer = StoredAnswer(200, "text/plain", b"x" * size)
    table.finish(Finish(decision.ticket, Outcome.RAN, answer))
    return table.admit(attempt)


def _kind(decision: Decision) -> ErrorKind:
    assert isinstance(decision, Refuse)
    return decision.error.kind


def test_only_a_uuid_of_version_7_counts_as_timed(timed_text: WriteKey) -> None:
    """Guards against reading a creation time out of random bits."""
    text = timed_text(WallTime(1_800_000_000.25))
    key = parse_key(f'"{text.upper()}"').unwrap()
    assert key == TimedKey(text, WallTime(1_800_000_000.25))
    version_4 = text[:14] + "4" + text[15:]
    assert parse_key(version_4).unwrap() == UntimedKey(version_4)
    for bad in ("", "a b", "x" * 129, "é"):
        assert parse_key(bad).failure().kind is ErrorKind.KEY_INVALID


def test_a_second_attempt_joins_then_gets_the_answer(
    table: KeyTable, attempt: MakeAttempt
) -> None:
    """Guards against a second run by a caller that sends again."""
    first = table.admit(attempt("a"))
    assert isinstance(first, Run)
    assert table.admit(attempt("a")) == Join(first.ticket)
    assert _kind(table.admit(attempt("a", "other"))) is ErrorKind.KEY_CONFLICT
    answer = StoredAnswer(201, "text/plain", b"done")
    table.finish(Finish(first.ticket, Outcome.RAN, answer))
    assert table.admit(attempt("a")) == Replay(answer)
    assert _kind(table.admit(attempt("a", "other"))) is ErrorKind.KEY_CONFLICT


def test_a_call_with_a_lost_end_is_never_run_again(
    table: KeyTable, attempt: MakeAttempt
) -> None:
    """Guards against a retry after the runner's connection broke."""
    first = table.admit(attempt("a"))
    assert isinstance(first, Run)
    table.finish(Finish(first.ticket, Outcome.UNKNOWN))
    assert _kind(table.admit(attempt("a"))) is ErrorKind.KEY_UNCERTAIN


def test_a_call_that_never_reached_the_runner_may_run_later(
    table: KeyTable, attempt: MakeAttempt
) -> None:
    """Guards against keys that a refused connection would block for good."""
    first = table.admit(attempt("a"))
    assert isinstance(first, Run)
    table.finish(Finish(first.ticket, Outcome.NOT_RUN))
    second = table.admit(attempt("a"))
    assert isinstance(second, Run)
    assert _kind(table.start(first.ticket, attempt("a"))) is ErrorKind.KEY_UNCERTAIN


def test_answers_beyond_the_byte_bound_leave_the_fact_that_the_call_ran(
    table: KeyTable, attempt: MakeAttempt
) -> None:
    """Guards against memory without bound and against forgetting the run."""
    assert isinstance(_run(table, attempt("a"), size=60), Replay)
    assert isinstance(_run(table, attempt("b"), size=60), Replay)
    assert _kind(table.admit(attempt("a"))) is ErrorKind.ANSWER_EVICTED


@pytest.mark.parametrize("timed", [True, False])
def test_an_evicted_key_stays_refused(
    table: KeyTable,
    attempt: MakeAttempt,
    timed_text: WriteKey,
    clock: ManualClock,
    lease: AddressLease,
    timed: bool,
) -> None:
    """Guards against running a key again once a full table has forgotten it."""
    texts = []
    for number in range(5):
        texts.append(timed_text(clock.wall()) if timed else f"key-{number}")
        _run(table, attempt(texts[-1]))
        clock.advance(0.3)
        table.confirm_lease(begin_renewal(clock), Incarnation(7))
    assert _kind(table.admit(attempt(texts[0]))) is ErrorKind.KEY_FORGOTTEN
    assert isinstance(table.admit(attempt(texts[1])), Replay)
    # The other kind of key has a floor of its own.
    other = "new" if timed else timed_text(clock.wall())
    assert isinstance(table.admit(attempt(other)), Run)


def test_a_key_from_the_future_is_refused(
    table: KeyTable, attempt: MakeAttempt, timed_text: WriteKey, clock: ManualClock
) -> None:
    """Guards against keys that no floor of a successor would cover."""
    ahead = table.admit(attempt(timed_text(WallTime(clock.wall() + 1.5))))
    assert _kind(ahead) is ErrorKind.KEY_FORGOTTEN
    far = table.admit(attempt(timed_text(WallTime(clock.wall() + 2.5))))
    assert _kind(far) is ErrorKind.KEY_INVALID


def test_the_check_before_the_first_byte_refuses_what_changed(
    table: KeyTable, attempt: MakeAttempt, clock: ManualClock, lease: AddressLease
) -> None:
    """Guards against a side effect of a process that was paused after admission."""
    late = attempt("a", deadline=clock.now() + 0.5)
    moved, lost = attempt("b"), attempt("c")
    tickets = []
    for each in (late, moved, lost):
        decision = table.admit(each)
        assert isinstance(decision, Run)
        tickets.append(decision.ticket)
    clock.advance(0.6)
    assert _kind(table.start(tickets[0], late)) is ErrorKind.DEADLINE_UNREACHABLE
    clock.advance(0.6)
    assert _kind(table.start(tickets[2], lost)) is ErrorKind.LEASE_EXPIRED
    table.follow(Ownership(), KeyLimits(untimed_key_window_s=2.0), 2)
    assert _kind(table.start(tickets[1], moved)) is ErrorKind.NOT_OWNER


def test_a_lease_that_lapsed_raises_the_floor(
    table: KeyTable, attempt: MakeAttempt, clock: ManualClock, lease: AddressLease
) -> None:
    """Guards against keys that another incarnation ran while this one was paused."""
    clock.advance(5.0)
    assert not lease.held
    assert (
        table.confirm_lease(begin_renewal(clock), Incarnation(7))
        is LeaseChange.ACQUIRED
    )
    for _ in range(3):
        clock.advance(0.5)
        table.confirm_lease(begin_renewal(clock), Incarnation(7))
    assert lease.held
    assert _kind(table.admit(attempt("a"))) is ErrorKind.KEY_FORGOTTEN
    assert (
        table.confirm_lease(begin_renewal(clock), Incarnation(8)) is LeaseChange.REFUSED
    )
    assert not lease.held


def test_a_key_of_a_new_set_runs_only_when_every_previous_owner_gave_it_up(
    table: KeyTable, attempt: MakeAttempt
) -> None:
    """Guards against a second run by the new owner after a change of upstreams."""
    one = attempt("a")
    sets = UpstreamSets(
        (UpstreamId("booking-1"),),
        ((UpstreamId("x"),), (UpstreamId("y"),), (UpstreamId("booking-1"),)),
    )
    moved = Ownership({one.scoped.service: sets})
    table.follow(moved, KeyLimits(untimed_key_window_s=2.0), 2)
    asked = table.admit(one)
    assert isinstance(asked, AskPrevious)
    assert asked.owners == ("x", "y")
    never = SurrenderAnswer(SurrenderState.NEVER_RUNS)
    assert _kind(table.resolve(asked.ticket, [never])) is ErrorKind.OWNER_UNCERTAIN
    again = table.admit(one)
    assert isinstance(again, AskPrevious)
    assert isinstance(table.resolve(again.ticket, [never, never]), Run)
    other = attempt("b")
    asked = table.admit(other)
    assert isinstance(asked, AskPrevious)
    answer = StoredAnswer(200, "text/plain", b"there")
    ran = SurrenderAnswer(SurrenderState.RAN, answer, other.fingerprint)
    assert table.resolve(asked.ticket, [never, ran]) == Replay(answer)


def test_a_surrendered_key_is_never_run(
    table: KeyTable, attempt: MakeAttempt, clock: ManualClock
) -> None:
    """Guards against a run by the previous owner after its promise."""
    scoped = attempt("a").scoped
    asked = SurrenderQuestion(scoped, clock.wall())
    assert table.surrender(asked).state is SurrenderState.NEVER_RUNS
    assert _kind(table.admit(attempt("a"))) is ErrorKind.KEY_UNCERTAIN
    running = table.admit(attempt("b"))
    assert isinstance(running, Run)
    assert (
        table.surrender(replace(asked, scoped=running.ticket.scoped)).state
        is SurrenderState.RUNNING
    )
