"""Local search that improves a placement with few moved replicas."""

from __future__ import annotations

import heapq
from dataclasses import dataclass
from typing import TYPE_CHECKING

from sardineyard.core.ids import ExpertIndex

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

    from sardineyard.experts.maps import Placement

# The potential is the sum of busy^_POWER: high enough that the busiest ranks
# dominate, low enough that a second rank at the maximum still counts.
_POWER = 8
# Ranks that take part in the search against the busiest one; more cost time and
# found no better placement with 64 ranks.
_PARTNERS = 12
_MAX_CHANGES = 200
# Slots of the busiest rank whose experts are exchanged; the others hold little load.
_HOT_SLOTS = 2
# Marks a slot of a rank that holds no expert.
_EMPTY = ExpertIndex(-1)

# A change sets slots: (rank, slot position, expert).
_Change = tuple[tuple[int, int, "ExpertIndex"], ...]


@dataclass(frozen=True, slots=True)
class RefineLimits:
    """Bound what a search may change and how widely it looks."""

    # Slots of each rank; None where every slot of the placement is in use.
    slots_per_rank: int | None = None
    # Most experts that each rank may hold and did not hold before.
    most_new: Sequence[int] | None = None
    partners: int = _PARTNERS


class Refiner:
    """Exchange replicas between the busiest rank and others while that helps."""

    def __init__(
        self,
        loads: Sequence[float],
        capacities: Sequence[float],
        placement: Placement,
        limits: RefineLimits | None = None,
    ) -> None:
        self._limits = limits or RefineLimits()
        self._loads = loads
        self._capacities = capacities
        slots = self._limits.slots_per_rank or 0
        self._held = [
            [*experts, *[_EMPTY] * (slots - len(experts))] for experts in placement
        ]
        self._before = [frozenset(experts) for experts in placement]
        self._live = [rank for rank, speed in enumerate(capacities) if speed > 0]
        self._holders: dict[ExpertIndex, set[int]] = {}
        for rank, experts in enumerate(self._held):
            for expert in experts:
                if expert != _EMPTY:
                    self._holders.setdefault(expert, set()).add(rank)
        # Experts of each rank that it did not hold before.
        self._new = [0] * len(self._held)
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
            ranks = sorted(self._live, key=self._busy.__getitem__)
            mean = sum(map(self._busy.__getitem__, ranks)) / len(ranks)
            if self._busy[ranks[-1]] <= goal * mean:
                break
            best = self._best_change(ranks, left)
            if best is None:
                break
            self._apply(best)
            left -= len(best)
        return tuple(
            tuple(expert for expert in experts if expert != _EMPTY)
            for experts in self._held
        )

    def new_replicas(self) -> list[int]:
        """Return the number of experts of each rank that it did not hold before."""
        return list(self._new)

    def _best_change(self, ranks: list[int], most_replicas: int) -> _Change | None:
        """Return the change with most gain, for ranks from the lightest one on."""
        best, best_gain = None, 1e-9
        for change in self._candidates(ranks):
            if len(change) <= most_replicas and self._is_loadable(change):
                # A change of two slots exchanges two experts, or moves one.
                loaded = 2 if len(change) == 2 and change[0][2] != _EMPTY else 1
                gain = self._gain(change) / loaded
                if gain > best_gain:
                    best, best_gain = change, gain
        return best

    def _is_loadable(self, change: _Change) -> bool:
        """Return whether no rank would get more new experts than it can load."""
        most = self._limits.most_new
        if most is None:
            return True
        for rank, slot, expert in change:
            if expert == _EMPTY or expert in self._before[rank]:
                continue
            old = self._held[rank][slot]
            replaces_new = old != _EMPTY and old not in self._before[rank]
            if self._new[rank] - replaces_new + 1 > most[rank]:
                return False
        return True

    def _measure(self, rank: int) -> float:
        load = sum(
            self._loads[e] / len(self._holders[e])
            for e in self._held[rank]
            if e != _EMPTY
        )
        return load / self._capacities[rank] / self._mean if self._mean else 0.0

    def _candidates(self, ranks: list[int]) -> Iterator[_Change]:
        busiest = ranks[-1]
        hottest = self._hottest(busiest)
        for rank in ranks[: min(self._limits.partners, len(ranks) - 1)]:
            yield from self._swaps(busiest, rank, hottest)
            openings = list(self._openings(rank, hottest))
            for _, hot, j in openings:
                yield ((rank, j, hot),)
            if self._limits.slots_per_rank is not None:
                for i, hot, j in openings:
                    yield ((busiest, i, _EMPTY), (rank, j, hot))
        yield from self._removals(busiest)

    def _hottest(self, busiest: int) -> list[tuple[int, ExpertIndex]]:
        """Return the slots of a rank with the most load, and what they hold."""
        held = [(i, e) for i, e in enumerate(self._held[busiest]) if e != _EMPTY]
        held.sort(key=lambda pair: -self._loads[pair[1]] / len(self._holders[pair[1]]))
        return held[:_HOT_SLOTS]

    def _swaps(
        self, busiest: int, rank: int, hottest: list[tuple[int, ExpertIndex]]
    ) -> Iterator[_Change]:
        """Exchange one replica of the busiest rank with one of another rank."""
        for i, hot in hottest:
            if rank in self._holders[hot]:
                continue
            for j, cold in enumerate(self._held[rank]):
                if cold == _EMPTY or busiest not in self._holders[cold]:
                    yield ((busiest, i, cold), (rank, j, hot))

    def _openings(
        self, rank: int, hottest: list[tuple[int, ExpertIndex]]
    ) -> Iterator[tuple[int, ExpertIndex, int]]:
        """Find the slots of a rank that can take a hot expert for a spare replica."""
        for i, hot in hottest:
            if rank in self._holders[hot]:
                continue
            for j, cold in enumerate(self._held[rank]):
                if cold == _EMPTY or len(self._holders[cold]) > 1:
                    yield i, hot, j

    def _removals(self, busiest: int) -> Iterator[_Change]:
        """Replace a spare replica on the busiest rank by a less loaded expert."""
        spare = [
            slot
            for slot, hot in enumerate(self._held[busiest])
            if hot != _EMPTY and len(self._holders[hot]) > 1
        ]
        if not spare:
            return
        shares = {e: self._loads[e] / len(h) for e, h in self._holders.items()}
        light = heapq.nsmallest(self._limits.partners, shares, key=shares.__getitem__)
        for i in spare:
            for cold in light:
                if busiest not in self._holders[cold]:
                    yield ((busiest, i, cold),)

    def _gain(self, change: _Change) -> float:
        """Return how much the potential falls with a change."""
        held, holders_of, loads = self._held, self._holders, self._loads
        counts: dict[ExpertIndex, int] = {}
        for rank, slot, expert in change:
            old = held[rank][slot]
            counts[expert] = counts.get(expert, 0) + 1
            counts[old] = counts.get(old, 0) - 1
        deltas: dict[int, float] = {}
        for expert, extra in counts.items():
            if extra == 0 or expert == _EMPTY:
                continue
            holders = holders_of[expert]
            before = len(holders)
            shift = loads[expert] * (1 / (before + extra) - 1 / before)
            for rank in holders:
                deltas[rank] = deltas.get(rank, 0.0) + shift
        for rank, slot, expert in change:
            delta = deltas.get(rank, 0.0)
            if expert != _EMPTY:
                delta += loads[expert] / (len(holders_of[expert]) + counts[expert])
            old = held[rank][slot]
            if old != _EMPTY:
                delta -= loads[old] / (len(holders_of[old]) + counts[old])
            deltas[rank] = delta
        gain = 0.0
        busy, capacities, mean = self._busy, self._capacities, self._mean
        for rank, delta in deltas.items():
            after = busy[rank] + delta / capacities[rank] / mean
            gain += busy[rank] ** _POWER - after**_POWER
        return gain

    def _apply(self, change: _Change) -> None:
        touched: set[int] = set()
        for rank, slot, expert in change:
            old = self._held[rank][slot]
            for moved in (old, expert):
                touched |= self._holders.get(moved, set())
            if old != _EMPTY:
                self._holders[old].discard(rank)
            self._held[rank][slot] = expert
            before = self._before[rank]
            self._new[rank] += expert != _EMPTY and expert not in before
            self._new[rank] -= old != _EMPTY and old not in before
        for rank, _, expert in change:
            if expert != _EMPTY:
                self._holders[expert].add(rank)
            touched.add(rank)
        for rank in touched:
            self._busy[rank] = self._measure(rank)
