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
    """Report that the remaining ranks cannot hold every expert."""


@dataclass(frozen=True, slots=True)
class PlacementProblem:
    """Hold what a placement has to respect."""

    # Load of each expert; any unit.
    loads: tuple[float, ...]
    # Relative speed of each rank; zero for a lost rank.
    capacities: tuple[float, ...]
    slots_per_rank: int

    @property
    def live_ranks(self) -> list[int]:
        """Return the indexes of the ranks that are not lost."""
        return [rank for rank, speed in enumerate(self.capacities) if speed > 0]


def place(
    problem: PlacementProblem, current: Placement | None, goal: float
) -> Placement:
    """Return a placement whose skew is at most the goal, where one is found.

    Starts from the current placement, so that replicas which need not move stay,
    and packs anew only when that is not good enough. Raises UnableToServeError when
    the live ranks have fewer slots than there are experts.
    """
    check_room(problem)
    kept = None
    if current is not None and is_usable(problem, current):
        kept = Refiner(problem.loads, problem.capacities, current).run(goal)
        if step_skew(kept, problem.loads, problem.capacities) <= goal:
            return kept
    fresh = Refiner(problem.loads, problem.capacities, pack(problem)).run(goal)
    if current is not None:
        fresh = align(current, fresh, problem.capacities)
    if kept is None:
        return fresh
    return min(
        (kept, fresh),
        key=lambda ranks: (
            round(step_skew(ranks, problem.loads, problem.capacities), 2),
            moved_replicas(current or (), ranks),
        ),
    )


def check_room(problem: PlacementProblem) -> None:
    """Raise UnableToServeError when the live ranks cannot hold every expert."""
    room = len(problem.live_ranks) * problem.slots_per_rank
    if room < len(problem.loads):
        raise UnableToServeError(
            f"{len(problem.loads)} experts do not fit in {room} slots of "
            f"{len(problem.live_ranks)} live ranks"
        )


def is_usable(problem: PlacementProblem, current: Placement) -> bool:
    """Say whether a placement has every expert and none on a lost rank."""
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
    """Give each free slot to the expert whose replicas are the most loaded."""
    live = len(problem.live_ranks)
    counts = [1] * len(problem.loads)
    heap = [(-load, expert) for expert, load in enumerate(problem.loads)]
    heapq.heapify(heap)
    for _ in range(live * problem.slots_per_rank - len(counts)):
        # A second replica of an expert on one rank would save nothing.
        while heap and counts[heap[0][1]] >= live:
            heapq.heappop(heap)
        if not heap:
            break
        _, expert = heap[0]
        counts[expert] += 1
        heapq.heapreplace(heap, (-problem.loads[expert] / counts[expert], expert))
    return counts


def pack(problem: PlacementProblem) -> Placement:
    """Put replicas on ranks, the most loaded first, each on the least busy rank."""
    counts = replica_counts(problem)
    shares = sorted(
        (
            (load / count, expert, count)
            for expert, (load, count) in enumerate(
                zip(problem.loads, counts, strict=True)
            )
        ),
        reverse=True,
    )
    held: list[list[ExpertIndex]] = [[] for _ in problem.capacities]
    busy = [0.0] * len(held)
    for share, expert, count in shares:
        free = [
            ((busy[rank] + share) / problem.capacities[rank], rank)
            for rank in problem.live_ranks
            if len(held[rank]) < problem.slots_per_rank
        ]
        # Late replicas may find fewer ranks with room; one is always left.
        for _, rank in heapq.nsmallest(count, free):
            held[rank].append(ExpertIndex(expert))
            busy[rank] += share
    return tuple(tuple(experts) for experts in held)


def align(
    current: Placement, fresh: Placement, capacities: Sequence[float]
) -> Placement:
    """Exchange whole ranks of equal capacity so that fewer replicas move."""
    pairs = sorted(
        (
            (-len(set(current[to]) & set(fresh[source])), to, source)
            for to in range(min(len(current), len(fresh)))
            for source in range(len(fresh))
            if capacities[to] == capacities[source]
        ),
    )
    taken: dict[int, int] = {}
    used: set[int] = set()
    for _, to, source in pairs:
        if to not in taken and source not in used:
            taken[to] = source
            used.add(source)
    return tuple(fresh[taken.get(rank, rank)] for rank in range(len(fresh)))
