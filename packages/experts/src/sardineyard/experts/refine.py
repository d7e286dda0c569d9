"""Local search that reduces the skew of a placement and moves few replicas."""

from __future__ import annotations

import heapq
from dataclasses import dataclass
from typing import TYPE_CHECKING

from sardineyard.core.ids import ExpertIndex

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

    from sardineyard.experts.maps import Placement

# Exponent of the potential, the sum of relative_time ** _POWER over the ranks: high
# enough that the busiest ranks dominate, low enough that a second rank at the maximum
# still counts.
_POWER = 8
# Ranks with which the search exchanges experts of the busiest rank; with 64 ranks, more
# of them take longer and find no better placement.
_MAX_PEER_RANKS = 12
_MAX_CHANGES = 200
# Slots of the busiest rank whose experts are exchanged; the others carry little load.
_MAX_EXCHANGE_SLOTS = 2
# Expert index of an empty slot.
_EMPTY = ExpertIndex(-1)

# New content of one or more slots: (rank, slot index, expert).
_Change = tuple[tuple[int, int, "ExpertIndex"], ...]


@dataclass(frozen=True, slots=True)
class RefineLimits:
    """Limits of the changes and of the scope of a search."""

    # Slots of each rank; None if the placement has no empty slots.
    slots_per_rank: int | None = None
    # Maximum number of experts that each rank may hold and did not hold before.
    max_new_experts: Sequence[int] | None = None
    max_peer_ranks: int = _MAX_PEER_RANKS


class Refiner:
    """Local search that exchanges replicas between the busiest rank and others."""

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
        self._initial_experts = [frozenset(experts) for experts in placement]
        self._live = [rank for rank, speed in enumerate(capacities) if speed > 0]
        self._holders: dict[ExpertIndex, set[int]] = {}
        for rank, experts in enumerate(self._held):
            for expert in experts:
                if expert != _EMPTY:
                    self._holders.setdefault(expert, set()).add(rank)
        # Number of experts of each rank that it did not hold before.
        self._new_experts = [0] * len(self._held)
        self._mean_time = sum(loads) / max(1e-12, sum(capacities))
        self._relative_times = [0.0] * len(self._held)
        for rank in self._live:
            self._relative_times[rank] = self._relative_time(rank)

    def run(self, target_skew: float, max_replicas: int | None = None) -> Placement:
        """Return a placement with at most the target skew, or the best one found.

        Moves at most `max_replicas` replicas if that is given.
        """
        remaining = _MAX_CHANGES if max_replicas is None else max_replicas
        while remaining > 0:
            ranks = sorted(self._live, key=self._relative_times.__getitem__)
            mean = sum(map(self._relative_times.__getitem__, ranks)) / len(ranks)
            if self._relative_times[ranks[-1]] <= target_skew * mean:
                break
            best = self._best_change(ranks, remaining)
            if best is None:
                break
            self._apply(best)
            remaining -= len(best)
        return tuple(
            tuple(expert for expert in experts if expert != _EMPTY)
            for experts in self._held
        )

    def new_replicas(self) -> list[int]:
        """Return the number of experts of each rank that it did not hold before."""
        return list(self._new_experts)

    def _best_change(self, ranks: list[int], max_replicas: int) -> _Change | None:
        """Return the change with the most gain; ranks are sorted by increasing load."""
        best, best_gain = None, 1e-9
        for change in self._candidates(ranks):
            if len(change) <= max_replicas and self._is_loadable(change):
                # A change of two slots loads two experts, or one if it empties a slot.
                loaded_count = 2 if len(change) == 2 and change[0][2] != _EMPTY else 1
                gain = self._gain(change) / loaded_count
                if gain > best_gain:
                    best, best_gain = change, gain
        return best

    def _is_loadable(self, change: _Change) -> bool:
        """Return whether no rank receives more new experts than it may load."""
        max_new = self._limits.max_new_experts
        if max_new is None:
            return True
        for rank, slot, expert in change:
            if expert == _EMPTY or expert in self._initial_experts[rank]:
                continue
            old = self._held[rank][slot]
            replaces_new = old != _EMPTY and old not in self._initial_experts[rank]
            if self._new_experts[rank] - replaces_new + 1 > max_new[rank]:
                return False
        return True

    def _relative_time(self, rank: int) -> float:
        load = sum(
            self._loads[e] / len(self._holders[e])
            for e in self._held[rank]
            if e != _EMPTY
        )
        return (
            load / self._capacities[rank] / self._mean_time if self._mean_time else 0.0
        )

    def _candidates(self, ranks: list[int]) -> Iterator[_Change]:
        busiest = ranks[-1]
        most_loaded = self._most_loaded_slots(busiest)
        for rank in ranks[: min(self._limits.max_peer_ranks, len(ranks) - 1)]:
            yield from self._exchanges(busiest, rank, most_loaded)
            replaceable = list(self._replaceable_slots(rank, most_loaded))
            for _, heavy, j in replaceable:
                yield ((rank, j, heavy),)
            if self._limits.slots_per_rank is not None:
                for i, heavy, j in replaceable:
                    yield ((busiest, i, _EMPTY), (rank, j, heavy))
        yield from self._replacements(busiest)

    def _most_loaded_slots(self, busiest: int) -> list[tuple[int, ExpertIndex]]:
        """Return the most loaded slots of a rank and the experts in them."""
        held = [(i, e) for i, e in enumerate(self._held[busiest]) if e != _EMPTY]
        held.sort(key=lambda pair: -self._loads[pair[1]] / len(self._holders[pair[1]]))
        return held[:_MAX_EXCHANGE_SLOTS]

    def _exchanges(
        self, busiest: int, rank: int, most_loaded: list[tuple[int, ExpertIndex]]
    ) -> Iterator[_Change]:
        """Yield exchanges of a replica of the busiest rank and one of another rank."""
        for i, heavy in most_loaded:
            if rank in self._holders[heavy]:
                continue
            for j, light in enumerate(self._held[rank]):
                if light == _EMPTY or busiest not in self._holders[light]:
                    yield ((busiest, i, light), (rank, j, heavy))

    def _replaceable_slots(
        self, rank: int, most_loaded: list[tuple[int, ExpertIndex]]
    ) -> Iterator[tuple[int, ExpertIndex, int]]:
        """Yield empty or redundant slots of a rank that can take a loaded expert."""
        for i, heavy in most_loaded:
            if rank in self._holders[heavy]:
                continue
            for j, light in enumerate(self._held[rank]):
                if light == _EMPTY or len(self._holders[light]) > 1:
                    yield i, heavy, j

    def _replacements(self, busiest: int) -> Iterator[_Change]:
        """Yield changes of redundant replicas of the busiest rank to light experts."""
        spare = [
            slot
            for slot, heavy in enumerate(self._held[busiest])
            if heavy != _EMPTY and len(self._holders[heavy]) > 1
        ]
        if not spare:
            return
        shares = {e: self._loads[e] / len(h) for e, h in self._holders.items()}
        lightest = heapq.nsmallest(
            self._limits.max_peer_ranks, shares, key=shares.__getitem__
        )
        for i in spare:
            for light in lightest:
                if busiest not in self._holders[light]:
                    yield ((busiest, i, light),)

    def _gain(self, change: _Change) -> float:
        """Return the decrease of the potential through a change."""
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
        times, capacities, mean = (
            self._relative_times,
            self._capacities,
            self._mean_time,
        )
        for rank, delta in deltas.items():
            after = times[rank] + delta / capacities[rank] / mean
            gain += times[rank] ** _POWER - after**_POWER
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
            before = self._initial_experts[rank]
            self._new_experts[rank] += expert != _EMPTY and expert not in before
            self._new_experts[rank] -= old != _EMPTY and old not in before
        for rank, _, expert in change:
            if expert != _EMPTY:
                self._holders[expert].add(rank)
            touched.add(rank)
        for rank in touched:
            self._relative_times[rank] = self._relative_time(rank)
