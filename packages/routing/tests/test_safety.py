"""Tests of retry budgets and of the quarantine."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from sardineyard.core.clock import Deadline, ManualClock
from sardineyard.core.errors import ErrorKind, Outcome, RequestError
from sardineyard.core.ids import Fingerprint, UpstreamId
from sardineyard.routing.quarantine import Quarantine, Treatment
from sardineyard.routing.retries import Hop, RetryBudgets, is_retryable

BAD, BESIDE = Fingerprint("bad"), Fingerprint("beside")


@settings(deadline=None)
@given(
    steps=st.lists(
        st.tuples(
            st.booleans(), st.sampled_from(Hop), st.integers(1, 40), st.floats(0, 3)
        ),
        max_size=80,
    )
)
def test_retries_never_exceed_the_budget_of_entry_or_hop(
    steps: list[tuple[bool, Hop, int, float]],
) -> None:
    """Guards against retries that multiply the load of an overloaded fleet."""
    clock = ManualClock()
    budgets = RetryBudgets(clock, share=0.1, minimum=2)
    successes: list[tuple[float, Hop]] = []
    retries: list[tuple[float, Hop]] = []
    for succeeds, hop, number, pause in steps:
        for _ in range(number):
            if succeeds:
                budgets.succeeded(hop)
                successes.append((clock.now(), hop))
            elif budgets.take(hop):
                retries.append((clock.now(), hop))
                for part in ([hop], list(Hop)):
                    # Whole seconds are counted, so a window is 9 to 11 s long.
                    used = _since(retries, clock.now() - 9, part)
                    earned = _since(successes, clock.now() - 11, part)
                    assert used <= max(2, 0.1 * earned)
        clock.advance(pause)


def _since(events: list[tuple[float, Hop]], start: float, hops: list[Hop]) -> int:
    return sum(at >= start and hop in hops for at, hop in events)


def test_only_safe_errors_are_retried_in_time(clock: ManualClock) -> None:
    """Guards against a second run of a call that must not be repeated."""
    deadline = Deadline(clock.now() + 1.0)
    for kind in ErrorKind:
        error = RequestError(kind)
        if is_retryable(error, repeatable=False, clock=clock, deadline=deadline):
            assert error.outcome is Outcome.NOT_RUN
    lost = RequestError(ErrorKind.UPSTREAM_LOST)
    assert is_retryable(lost, repeatable=True, clock=clock, deadline=deadline)
    clock.advance(1.0)
    assert not is_retryable(lost, repeatable=True, clock=clock, deadline=deadline)


def test_a_crashing_request_is_isolated_then_refused_until_the_expiry(
    clock: ManualClock,
) -> None:
    """Guards against one request that takes down upstream after upstream."""
    quarantine = Quarantine(clock, limit=3, expiry_s=600.0)
    found = []
    for number in range(3):
        found.append(quarantine.treatment(BAD))
        # The calls of one crash are reported one by one.
        quarantine.crashed(UpstreamId(f"u{number}"), [BAD, BESIDE])
        quarantine.crashed(UpstreamId(f"u{number}"), [BAD])
        quarantine.succeeded(BESIDE)
        clock.advance(0.1)
    assert found == [Treatment.NORMAL, Treatment.NORMAL, Treatment.ISOLATED]
    assert quarantine.treatment(BAD) is Treatment.REFUSED
    assert quarantine.treatment(BESIDE) is Treatment.NORMAL
    clock.advance(600.0)
    assert quarantine.treatment(BAD) is Treatment.NORMAL


def test_counts_of_peers_are_merged_and_do_not_undo_a_success(
    clock: ManualClock,
) -> None:
    """Guards against a limit that holds per entry only, and against old counts."""
    here, there = Quarantine(clock), Quarantine(clock)
    for number in range(3):
        there.crashed(UpstreamId(f"u{number}"), [BAD])
    there.crashed(UpstreamId("u0"), [BESIDE])
    old = there.records()
    here.merge(old)
    here.merge(old)
    assert here.treatment(BAD) is Treatment.REFUSED
    here.succeeded(BESIDE)
    here.merge(old)
    assert [record.fingerprint for record in here.records()] == [BAD]


def test_the_quarantine_stays_bounded(clock: ManualClock) -> None:
    """Guards against memory that grows with each crash."""
    quarantine = Quarantine(clock, capacity=10)
    for number in range(100):
        quarantine.crashed(UpstreamId("u"), [Fingerprint(f"f{number}")])
        quarantine.crashed(UpstreamId("u"), [Fingerprint(f"g{number}")])
        quarantine.succeeded(Fingerprint(f"g{number}"))
    assert len(quarantine) <= 20
