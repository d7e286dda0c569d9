"""Layouts of expert maps that level the load of the ranks, set by set."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from sardineyard.experts.maps import moved_replicas, step_skew
from sardineyard.experts.refine import RefineLimits, Refiner

if TYPE_CHECKING:
    from collections.abc import Sequence

    from sardineyard.core.ids import ExpertIndex
    from sardineyard.experts.group import Layout

# Skew at which the search of a set ends: a smaller one costs more copies than it
# shortens the steps.
_GOAL = 1.1
# Mean skew above which a change is looked for, and the least gain that is worth one.
_TRIGGER = 1.18
_LEAST_GAIN = 0.04
# New experts of one set that a rank loads for a change. Two bring a skew of 1.07
# instead of 1.09 and take 0.60 s instead of 0.43 s, while steps are slower.
_MOST_NEW = 1
# Ranks that the search tries against the busiest one: four give the same skew as
# twelve for less than half the time (16 ranks, 64 experts).
_PARTNERS = 4


@dataclass(frozen=True, slots=True)
class GroupShape:
    """Hold the sizes of the expert layout of a group."""

    ranks: int
    sets: int
    experts: int
    places_per_rank: int
    most_new_per_rank: int


@dataclass(frozen=True, slots=True)
class Leveling:
    """Hold a planned layout with the skew that it is to bring."""

    layout: Layout
    skew_before: float
    skew_after: float
    copies: int

    @property
    def is_worth_it(self) -> bool:
        """Return whether the change gains enough."""
        return self.skew_before - self.skew_after >= _LEAST_GAIN


def split_sets(shape: GroupShape, loads: Sequence[float]) -> list[Sequence[float]]:
    """Return the loads of each set from those of all sets in a row."""
    return [
        loads[start : start + shape.experts]
        for start in range(0, shape.sets * shape.experts, shape.experts)
    ]


def mean_skew(shape: GroupShape, layout: Layout, loads: Sequence[float]) -> float:
    """Return the largest over the mean load of the ranks, averaged over the sets."""
    speeds = [1.0] * shape.ranks
    skews = [
        step_skew(placement, part, speeds)
        for placement, part in zip(layout, split_sets(shape, loads), strict=True)
    ]
    return sum(skews) / len(skews)


def level(shape: GroupShape, layout: Layout, loads: Sequence[float]) -> Leveling | None:
    """Return a layout with less skew; None where the one in use is level enough."""
    before = mean_skew(shape, layout, loads)
    if before < _TRIGGER:
        return None
    speeds = [1.0] * shape.ranks
    most_new = min(shape.most_new_per_rank, _MOST_NEW)
    limits = RefineLimits(shape.places_per_rank, most_new, _PARTNERS)
    new = tuple(
        Refiner(part, speeds, placement, limits).run(_GOAL)
        for placement, part in zip(layout, split_sets(shape, loads), strict=True)
    )
    copies = sum(map(moved_replicas, layout, new))
    return Leveling(new, before, mean_skew(shape, new, loads), copies)


def layout_of_ranks(
    shape: GroupShape, experts: Sequence[Sequence[Sequence[ExpertIndex]]]
) -> Layout:
    """Return a layout from the experts of each rank by set."""
    return tuple(
        tuple(tuple(rank[index]) for rank in experts) for index in range(shape.sets)
    )


def is_whole(shape: GroupShape, layout: Layout) -> bool:
    """Return whether a layout has every expert of every set."""
    return len(layout) == shape.sets and all(
        len(placement) == shape.ranks
        and len({expert for rank in placement for expert in rank}) == shape.experts
        for placement in layout
    )
