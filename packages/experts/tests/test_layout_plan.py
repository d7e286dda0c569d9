"""Tests of layouts that balance the load of a group."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from sardineyard.experts.layout_plan import (
    GroupShape,
    covers_all_experts,
    first_layout,
    mean_skew,
    plan_layout,
)

if TYPE_CHECKING:
    from random import Random

    from sardineyard.experts.group import Layout

COPY_S = 0.11
SHAPE = GroupShape(16, 4, 64, 5, 2, COPY_S)
SPEEDS = [1.0] * SHAPE.ranks
SEEDS = range(6)


@pytest.fixture
def loads(rng: Random) -> list[float]:
    """Return loads of which a few experts have most."""
    drawn: list[float] = []
    for _ in range(SHAPE.sets):
        set_loads = [1 / (index + 1) ** 1.1 for index in range(SHAPE.experts)]
        rng.shuffle(set_loads)
        drawn += set_loads
    return drawn


def copies_by_rank(before: Layout, after: Layout) -> list[int]:
    """Return the number of experts of all layer sets that each rank has to load."""
    return [
        sum(
            len(set(new[rank]) - set(old[rank]))
            for old, new in zip(before, after, strict=True)
        )
        for rank in range(SHAPE.ranks)
    ]


@pytest.mark.parametrize("seed", SEEDS)
def test_the_first_change_takes_a_quarter_second_and_removes_most_skew(
    rng, loads, seed: int
) -> None:
    """Guards against a group that stays unbalanced until many copies are loaded."""
    rng.seed(seed)
    layout = first_layout(SHAPE)
    planned = plan_layout(SHAPE, layout, loads, SPEEDS)
    assert planned is not None
    assert planned.copy_time_s <= 0.25
    copies = copies_by_rank(layout, planned.layout)
    assert max(copies) * COPY_S == pytest.approx(planned.copy_time_s)
    assert sum(copies) == planned.copies
    skew_reduction = planned.skew_before - planned.skew_after
    assert skew_reduction > 0.7 * (planned.skew_before - 1)


def test_repeated_changes_balance_the_group_and_stop(loads) -> None:
    """Guards against changes that never reach the target skew or never stop."""
    layout, changes = first_layout(SHAPE), 0
    while (
        planned := plan_layout(SHAPE, layout, loads, SPEEDS)
    ) and planned.is_worthwhile:
        layout = planned.layout
        changes += 1
        assert covers_all_experts(SHAPE, layout)
    assert changes <= 4
    assert mean_skew(SHAPE, layout, loads, SPEEDS) < 1.2


def test_one_change_reduces_the_load_of_a_slow_rank(loads) -> None:
    """Guards against a slow rank that needs many changes to get less load."""
    speeds = [1 / 12, *SPEEDS[1:]]
    layout = first_layout(SHAPE)
    before = mean_skew(SHAPE, layout, loads, speeds)
    planned = plan_layout(SHAPE, layout, loads, speeds)
    assert planned is not None
    assert covers_all_experts(SHAPE, planned.layout)
    assert planned.skew_after < 0.35 * before
