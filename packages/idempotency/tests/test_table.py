"""Tests of the key table."""

from collections.abc import Callable
from dataclasses import replace

import pytest

from sardineyard.core.clock import ManualClock, WallTime
from sardineyard.core.errors import ErrorKind, Outcome
from sardineyard.core.ids import Incarnation, UpstreamId
from sardineyard.idempotency.keys import TimedKey, UntimedKey, parse_key
from sardineyard.idempotency.lease import AddressLease, LeaseChange, begin_renewal
from sardineyard.idempotency.messages import (
    Attempt,
    Decision,
    Finish,
    Join,
    QueryPreviousOwners,
    Refuse,
    Replay,
    Run,
    StoredResponse,
    SurrenderQuery,
    SurrenderResult,
    SurrenderState,
)
from sardineyard.idempotency.ownership import Ownership, UpstreamSets
from sardineyard.idempotency.table import KeyLimits, KeyTable

MakeAttempt = Callable[..., Attempt]
MakeTimedKey = Callable[[WallTime], str]


def _run_and_retry(table: KeyTable, attempt: Attempt, size: int = 10) -> Decision:
    decision = table.admit(attempt)
    assert isinstance(decision, Run)
    assert isinstance(table.start(decision.ticket, attempt), Run)
    response = StoredResponse(200, "text/plain", b"x" * size)
    table.finish(Finish(decision.ticket, Outcome.RAN, response))
    return table.admit(attempt)


def _refusal_kind(decision: Decision) -> ErrorKind:
    assert isinstance(decision, Refuse)
    return decision.error.kind


def test_only_a_uuid_of_version_7_counts_as_timed(timed_text: MakeTimedKey) -> None:
    """Guards against reading random bits of another UUID as a creation time."""
    text = timed_text(WallTime(1_800_000_000.25))
    key = parse_key(f'"{text.upper()}"').unwrap()
    assert key == TimedKey(text, WallTime(1_800_000_000.25))
    version_4 = text[:14] + "4" + text[15:]
    assert parse_key(version_4).unwrap() == UntimedKey(version_4)
    for bad in ("", "a b", "x" * 129, "é"):
        assert parse_key(bad).failure().kind is ErrorKind.KEY_INVALID


def test_a_second_attempt_joins_the_first_then_gets_its_response(
    table: KeyTable, attempt: MakeAttempt
) -> None:
    """Guards against a second run when a caller retries."""
    first = table.admit(attempt("a"))
    assert isinstance(first, Run)
    assert table.admit(attempt("a")) == Join(first.ticket)
    assert _refusal_kind(table.admit(attempt("a", "other"))) is ErrorKind.KEY_CONFLICT
    response = StoredResponse(201, "text/plain", b"done")
    table.finish(Finish(first.ticket, Outcome.RAN, response))
    assert table.admit(attempt("a")) == Replay(response)
    assert _refusal_kind(table.admit(attempt("a", "other"))) is ErrorKind.KEY_CONFLICT


def test_a_call_with_an_unknown_outcome_is_never_run_again(
    table: KeyTable, attempt: MakeAttempt
) -> None:
    """Guards against a second run after the connection to the runner broke."""
    first = table.admit(attempt("a"))
    assert isinstance(first, Run)
    table.finish(Finish(first.ticket, Outcome.UNKNOWN))
    assert _refusal_kind(table.admit(attempt("a"))) is ErrorKind.KEY_UNCERTAIN


def test_a_call_that_never_reached_the_runner_may_run_later(
    table: KeyTable, attempt: MakeAttempt
) -> None:
    """Guards against a key that stays blocked after a refused connection."""
    first = table.admit(attempt("a"))
    assert isinstance(first, Run)
    table.finish(Finish(first.ticket, Outcome.NOT_RUN))
    second = table.admit(attempt("a"))
    assert isinstance(second, Run)
    assert (
        _refusal_kind(table.start(first.ticket, attempt("a")))
        is ErrorKind.KEY_UNCERTAIN
    )


def test_an_evicted_response_leaves_the_record_that_the_call_ran(
    table: KeyTable, attempt: MakeAttempt
) -> None:
    """Guards against unbounded memory use and against losing the record of a run."""
    assert isinstance(_run_and_retry(table, attempt("a"), size=60), Replay)
    assert isinstance(_run_and_retry(table, attempt("b"), size=60), Replay)
    assert _refusal_kind(table.admit(attempt("a"))) is ErrorKind.ANSWER_EVICTED


@pytest.mark.parametrize("timed", [True, False])
def test_an_evicted_key_stays_refused(
    table: KeyTable,
    attempt: MakeAttempt,
    timed_text: MakeTimedKey,
    clock: ManualClock,
    lease: AddressLease,
    timed: bool,
) -> None:
    """Guards against a second run of a key that a full table has evicted."""
    texts = []
    for number in range(5):
        texts.append(timed_text(clock.wall()) if timed else f"key-{number}")
        _run_and_retry(table, attempt(texts[-1]))
        clock.advance(0.3)
        table.confirm_lease(begin_renewal(clock), Incarnation(7))
    assert _refusal_kind(table.admit(attempt(texts[0]))) is ErrorKind.KEY_FORGOTTEN
    assert isinstance(table.admit(attempt(texts[1])), Replay)
    # The other kind of key has its own history cutoff.
    other = "new" if timed else timed_text(clock.wall())
    assert isinstance(table.admit(attempt(other)), Run)


def test_a_key_from_the_future_is_refused(
    table: KeyTable, attempt: MakeAttempt, timed_text: MakeTimedKey, clock: ManualClock
) -> None:
    """Guards against keys that the history cutoff of a successor would not cover."""
    ahead = table.admit(attempt(timed_text(WallTime(clock.wall() + 1.5))))
    assert _refusal_kind(ahead) is ErrorKind.KEY_FORGOTTEN
    far = table.admit(attempt(timed_text(WallTime(clock.wall() + 2.5))))
    assert _refusal_kind(far) is ErrorKind.KEY_INVALID


def test_start_checks_deadline_lease_and_owner_again(
    table: KeyTable, attempt: MakeAttempt, clock: ManualClock, lease: AddressLease
) -> None:
    """Guards against a run by a process that was paused after admission."""
    late = attempt("a", deadline=clock.now() + 0.5)
    moved, lost = attempt("b"), attempt("c")
    tickets = []
    for each in (late, moved, lost):
        decision = table.admit(each)
        assert isinstance(decision, Run)
        tickets.append(decision.ticket)
    clock.advance(0.6)
    assert (
        _refusal_kind(table.start(tickets[0], late)) is ErrorKind.DEADLINE_UNREACHABLE
    )
    clock.advance(0.6)
    assert _refusal_kind(table.start(tickets[2], lost)) is ErrorKind.LEASE_EXPIRED
    table.configure(Ownership(), KeyLimits(untimed_key_window_s=2.0), 2)
    assert _refusal_kind(table.start(tickets[1], moved)) is ErrorKind.NOT_OWNER


def test_a_lease_that_expired_raises_the_history_cutoff(
    table: KeyTable, attempt: MakeAttempt, clock: ManualClock, lease: AddressLease
) -> None:
    """Guards against a second run of keys that ran while this process was paused."""
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
    assert _refusal_kind(table.admit(attempt("a"))) is ErrorKind.KEY_FORGOTTEN
    assert (
        table.confirm_lease(begin_renewal(clock), Incarnation(8)) is LeaseChange.REFUSED
    )
    assert not lease.held


def test_a_moved_key_runs_only_if_every_previous_owner_surrendered_it(
    table: KeyTable, attempt: MakeAttempt
) -> None:
    """Guards against a second run by the new owner after a change of upstreams."""
    first = attempt("a")
    sets = UpstreamSets(
        (UpstreamId("booking-1"),),
        ((UpstreamId("x"),), (UpstreamId("y"),), (UpstreamId("booking-1"),)),
    )
    ownership = Ownership({first.scoped.service: sets})
    table.configure(ownership, KeyLimits(untimed_key_window_s=2.0), 2)
    decision = table.admit(first)
    assert isinstance(decision, QueryPreviousOwners)
    assert decision.owners == ("x", "y")
    never = SurrenderResult(SurrenderState.NEVER_RUNS)
    assert (
        _refusal_kind(table.resolve(decision.ticket, [never]))
        is ErrorKind.OWNER_UNCERTAIN
    )
    retried = table.admit(first)
    assert isinstance(retried, QueryPreviousOwners)
    assert isinstance(table.resolve(retried.ticket, [never, never]), Run)
    other = attempt("b")
    decision = table.admit(other)
    assert isinstance(decision, QueryPreviousOwners)
    response = StoredResponse(200, "text/plain", b"there")
    ran = SurrenderResult(SurrenderState.RAN, response, other.fingerprint)
    assert table.resolve(decision.ticket, [never, ran]) == Replay(response)


def test_a_surrendered_key_is_never_run(
    table: KeyTable, attempt: MakeAttempt, clock: ManualClock
) -> None:
    """Guards against a run by the previous owner after it surrendered the key."""
    scoped = attempt("a").scoped
    query = SurrenderQuery(scoped, clock.wall())
    assert table.surrender(query).state is SurrenderState.NEVER_RUNS
    assert _refusal_kind(table.admit(attempt("a"))) is ErrorKind.KEY_UNCERTAIN
    running = table.admit(attempt("b"))
    assert isinstance(running, Run)
    assert (
        table.surrender(replace(query, scoped=running.ticket.scoped)).state
        is SurrenderState.RUNNING
    )
