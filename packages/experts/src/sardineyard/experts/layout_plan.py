"""Planning of layouts that balance the load of the ranks in every layer set."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from sardineyard.core.ids import ExpertIndex
from sardineyard.experts.maps import step_skew
from sardineyard.experts.refine import RefineLimits, Refiner

if TYPE_CHECKING:
    from collections.abc import Sequence

    from sardineyard.experts.group import Layout

# Target skews, applied to all layer sets one after the other, so that the sets share
# the copies of a change. Below the last one, copies cost more than shorter steps gain.
_TARGET_SKEWS = (1.6, 1.3, 1.1)
# Mean skew from which a change is planned, and the minimum reduction to carry it out.
_TRIGGER_SKEW = 1.18
_MIN_SKEW_GAIN = 0.04
# Time for the copies of one change in seconds, and the number of copies that every rank
# may make in any case. At 0.016 s per copy with 12 layer sets, 6 copies per rank reduce
# a skew of 3.3 to 1.2, and 15 copies, in twice the time, to 1.18. At 0.11 s per copy, 2
# copies per rank reduce a skew of 2.7 to 1.25.
_COPY_BUDGET_S = 0.1
_MIN_COPIES_PER_RANK = 2
# Ranks with which the search exchanges experts of the busiest rank: 4 give the same
# skew as 12 in less than half the time (16 ranks, 64 experts).
_MAX_PEER_RANKS = 4


@dataclass(frozen=True, slots=True)
class GroupShape:
    """Dimensions of the expert layout of a group."""

    ranks: int
    sets: int
    experts: int
    slots_per_rank: int
    # Maximum number of experts of one layer set that a rank can load for a change.
    spare_slots: int
    # Time in which a rank loads one expert, in seconds.
    copy_s: float


@dataclass(frozen=True, slots=True)
class LayoutPlan:
    """Planned layout, with its expected skew and cost."""

    layout: Layout
    skew_before: float
    skew_after: float
    copies: int
    # Load time of the rank with the most copies, in seconds.
    copy_time_s: float

    @property
    def is_worthwhile(self) -> bool:
        """Return whether the change reduces the skew enough."""
        return self.skew_before - self.skew_after >= _MIN_SKEW_GAIN


def split_sets(shape: GroupShape, loads: Sequence[float]) -> list[Sequence[float]]:
    """Split the concatenated loads of all layer sets by layer set."""
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
    """Return the step skew, averaged over the layer sets.

    The step skew is the ratio of the longest to the mean step time of the ranks. A
    rank at its baseline speed has speed 1.
    """
    skews = [
        step_skew(placement, set_loads, speeds)
        for placement, set_loads in zip(layout, split_sets(shape, loads), strict=True)
    ]
    return sum(skews) / len(skews)


def plan_layout(
    shape: GroupShape,
    layout: Layout,
    loads: Sequence[float],
    speeds: Sequence[float],
) -> LayoutPlan | None:
    """Return a layout with less skew, or None if the one in use is balanced enough."""
    before = mean_skew(shape, layout, loads, speeds)
    if before < _TRIGGER_SKEW:
        return None
    affordable_copies = int(_COPY_BUDGET_S / max(shape.copy_s, 1e-6))
    max_copies = max(_MIN_COPIES_PER_RANK, affordable_copies)
    allowances = [[0] * shape.ranks for _ in range(shape.sets)]
    refiners = [
        Refiner(
            set_loads,
            speeds,
            placement,
            RefineLimits(shape.slots_per_rank, allowance, _MAX_PEER_RANKS),
        )
        for placement, set_loads, allowance in zip(
            layout, split_sets(shape, loads), allowances, strict=True
        )
    ]
    placements = list(layout)
    for target_skew in _TARGET_SKEWS:
        for index, refiner in enumerate(refiners):
            allowances[index][:] = _remaining_copies(shape, refiners, index, max_copies)
            placements[index] = refiner.run(target_skew)
    planned = tuple(placements)
    copies = _copies_by_rank(shape, refiners)
    return LayoutPlan(
        planned,
        before,
        mean_skew(shape, planned, loads, speeds),
        sum(copies),
        max(copies) * shape.copy_s,
    )


def _copies_by_rank(shape: GroupShape, refiners: Sequence[Refiner]) -> list[int]:
    by_set = [refiner.new_replicas() for refiner in refiners]
    return [sum(copies[rank] for copies in by_set) for rank in range(shape.ranks)]


def _remaining_copies(
    shape: GroupShape, refiners: Sequence[Refiner], index: int, max_copies: int
) -> list[int]:
    """Return how many experts each rank may still load for one layer set."""
    other_refiners = [
        refiner for other, refiner in enumerate(refiners) if other != index
    ]
    used_copies = _copies_by_rank(shape, other_refiners)
    return [
        min(shape.spare_slots, max(0, max_copies - copies)) for copies in used_copies
    ]


def first_layout(shape: GroupShape) -> Layout:
    """Return the layout that assigns the experts to the ranks round-robin."""
    placement = tuple(
        tuple(ExpertIndex(e) for e in range(rank, shape.experts, shape.ranks))
        for rank in range(shape.ranks)
    )
    return (placement,) * shape.sets


def layout_from_ranks(
    shape: GroupShape, experts: Sequence[Sequence[Sequence[ExpertIndex]]]
) -> Layout:
    """Return the layout of ranks whose experts are listed by layer set."""
    return tuple(
        tuple(tuple(rank[index]) for rank in experts) for index in range(shape.sets)
    )


def covers_all_experts(shape: GroupShape, layout: Layout) -> bool:
    """Return whether a layout has the expected size and every expert of every set."""
    return len(layout) == shape.sets and all(
        len(placement) == shape.ranks
        and len({expert for rank in placement for expert in rank}) == shape.experts
        for placement in layout
    )
