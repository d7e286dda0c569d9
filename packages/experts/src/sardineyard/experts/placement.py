"""Placement of expert replicas on ranks."""

from __future__ import annotations

import heapq
from dataclasses import dataclass
from typing import TYPE_CHECKING

from sardineyard.core.ids import ExpertIndex
from sardineyard.experts.maps import moved_replicas, step_skew
from sardineyard.experts.refine import Refiner

if TYPE_CHECKING:
    from collections.abc import Sequence

    from sardineyard.experts.maps import Placement


class UnableToServeError(Exception):
    """The live ranks have too few slots to hold every expert."""


@dataclass(frozen=True, slots=True)
class PlacementProblem:
    """Loads and limits for which a placement is computed."""

    # Load of each expert, in any unit.
    loads: tuple[float, ...]
    # Relative speed of each rank; zero for a lost rank.
    capacities: tuple[float, ...]
    slots_per_rank: int

    @property
    def live_ranks(self) -> list[int]:
        """Return the indices of the ranks that are not lost."""
        return [rank for rank, speed in enumerate(self.capacities) if speed > 0]


def compute_placement(
    problem: PlacementProblem, current: Placement | None, target_skew: float
) -> Placement:
    """Return a placement whose skew is at most the target, if one is found.

    Starts from the current placement, so that few replicas move, and packs from
    scratch only if that does not reach the target. Raises UnableToServeError if the
    live ranks have fewer slots than there are experts.
    """
    check_slot_count(problem)
    refined = None
    if current is not None and is_usable(problem, current):
        refined = Refiner(problem.loads, problem.capacities, current).run(target_skew)
        if step_skew(refined, problem.loads, problem.capacities) <= target_skew:
            return refined
    repacked = Refiner(problem.loads, problem.capacities, pack(problem)).run(
        target_skew
    )
    if current is not None:
        repacked = align(current, repacked, problem.capacities)
    if refined is None:
        return repacked
    return min(
        (refined, repacked),
        key=lambda placement: (
            round(step_skew(placement, problem.loads, problem.capacities), 2),
            moved_replicas(current or (), placement),
        ),
    )


def check_slot_count(problem: PlacementProblem) -> None:
    """Raise UnableToServeError if the live ranks cannot hold every expert."""
    slot_count = len(problem.live_ranks) * problem.slots_per_rank
    if slot_count < len(problem.loads):
        raise UnableToServeError(
            f"{len(problem.loads)} experts do not fit in {slot_count} slots of "
            f"{len(problem.live_ranks)} live ranks"
        )


def is_usable(problem: PlacementProblem, current: Placement) -> bool:
    """Return whether a placement has every expert and none on a lost rank."""
    held = {expert for experts in current for expert in experts}
    return (
        len(current) == len(problem.capacities)
        and len(held) == len(problem.loads)
        and all(
            bool(experts) == (speed > 0) and len(experts) <= problem.slots_per_rank
            for experts, speed in zip(current, problem.capacities, strict=True)
        )
    )


def replica_counts(problem: PlacementProblem) -> list[int]:
    """Return the replicas of each expert; free slots go to the most loaded replicas."""
    live = len(problem.live_ranks)
    counts = [1] * len(problem.loads)
    heap = [(-load, expert) for expert, load in enumerate(problem.loads)]
    heapq.heapify(heap)
    for _ in range(live * problem.slots_per_rank - len(counts)):
        # A second replica of an expert on the same rank would not reduce its load.
        while heap and counts[heap[0][1]] >= live:
            heapq.heappop(heap)
        if not heap:
            break
        _, expert = heap[0]
        counts[expert] += 1
        heapq.heapreplace(heap, (-problem.loads[expert] / counts[expert], expert))
    return counts


def pack(problem: PlacementProblem) -> Placement:
    """Place the replicas, the most loaded first, on the least loaded ranks."""
    counts = replica_counts(problem)
    replica_loads = sorted(
        (
            (load / count, expert, count)
            for expert, (load, count) in enumerate(
                zip(problem.loads, counts, strict=True)
            )
        ),
        reverse=True,
    )
    held: list[list[ExpertIndex]] = [[] for _ in problem.capacities]
    packed_loads = [0.0] * len(held)
    for replica_load, expert, count in replica_loads:
        free = [
            ((packed_loads[rank] + replica_load) / problem.capacities[rank], rank)
            for rank in problem.live_ranks
            if len(held[rank]) < problem.slots_per_rank
        ]
        # The last replicas may find fewer free ranks than replicas, but at least one.
        for _, rank in heapq.nsmallest(count, free):
            held[rank].append(ExpertIndex(expert))
            packed_loads[rank] += replica_load
    return tuple(tuple(experts) for experts in held)


def align(
    current: Placement, repacked: Placement, capacities: Sequence[float]
) -> Placement:
    """Permute ranks of equal capacity so that fewer replicas move."""
    pairs = sorted(
        (
            (-len(set(current[to]) & set(repacked[source])), to, source)
            for to in range(min(len(current), len(repacked)))
            for source in range(len(repacked))
            if capacities[to] == capacities[source]
        ),
    )
    source_of: dict[int, int] = {}
    used_sources: set[int] = set()
    for _, to, source in pairs:
        if to not in source_of and source not in used_sources:
            source_of[to] = source
            used_sources.add(source)
    return tuple(repacked[source_of.get(rank, rank)] for rank in range(len(repacked)))
