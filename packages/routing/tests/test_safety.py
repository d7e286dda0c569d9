"""Tests of retry budgets and quarantine."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from sardineyard.core.clock import Deadline, ManualClock
from sardineyard.core.errors import ErrorKind, Outcome, RequestError
from sardineyard.core.ids import Fingerprint, UpstreamId
from sardineyard.routing.quarantine import Quarantine, QuarantineStatus
from sardineyard.routing.retries import Hop, RetryBudgets, is_retryable

BAD, CONCURRENT = Fingerprint("bad"), Fingerprint("beside")


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
    """Guards against retries that amplify an overload."""
    clock = ManualClock()
    budgets = RetryBudgets(clock, share=0.1, min_retries=2)
    successes: list[tuple[float, Hop]] = []
    retries: list[tuple[float, Hop]] = []
    for succeeds, hop, number, elapsed_s in steps:
        for _ in range(number):
            if succeeds:
                budgets.succeeded(hop)
                successes.append((clock.now(), hop))
            elif budgets.take(hop):
                retries.append((clock.now(), hop))
                for counted_hops in ([hop], list(Hop)):
                    # Counts are per whole second, so a window is 9 to 11 s long.
                    used = _since(retries, clock.now() - 9, counted_hops)
                    earned = _since(successes, clock.now() - 11, counted_hops)
                    assert used <= max(2, 0.1 * earned)
        clock.advance(elapsed_s)


def _since(events: list[tuple[float, Hop]], start: float, hops: list[Hop]) -> int:
    return sum(at >= start and hop in hops for at, hop in events)


def test_only_safe_errors_are_retried_in_time(clock: ManualClock) -> None:
    """Guards against a second run of a call that may run only once."""
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
    """Guards against one request that crashes one upstream after another."""
    quarantine = Quarantine(clock, limit=3, expiry_s=600.0)
    found = []
    for number in range(3):
        found.append(quarantine.status(BAD))
        # The requests affected by one crash are reported separately.
        quarantine.crashed(UpstreamId(f"u{number}"), [BAD, CONCURRENT])
        quarantine.crashed(UpstreamId(f"u{number}"), [BAD])
        quarantine.succeeded(CONCURRENT)
        clock.advance(0.1)
    assert found == [
        QuarantineStatus.NORMAL,
        QuarantineStatus.NORMAL,
        QuarantineStatus.ISOLATED,
    ]
    assert quarantine.status(BAD) is QuarantineStatus.REFUSED
    assert quarantine.status(CONCURRENT) is QuarantineStatus.NORMAL
    clock.advance(600.0)
    assert quarantine.status(BAD) is QuarantineStatus.NORMAL


def test_counts_of_peers_are_merged_and_do_not_undo_a_success(
    clock: ManualClock,
) -> None:
    """Guards against a crash limit per entry, and against outdated counts."""
    local, peer = Quarantine(clock), Quarantine(clock)
    for number in range(3):
        peer.crashed(UpstreamId(f"u{number}"), [BAD])
    peer.crashed(UpstreamId("u0"), [CONCURRENT])
    peer_counts = peer.records()
    local.merge(peer_counts)
    local.merge(peer_counts)
    assert local.status(BAD) is QuarantineStatus.REFUSED
    local.succeeded(CONCURRENT)
    local.merge(peer_counts)
    assert [record.fingerprint for record in local.records()] == [BAD]


def test_the_quarantine_stays_bounded(clock: ManualClock) -> None:
    """Guards against memory use that grows with every crash."""
    quarantine = Quarantine(clock, capacity=10)
    for number in range(100):
        quarantine.crashed(UpstreamId("u"), [Fingerprint(f"f{number}")])
        quarantine.crashed(UpstreamId("u"), [Fingerprint(f"g{number}")])
        quarantine.succeeded(Fingerprint(f"g{number}"))
    assert len(quarantine) <= 20
