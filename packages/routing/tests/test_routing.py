"""Tests of the choice of an upstream."""

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
def test_no_policy_gives_work_to_upstreams_that_leave_or_were_tried(
    make_table: MakeTable,
    make_policy: Callable[[], Policy],
    states: list[UpstreamState],
    excluded: set[int],
    seed: int,
) -> None:
    """Guards against work for leaving upstreams, and against none when one is up."""
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
    """Guards against all entries sending to the upstream that looked idle last."""
    found: dict[str, Counter[str]] = {"two": Counter(), "least": Counter()}
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
            found[name][view.upstream] += 1
    assert max(found["least"].values()) == 100
    assert max(found["two"].values()) <= 40


def test_an_upstream_that_stopped_reporting_is_no_favourite(
    make_table: MakeTable, make_report: MakeReport
) -> None:
    """Guards against a report that fades to zero and so attracts all work."""
    table = make_table(4)
    for index in range(4):
        for _ in range(20):
            table.report(make_report(index, running=8), now=0.0)
    for index in range(1, 4):
        table.report(make_report(index, running=8), now=60.0)
    views = table.usable(MODEL, 60.0)
    others = table.mean_others(views, 1)
    costs = [table.cost(view, 1, 60.0, others) for view in views]
    assert max(costs) <= 1.1 * min(costs)


def test_a_queue_of_less_urgent_work_does_not_repel_urgent_requests(
    make_table: MakeTable, make_report: MakeReport
) -> None:
    """Guards against a flood that sends all urgent work to one upstream."""
    table = make_table(2)
    urgent, batch = PriorityName("urgent"), PriorityName("batch")
    for index, queued in ((0, 500), (1, 5)):
        table.observe(UpstreamId(f"u{index}"), 1.0, 50)
        for _ in range(20):
            report = make_report(index, 8, queued, urgent=0.0, batch=queued / 8)
            table.report(report, now=0.0)
    policy = PowerOfTwo(FailureDomain("far"))
    for priority, even in ((urgent, True), (batch, False)):
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
        assert (min(chosen["u0"], chosen["u1"]) >= 40) is even


def test_a_shared_prefix_stays_at_one_upstream_up_to_the_load_bound(
    make_table: MakeTable,
) -> None:
    """Guards against lost prefix caches and against one upstream with all the work."""
    table = make_table(6)
    policy = PowerOfTwo(FailureDomain("d0"))
    request = RouteRequest(MODEL, prompt="s" * 300)
    homes = set()
    for seed in range(20):
        view = choose(policy, table, request, 0.0, Random(seed))
        assert view is not None
        homes.add(view.upstream)
    # The first request of a prefix goes by load.
    assert len(homes) <= 2
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
    """Guards against a fault on this side that ejects the whole set."""
    detector, now = OutlierDetector(), 0.0
    for index, failed, pause in steps:
        upstream = UpstreamId(f"u{index % size}")
        if failed:
            for _ in range(5):
                detector.failure(upstream, now, size)
        else:
            detector.success(upstream)
        assert len(detector.ejected(now)) <= MAX_EJECTED_SHARE * size
        now += pause


def test_a_change_of_the_set_changes_few_members_of_a_subset() -> None:
    """Guards against an entry that reopens its sessions whenever the set changes."""
    names = [UpstreamId(f"runner-{index}") for index in range(670)]
    before = choose_subset(ProcessId("entry-1"), names, 20)
    assert before == choose_subset(ProcessId("entry-1"), reversed(names), 20)
    without = [name for name in names if name != before[0]]
    after = choose_subset(ProcessId("entry-1"), without, 20)
    assert set(before) - set(after) == {before[0]}
    assert len(set(after) - set(before)) == 1
