"""Tests of load balancing, ejection and subsets."""

from __future__ import annotations

from collections import Counter
from random import Random
from typing import TYPE_CHECKING

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from sardineyard.core.ids import (
    FailureDomain,
    ModelName,
    PriorityName,
    ProcessId,
    UpstreamId,
)
from sardineyard.core.states import UpstreamState
from sardineyard.routing.outliers import MAX_EJECTED_SHARE, OutlierDetector
from sardineyard.routing.policies import (
    LeastReportedLoad,
    PowerOfTwo,
    RandomChoice,
    RoundRobin,
    RouteRequest,
    choose,
)
from sardineyard.routing.subset import choose_subset

if TYPE_CHECKING:
    from collections.abc import Callable

    from sardineyard.core.requests import LoadReport
    from sardineyard.routing.policies import Policy
    from sardineyard.routing.table import UpstreamTable

    MakeTable = Callable[[int], UpstreamTable]
    MakeReport = Callable[..., LoadReport]

MODEL = ModelName("m")
POLICIES = [
    lambda: PowerOfTwo(FailureDomain("d0")),
    RoundRobin,
    RandomChoice,
    LeastReportedLoad,
]
_FIXTURES_KEEP_NO_STATE = [HealthCheck.function_scoped_fixture]


@pytest.mark.parametrize("make_policy", POLICIES)
@settings(suppress_health_check=_FIXTURES_KEEP_NO_STATE, deadline=None)
@given(
    states=st.lists(st.sampled_from(UpstreamState), min_size=1, max_size=8),
    excluded=st.sets(st.integers(0, 7)),
    seed=st.integers(0, 100),
)
def test_no_policy_chooses_an_upstream_that_is_leaving_or_was_tried(
    make_table: MakeTable,
    make_policy: Callable[[], Policy],
    states: list[UpstreamState],
    excluded: set[int],
    seed: int,
) -> None:
    """Guards against choosing a leaving upstream, or none although one is live."""
    table = make_table(len(states))
    for index, state in enumerate(states):
        table.set_state(UpstreamId(f"u{index}"), state)
    tried = frozenset(UpstreamId(f"u{index}") for index in excluded)
    request = RouteRequest(MODEL, prompt="p", excluded=tried)
    view = choose(make_policy(), table, request, 0.0, Random(seed))
    if view is not None:
        assert view.state in (UpstreamState.LIVE, UpstreamState.SUSPECT)
        assert view.upstream not in tried
    else:
        live = {i for i, state in enumerate(states) if state is UpstreamState.LIVE}
        assert live <= excluded or 2 * len(live) < len(states)


def test_entries_with_the_same_stale_report_do_not_herd(
    make_table: MakeTable, make_report: MakeReport
) -> None:
    """Guards against all entries choosing the upstream that last reported idle."""
    chosen: dict[str, Counter[str]] = {"two": Counter(), "least": Counter()}
    for entry in range(100):
        table = make_table(10)
        for index in range(10):
            table.report(make_report(index, running=index), now=0.0)
        for name, policy in (
            ("two", PowerOfTwo(FailureDomain("far"))),
            ("least", LeastReportedLoad()),
        ):
            view = choose(policy, table, RouteRequest(MODEL), 0.1, Random(entry))
            assert view is not None
            chosen[name][view.upstream] += 1
    assert max(chosen["least"].values()) == 100
    assert max(chosen["two"].values()) <= 40


def test_an_upstream_that_stopped_reporting_is_not_preferred(
    make_table: MakeTable, make_report: MakeReport
) -> None:
    """Guards against an old report that decays to zero and attracts all requests."""
    table = make_table(4)
    for index in range(4):
        for _ in range(20):
            table.report(make_report(index, running=8), now=0.0)
    for index in range(1, 4):
        table.report(make_report(index, running=8), now=60.0)
    views = table.usable(MODEL, 60.0)
    others = table.mean_other_load(views, 1)
    costs = [table.cost(view, 1, 60.0, others) for view in views]
    assert max(costs) <= 1.1 * min(costs)


def test_a_queue_of_less_urgent_work_does_not_divert_urgent_requests(
    make_table: MakeTable, make_report: MakeReport
) -> None:
    """Guards against a batch backlog that sends all urgent requests to one upstream."""
    table = make_table(2)
    urgent, batch = PriorityName("urgent"), PriorityName("batch")
    for index, queued in ((0, 500), (1, 5)):
        table.observe(UpstreamId(f"u{index}"), 1.0, 50)
        for _ in range(20):
            report = make_report(index, 8, queued, urgent=0.0, batch=queued / 8)
            table.report(report, now=0.0)
    policy = PowerOfTwo(FailureDomain("far"))
    for priority, is_even in ((urgent, True), (batch, False)):
        chosen: Counter[str] = Counter()
        for seed in range(100):
            request = RouteRequest(MODEL, priority)
            view = choose(policy, table, request, 0.0, Random(seed))
            assert view is not None
            chosen[view.upstream] += 1
            table.started(view.upstream, priority)
        for upstream, number in chosen.items():
            for _ in range(number):
                table.ended(UpstreamId(upstream), priority)
        assert (min(chosen["u0"], chosen["u1"]) >= 40) is is_even


def test_a_shared_prefix_stays_at_one_upstream_up_to_the_load_bound(
    make_table: MakeTable,
) -> None:
    """Guards against prefix cache misses and against overload of one upstream."""
    table = make_table(6)
    policy = PowerOfTwo(FailureDomain("d0"))
    request = RouteRequest(MODEL, prompt="s" * 300)
    chosen_upstreams = set()
    for seed in range(20):
        view = choose(policy, table, request, 0.0, Random(seed))
        assert view is not None
        chosen_upstreams.add(view.upstream)
    # The first request of a prefix is routed by load.
    assert len(chosen_upstreams) <= 2
    last = choose(policy, table, request, 0.0, Random(0))
    assert last is not None
    for _ in range(5):
        table.started(last.upstream)
    moved = choose(policy, table, request, 0.0, Random(0))
    assert moved is not None
    assert moved.upstream != last.upstream


@settings(deadline=None)
@given(
    size=st.integers(1, 12),
    steps=st.lists(
        st.tuples(st.integers(0, 11), st.booleans(), st.floats(0, 20)), max_size=200
    ),
)
def test_at_most_a_third_of_a_set_is_ejected(
    size: int, steps: list[tuple[int, bool, float]]
) -> None:
    """Guards against a fault at the entry that ejects every upstream."""
    detector, now = OutlierDetector(), 0.0
    for index, failed, elapsed_s in steps:
        upstream = UpstreamId(f"u{index % size}")
        if failed:
            for _ in range(5):
                detector.failure(upstream, now, size)
        else:
            detector.success(upstream)
        assert len(detector.ejected(now)) <= MAX_EJECTED_SHARE * size
        now += elapsed_s


def test_a_change_of_the_set_changes_few_members_of_a_subset() -> None:
    """Guards against reopening most sessions when an upstream is removed."""
    names = [UpstreamId(f"runner-{index}") for index in range(670)]
    before = choose_subset(ProcessId("entry-1"), names, 20)
    assert before == choose_subset(ProcessId("entry-1"), reversed(names), 20)
    without = [name for name in names if name != before[0]]
    after = choose_subset(ProcessId("entry-1"), without, 20)
    assert set(before) - set(after) == {before[0]}
    assert len(set(after) - set(before)) == 1
