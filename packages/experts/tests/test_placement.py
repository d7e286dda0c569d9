"""Tests of placement, rebalancing decisions and stragglers."""

from __future__ import annotations

from dataclasses import replace
from random import Random

import pytest

from sardineyard.core.ids import Incarnation, UpstreamId
from sardineyard.experts.load import LoadTracker
from sardineyard.experts.maps import moved_replicas, rank_loads, step_skew
from sardineyard.experts.placement import (
    PlacementProblem,
    UnableToServeError,
    compute_placement,
)
from sardineyard.experts.rebalance import Rebalancer, RebalanceRules, Verdict
from sardineyard.experts.stragglers import StragglerDetector


@pytest.fixture
def problem() -> PlacementProblem:
    """Return 64 experts with Zipf loads for 16 ranks of 8 slots."""
    loads = [1.0 / (index + 1) for index in range(64)]
    Random(7).shuffle(loads)
    return PlacementProblem(tuple(loads), (1.0,) * 16, 8)


@pytest.fixture
def drifted(problem) -> PlacementProblem:
    """Return the problem after eight pairs of experts have swapped their loads."""
    loads = list(problem.loads)
    rng = Random(8)
    for _ in range(8):
        first, second = rng.sample(range(64), 2)
        loads[first], loads[second] = loads[second], loads[first]
    return replace(problem, loads=tuple(loads))


def test_rebalancing_keeps_replicas_that_need_not_move(problem, drifted) -> None:
    """Guards against rebalancing that reloads most of the experts."""
    before = compute_placement(problem, None, 1.03)
    after = compute_placement(drifted, before, 1.03)
    assert step_skew(before, problem.loads, problem.capacities) < 1.05
    assert step_skew(before, drifted.loads, problem.capacities) > 1.5
    assert step_skew(after, drifted.loads, problem.capacities) < 1.05
    from_scratch = compute_placement(drifted, None, 1.03)
    assert 2 * moved_replicas(before, after) <= moved_replicas(before, from_scratch)


def test_a_lost_rank_gets_no_expert_and_too_few_ranks_are_reported(problem) -> None:
    """Guards against a map with experts on lost ranks or with missing experts."""
    before = compute_placement(problem, None, 1.03)
    lost = replace(problem, capacities=(0.0,) * 3 + (1.0,) * 13)
    after = compute_placement(lost, before, 1.03)
    assert after[:3] == ((), (), ())
    assert {expert for experts in after for expert in experts} == set(range(64))
    assert all(len(set(experts)) == len(experts) <= 8 for experts in after)
    with pytest.raises(UnableToServeError, match="56 slots of 7 live ranks"):
        compute_placement(
            replace(problem, capacities=(1.0,) * 7 + (0.0,) * 9), after, 1.03
        )


def test_rebalancing_needs_budget_and_a_gain_above_its_cost(
    clock, problem, drifted
) -> None:
    """Guards against rebalancing that costs more step time than it saves."""
    rules = RebalanceRules(expert_bytes=100, bytes_per_s=100.0, burst_s=4.0)
    before = compute_placement(problem, None, 1.03)
    rebalancer = Rebalancer(clock, rules)
    assert rebalancer.decide(problem, before).verdict is Verdict.BALANCED
    partial = rebalancer.decide(drifted, before)
    assert partial.verdict is Verdict.REBALANCE
    assert 0 < partial.moved_bytes <= 400
    rebalancer.committed(partial)
    repeated = rebalancer.decide(drifted, partial.placement)
    assert repeated.verdict is Verdict.OVER_BUDGET
    clock.advance(4.0)
    assert rebalancer.decide(drifted, partial.placement).verdict is Verdict.REBALANCE
    expensive = Rebalancer(clock, replace(rules, switch_pause_s=60.0))
    assert expensive.decide(drifted, before).verdict is Verdict.NOT_PAID


def test_a_straggler_gets_less_load_while_it_is_slow(problem) -> None:
    """Guards against a straggler that regains its load once its load is reduced."""
    detector = StragglerDetector(16)
    placement = compute_placement(problem, None, 1.03)

    def observe(slowdown: float, times: int = 5) -> None:
        tokens = rank_loads(placement, problem.loads)
        for _ in range(times):
            detector.observe([tokens[0] * slowdown, *tokens[1:]], tokens)

    observe(2.0, times=4)
    assert not detector.stragglers, "detected before the window is full"
    observe(2.0, times=1)
    assert detector.stragglers == {0}
    slowed = replace(problem, capacities=detector.capacities())
    placement = compute_placement(slowed, placement, 1.03)
    loads = rank_loads(placement, problem.loads)
    assert loads[0] < 0.6 * sum(loads[1:]) / 15
    observe(2.0)
    assert detector.stragglers == {0}, "no longer detected after its load was reduced"
    observe(1.0)
    assert not detector.stragglers


def test_lost_and_duplicate_reports_do_not_change_the_load(clock) -> None:
    """Guards against load counted twice, and counters of a restart counted as load."""
    tracker = LoadTracker(clock, experts=2, half_life_s=10.0, min_tokens=1.0)
    runner = UpstreamId("runner-0")
    for counters in ((5.0, 5.0), (7.0, 5.0), (7.0, 5.0)):
        tracker.observe(runner, Incarnation(1), counters)
    assert tracker.loads == (2.0, 0.0)
    tracker.observe(runner, Incarnation(2), (1.0, 9.0))
    clock.advance(10.0)
    tracker.observe(runner, Incarnation(2), (1.0, 10.0))
    assert tracker.loads == (1.0, 1.0)
    clock.advance(1000.0)
    tracker.observe(runner, Incarnation(2), (1.0, 10.0))
    assert tracker.loads == (0.5, 0.5)
