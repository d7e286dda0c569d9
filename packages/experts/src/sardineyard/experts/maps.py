"""Expert maps, which assign experts to ranks, and the load they put on the ranks."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from functools import cached_property
from typing import TYPE_CHECKING, NewType

if TYPE_CHECKING:
    from collections.abc import Sequence

    from sardineyard.core.ids import ExpertIndex

# Unique number of a map within its group: the fencing number of the change that created
# the map, or a number that the coordinator draws with `next_version`.
MapVersion = NewType("MapVersion", int)
Placement = tuple[tuple["ExpertIndex", ...], ...]


@dataclass(frozen=True)
class ExpertMap:
    """Assignment of experts to ranks; a rank without experts takes no part in steps."""

    version: MapVersion
    # Experts of each rank, by rank index.
    ranks: Placement

    @cached_property
    def replicas(self) -> Counter[ExpertIndex]:
        """Return the number of ranks that hold each expert."""
        return Counter(expert for experts in self.ranks for expert in experts)


def moved_replicas(old: Placement, new: Placement) -> int:
    """Return the number of replicas to load to change from one placement to another."""
    moved = 0
    for index, experts in enumerate(new):
        before = set(old[index]) if index < len(old) else set()
        moved += len(set(experts) - before)
    return moved


def rank_loads(placement: Placement, loads: Sequence[float]) -> list[float]:
    """Return the load of each rank; the replicas of an expert share its load evenly."""
    replicas = Counter(expert for experts in placement for expert in experts)
    return [sum(loads[e] / replicas[e] for e in experts) for experts in placement]


def step_skew(
    placement: Placement, loads: Sequence[float], capacities: Sequence[float]
) -> float:
    """Return the ratio of the longest to the mean step time of the live ranks.

    The step time of a rank is its load divided by its capacity; a rank of capacity
    zero is lost and must hold no expert.
    """
    times = [
        load / capacity
        for load, capacity in zip(rank_loads(placement, loads), capacities, strict=True)
        if capacity > 0
    ]
    total = sum(times)
    return max(times) * len(times) / total if total > 0 else 1.0


def max_step_time(
    placement: Placement, loads: Sequence[float], capacities: Sequence[float]
) -> float:
    """Return the largest ratio of load to capacity, which determines the step time."""
    return max(
        load / capacity
        for load, capacity in zip(rank_loads(placement, loads), capacities, strict=True)
        if capacity > 0
    )
