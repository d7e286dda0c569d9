"""Local search that improves a placement with few moved replicas."""

from __future__ import annotations

import heapq
from collections import Counter
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

    from sardineyard.core.ids import ExpertIndex
    from sardineyard.experts.maps import Placement

# The potential is the sum of busy^_POWER: high enough that the busiest ranks
# dominate, low enough that a second rank at the maximum still counts.
_POWER = 8
# Ranks that take part in the search against the busiest one; more cost time and
# found no better placement with 64 ranks.
_PARTNERS = 12
_MAX_CHANGES = 200

# A change sets slots: (rank, slot position, expert).
_Change = tuple[tuple[int, int, "ExpertIndex"], ...]


class Refiner:
    """Exchange replicas between the busiest rank and others while that helps."""

    def __init__(
        self,
        loads: Sequence[float],
        capacities: Sequence[float],
        placement: Placement,
    ) -> None:
        self._loads = loads
        self._capacities = capacities
        self._held = [list(experts) for experts in placement]
        self._live = [rank for rank, speed in enumerate(capacities) if speed > 0]
        self._holders: dict[ExpertIndex, set[int]] = {}
        for rank, experts in enumerate(self._held):
            for expert in experts:
                self._holders.setdefault(expert, set()).add(rank)
        self._mean = sum(loads) / max(1e-12, sum(capacities))
        self._busy = [0.0] * len(self._held)
        for rank in self._live:
            self._busy[rank] = self._measure(rank)

    def run(self, goal: float, most_replicas: int | None = None) -> Placement:
        """Change the placement until its skew is at most the goal or stuck.

        At most the given number of replicas is moved, when there is one.
        """
        left = _MAX_CHANGES if most_replicas is None else most_replicas
        while left > 0:
            busiest = max(self._live, key=lambda rank: self._busy[rank])
            mean = sum(self._busy[rank] for rank in self._live) / len(self._live)
            if self._busy[busiest] <= goal * mean:
                break
            best = self._best_change(busiest, left)
            if best is None:
                break
            self._apply(best)
            left -= len(best)
        return tuple(tuple(experts) for experts in self._held)

    def _best_change(self, busiest: int, most_replicas: int) -> _Change | None:
        best, best_gain = None, 1e-9
        for change in self._candidates(busiest):
            if len(change) <= most_replicas:
                gain = self._gain(change) / len(change)
                if gain > best_gain:
                    best, best_gain = change, gain
        return best

    def _measure(self, rank: int) -> float:
        load = sum(self._loads[e] / len(self._holders[e]) for e in self._held[rank])
        return load / self._capacities[rank] / self._mean if self._mean else 0.0

    def _candidates(self, busiest: int) -> Iterator[_Change]:
        light = heapq.nsmallest(
            _PARTNERS,
            (rank for rank in self._live if rank != busiest),
            key=lambda rank: self._busy[rank],
        )
        for rank in light:
            yield from self._swaps(busiest, rank)
            yield from self._additions(busiest, rank)
        yield from self._removals(busiest)

    def _swaps(self, busiest: int, rank: int) -> Iterator[_Change]:
        """Exchange one replica of the busiest rank with one of another rank."""
        for i, hot in enumerate(self._held[busiest]):
            if rank in self._holders[hot]:
                continue
            for j, cold in enumerate(self._held[rank]):
                if busiest not in self._holders[cold]:
                    yield ((busiest, i, cold), (rank, j, hot))

    def _additions(self, busiest: int, rank: int) -> Iterator[_Change]:
        """Put one more replica of a hot expert in place of a spare replica."""
        for hot in self._held[busiest]:
            if rank in self._holders[hot]:
                continue
            for j, cold in enumerate(self._held[rank]):
                if len(self._holders[cold]) > 1:
                    yield ((rank, j, hot),)

    def _removals(self, busiest: int) -> Iterator[_Change]:
        """Replace a spare replica on the busiest rank by a less loaded expert."""
        shares = {e: self._loads[e] / len(h) for e, h in self._holders.items()}
        light = heapq.nsmallest(_PARTNERS, shares, key=lambda e: shares[e])
        for i, hot in enumerate(self._held[busiest]):
            if len(self._holders[hot]) > 1:
                for cold in light:
                    if busiest not in self._holders[cold]:
                        yield ((busiest, i, cold),)

    def _gain(self, change: _Change) -> float:
        """Return how much the potential falls with a change."""
        counts: Counter[ExpertIndex] = Counter()
        for rank, slot, expert in change:
            counts[expert] += 1
            counts[self._held[rank][slot]] -= 1
        deltas: dict[int, float] = {}
        for expert, extra in counts.items():
            if extra == 0:
                continue
            holders = self._holders[expert]
            load = self._loads[expert]
            shift = load / (len(holders) + extra) - load / len(holders)
            for rank in holders:
                deltas[rank] = deltas.get(rank, 0.0) + shift
        for rank, slot, expert in change:
            old = self._held[rank][slot]
            new_share = self._loads[expert] / (
                len(self._holders[expert]) + counts[expert]
            )
            old_count = len(self._holders[old]) + counts[old]
            deltas[rank] = deltas.get(rank, 0.0) + new_share
            deltas[rank] -= self._loads[old] / old_count
        gain = 0.0
        for rank, delta in deltas.items():
            busy = self._busy[rank]
            after = busy + delta / self._capacities[rank] / self._mean
            gain += busy**_POWER - after**_POWER
        return gain

    def _apply(self, change: _Change) -> None:
        touched: set[int] = set()
        for rank, slot, expert in change:
            old = self._held[rank][slot]
            touched |= self._holders[old] | self._holders[expert]
            self._holders[old].discard(rank)
            self._held[rank][slot] = expert
        for rank, _, expert in change:
            self._holders[expert].add(rank)
            touched.add(rank)
        for rank in touched:
            self._busy[rank] = self._measure(rank)
