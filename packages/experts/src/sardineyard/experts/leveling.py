"""Layouts of expert maps that level the load of the ranks, set by set."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from sardineyard.core.ids import ExpertIndex
from sardineyard.experts.maps import step_skew
from sardineyard.experts.refine import RefineLimits, Refiner

if TYPE_CHECKING:
    from collections.abc import Sequence

    from sardineyard.experts.group import Layout

# Skews to which all sets are brought in turn, so that they share the copies of a
# change. A skew below the last one costs more copies than it shortens the steps.
_GOALS = (1.6, 1.3, 1.1)
# Mean skew above which a change is looked for, and the least gain that is worth one.
_TRIGGER = 1.18
_LEAST_GAIN = 0.04
# Time for the copies of one change, and the least copies of a rank in it. With 0.016 s
# a copy and 12 sets, six copies a rank bring a skew of 3.3 to 1.2 and fifteen, in twice
# the time, to 1.18. With 0.11 s a copy, two copies a rank bring one of 2.7 to 1.25.
_COPY_TIME_S = 0.1
_LEAST_COPIES = 2
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
    # Most experts of one set that a rank can load for a change.
    spare_places: int
    # Seconds in which a rank loads one expert.
    copy_s: float


@dataclass(frozen=True, slots=True)
class Leveling:
    """Hold a planned layout with the skew that it is to bring."""

    layout: Layout
    skew_before: float
    skew_after: float
    copies: int
    # Seconds in which the rank with the most copies loads them.
    copy_time_s: float

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


def mean_skew(
    shape: GroupShape,
    layout: Layout,
    loads: Sequence[float],
    speeds: Sequence[float],
) -> float:
    """Return the largest over the mean time of the ranks, averaged over the sets.

    The speed of a rank is 1 where it works as fast as usual.
    """
    skews = [
        step_skew(placement, part, speeds)
        for placement, part in zip(layout, split_sets(shape, loads), strict=True)
    ]
    return sum(skews) / len(skews)


def level(
    shape: GroupShape,
    layout: Layout,
    loads: Sequence[float],
    speeds: Sequence[float],
) -> Leveling | None:
    """Return a layout with less skew; None where the one in use is level enough."""
    before = mean_skew(shape, layout, loads, speeds)
    if before < _TRIGGER:
        return None
    affordable = int(_COPY_TIME_S / max(shape.copy_s, 1e-6))
    most_per_change = max(_LEAST_COPIES, affordable)
    allowances = [[0] * shape.ranks for _ in range(shape.sets)]
    refiners = [
        Refiner(
            part,
            speeds,
            placement,
            RefineLimits(shape.places_per_rank, allowance, _PARTNERS),
        )
        for placement, part, allowance in zip(
            layout, split_sets(shape, loads), allowances, strict=True
        )
    ]
    placements = list(layout)
    for goal in _GOALS:
        for index, refiner in enumerate(refiners):
            allowances[index][:] = _allowance(shape, refiners, index, most_per_change)
            placements[index] = refiner.run(goal)
    new = tuple(placements)
    copies = _copies_by_rank(shape, refiners)
    return Leveling(
        new,
        before,
        mean_skew(shape, new, loads, speeds),
        sum(copies),
        max(copies) * shape.copy_s,
    )


def _copies_by_rank(shape: GroupShape, refiners: Sequence[Refiner]) -> list[int]:
    by_set = [refiner.new_replicas() for refiner in refiners]
    return [sum(copies[rank] for copies in by_set) for rank in range(shape.ranks)]


def _allowance(
    shape: GroupShape, refiners: Sequence[Refiner], index: int, most: int
) -> list[int]:
    """Return the experts that each rank may load for one set beside the others."""
    others = [refiner for other, refiner in enumerate(refiners) if other != index]
    taken = _copies_by_rank(shape, others)
    return [min(shape.spare_places, max(0, most - copies)) for copies in taken]


def first_layout(shape: GroupShape) -> Layout:
    """Return the layout that deals out the experts in turn."""
    placement = tuple(
        tuple(ExpertIndex(e) for e in range(rank, shape.experts, shape.ranks))
        for rank in range(shape.ranks)
    )
    return (placement,) * shape.sets


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
