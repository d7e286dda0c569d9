"""Tests of the admission queue."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

import pytest
from hypothesis import HealthCheck, example, given, settings
from hypothesis import strategies as st

from sardineyard.admission.model import Queued, Refused
from sardineyard.admission.policies import FairShares, FirstComeFirstServed
from sardineyard.core.errors import ErrorKind, Outcome, RequestError
from sardineyard.core.ids import PriorityName, TeamId

if TYPE_CHECKING:
    from collections.abc import Callable

    from sardineyard.admission.model import Work
    from sardineyard.admission.queue import AdmissionQueue
    from sardineyard.core.clock import ManualClock

    Make = Callable[..., AdmissionQueue]
    MakeWork = Callable[..., Work]
    Serve = Callable[[AdmissionQueue, int], list[Work]]

PRIORITIES = ("urgent", "pressing", "batch")
_FIXTURES_KEEP_NO_STATE = [HealthCheck.function_scoped_fixture]


def fill(
    queue: AdmissionQueue, make_work: MakeWork, number: int, *names: str, **options: int
) -> None:
    """Queue a number of requests of each priority."""
    for _ in range(number):
        for name in names:
            queue.offer(make_work(name, **options))


@pytest.mark.parametrize("policy", [FairShares(), FirstComeFirstServed()])
@settings(suppress_health_check=_FIXTURES_KEEP_NO_STATE, deadline=None)
@given(
    steps=st.lists(
        st.tuples(
            st.sampled_from(("offer", "finish", "cancel", "wait")),
            st.sampled_from(PRIORITIES),
            st.integers(1, 5),
        ),
        max_size=60,
    )
)
def test_every_request_gets_one_decision_and_no_usable_slot_stays_free(
    make_queue: Make,
    make_work: MakeWork,
    clock: ManualClock,
    policy: FairShares | FirstComeFirstServed,
    steps: list[tuple[str, str, int]],
) -> None:
    """Guards against requests that are lost, run twice or wait despite free slots."""
    queue = make_queue(slots=2, targets=(0.5, 2.0, 30.0), policy=policy)
    waiting: dict[str, Work] = {}
    running: dict[str, Work] = {}
    for action, priority, amount in steps:
        if action == "offer":
            work = make_work(priority, deadline=clock.now() + amount)
            if isinstance(queue.offer(work), Queued):
                waiting[work.request_id] = work
        elif action == "finish" and running:
            queue.finish(running.popitem()[1].request_id, amount)
        elif action == "cancel" and waiting:
            request_id = next(iter(waiting))
            assert queue.cancel(waiting.pop(request_id).request_id) is not None
        clock.advance(amount / 10)
        for refused in queue.expire():
            del waiting[refused.work.request_id]
            assert RequestError(refused.kind).outcome is Outcome.NOT_RUN
        while (started := queue.start_next()) is not None:
            del waiting[started.work.request_id]
            running[started.work.request_id] = started.work
        assert (queue.queued, queue.running) == (len(waiting), len(running))
        assert queue.running <= 2
        if {work.priority for work in waiting.values()} == {"urgent"}:
            assert queue.running == 2


@settings(suppress_health_check=_FIXTURES_KEEP_NO_STATE, deadline=None, max_examples=30)
@given(
    shares=st.tuples(*[st.floats(0.05, 0.3)] * 3),
    tokens=st.tuples(*[st.integers(1, 50)] * 3),
)
@example(shares=(0.25, 0.25, 0.25), tokens=(19, 7, 1))
@example(shares=(0.25, 0.25, 0.125), tokens=(38, 39, 1))
def test_a_flood_leaves_every_priority_its_reserved_share(
    make_queue: Make,
    make_work: MakeWork,
    serve: Serve,
    shares: tuple[float, float, float],
    tokens: tuple[int, int, int],
) -> None:
    """Guards against starvation of a priority by a flood of the others."""
    queue = make_queue(shares=shares)
    for name, size in zip(PRIORITIES, tokens, strict=True):
        fill(queue, make_work, 2_000, name, tokens=size)
    served_tokens: Counter[str] = Counter()
    for work in serve(queue, 1_500):
        served_tokens[work.priority] += work.max_output_tokens
    total = sum(served_tokens.values())
    for name, share, size in zip(PRIORITIES, shares, tokens, strict=True):
        # A priority may lag by one of its requests and its share of the largest one.
        assert served_tokens[name] >= share * total - size - share * max(tokens)


def test_an_idle_priority_gains_no_credit(
    make_queue: Make, make_work: MakeWork, serve: Serve
) -> None:
    """Guards against a burst after an idle period that blocks urgent work."""
    queue = make_queue(shares=(0.5, 0.0, 0.2))
    fill(queue, make_work, 2_000, "urgent")
    assert len(serve(queue, 500)) == 500
    fill(queue, make_work, 500, "batch")
    served = Counter(work.priority for work in serve(queue, 100))
    assert served["batch"] <= 21


def test_an_idle_team_gains_no_credit_and_weights_apply(
    make_queue: Make, make_work: MakeWork, serve: Serve
) -> None:
    """Guards against a team that accumulates credit while it is idle."""
    queue = make_queue(weights={TeamId("a"): 1.0, TeamId("b"): 3.0})
    for _ in range(600):
        queue.offer(make_work(team="a"))
    serve(queue, 200)
    for _ in range(600):
        queue.offer(make_work(team="b"))
    served = Counter(work.team for work in serve(queue, 200))
    assert abs(served[TeamId("b")] - 150) <= 3


def test_a_team_is_charged_for_its_actual_output(
    make_queue: Make, make_work: MakeWork, clock: ManualClock
) -> None:
    """Guards against a team that gains service by understating its output."""
    queue = make_queue(weights={TeamId("a"): 1.0, TeamId("b"): 1.0})
    for _ in range(300):
        queue.offer(make_work(team="a"))
        queue.offer(make_work(team="b"))
    served: Counter[str] = Counter()
    for _ in range(110):
        started = queue.start_next()
        assert started is not None
        served[started.work.team] += 1
        clock.advance(0.1)
        output_tokens = 40 if started.work.team == "a" else 10
        queue.finish(started.work.request_id, output_tokens)
    assert served["b"] > 3 * served["a"]


def test_state_stays_bounded_with_many_teams(
    make_queue: Make, make_work: MakeWork, serve: Serve
) -> None:
    """Guards against memory that grows with the number of teams or cancellations."""
    known = {TeamId(f"t{number}"): 1.0 for number in range(5_200)}
    queue = make_queue(weights=known, max_queued=1_000)
    names = [*known, *(f"unknown{number}" for number in range(20_000))]
    for name in names:
        work = make_work(team=name)
        queue.offer(work)
        queue.cancel(work.request_id)
    for name in names[:3_000]:
        queue.offer(make_work(team=name))
    assert queue.queued <= 2_000
    serve(queue, 5_000)
    level = queue._levels.level(PriorityName("urgent"))
    assert level.on_time.counters.counter_count <= 101
    assert level.on_time.counters._active.heap_size <= 2 * 2_000 + 64
    assert queue._expiry.heap_size <= 64
    assert (queue.queued, len(queue._levels._items)) == (0, 0)


def test_a_full_queue_still_accepts_teams_below_their_quota(
    make_queue: Make, make_work: MakeWork
) -> None:
    """Guards against a flood of one team that fills the queue for all teams."""
    queue = make_queue(weights={TeamId("a"): 1.0, TeamId("b"): 1.0}, max_queued=50)
    for _ in range(200):
        queue.offer(make_work(team="a"))
    assert queue.queued == 50
    assert isinstance(queue.offer(make_work(team="b")), Queued)
    refused = queue.offer(make_work(team="a"))
    assert isinstance(refused, Refused)
    assert refused.kind is ErrorKind.OVERLOADED


def test_work_that_cannot_meet_its_deadline_is_refused_at_once(
    make_queue: Make, make_work: MakeWork, serve: Serve, clock: ManualClock
) -> None:
    """Guards against slots spent on responses that arrive after the deadline."""
    queue = make_queue(weights={TeamId("a"): 1.0, TeamId("b"): 1.0})
    fill(queue, make_work, 20, "urgent")
    serve(queue, 20)
    running = make_work()
    queue.offer(running)
    queue.start_next()
    fill(queue, make_work, 100, "urgent")
    # A request takes 0.1 s, so 100 of them take 10 s.
    late = queue.offer(make_work(deadline=clock.now() + 5.0))
    assert isinstance(late, Refused)
    assert late.kind is ErrorKind.DEADLINE_UNREACHABLE
    # The first request of another team waits for only a few of them.
    other = make_work(team="b", deadline=clock.now() + 1.0)
    assert isinstance(queue.offer(other), Queued)
    clock.advance(0.95)
    assert [refused.work for refused in queue.expire()] == [other]


def test_the_first_request_of_an_idle_priority_keeps_its_priority(
    make_queue: Make, make_work: MakeWork, serve: Serve
) -> None:
    """Guards against an empty, falsy priority level that is treated as unknown."""
    queue = make_queue()
    fill(queue, make_work, 3, "batch")
    urgent = make_work("urgent")
    queue.offer(urgent)
    assert serve(queue, 1) == [urgent]


def test_a_request_id_in_use_is_refused(make_queue: Make, make_work: MakeWork) -> None:
    """Guards against two items with one id, of which one is never removed."""
    queue = make_queue()
    work = make_work()
    queue.offer(work)
    assert isinstance(queue.offer(work), Refused)
    queue.start_next()
    assert isinstance(queue.offer(work), Refused)
    assert queue.start_next() is None


def test_work_past_its_target_runs_after_work_that_can_meet_its_target(
    make_queue: Make, make_work: MakeWork, serve: Serve, clock: ManualClock
) -> None:
    """Guards against an overload in which every response just misses its target."""
    queue = make_queue(targets=(1.0, 5.0, 1e9))
    late, fresh, pressing = make_work(), make_work(), make_work("pressing")
    queue.offer(late)
    clock.advance(2.0)
    queue.offer(pressing)
    queue.offer(fresh)
    assert serve(queue, 3) == [fresh, pressing, late]


def test_a_new_document_keeps_the_queue(
    make_queue: Make, make_work: MakeWork, serve: Serve
) -> None:
    """Guards against queued work that is lost when weights or priorities change."""
    queue = make_queue(slots=2)
    fill(queue, make_work, 3, *PRIORITIES)
    running = queue.start_next()
    assert running is not None
    other = make_queue(slots=1, shares=(0.1, 0.2, 0.3))
    rules = [level.rule for level in other._levels][1:]
    queue.configure(rules, {TeamId("b"): 2.0}, other._limits)
    assert (queue.queued, queue.running) == (8, 1)
    queue.finish(running.work.request_id, 10)
    assert len(serve(queue, 10)) == 8
