"""Rebalancing of an emulated group: when expert maps are planned and switched."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sardineyard.core.ids import RankIndex
from sardineyard.experts.layout_plan import plan_layout
from sardineyard.experts.popularity import PopularityTracker

if TYPE_CHECKING:
    from sardineyard.core.clock import Clock
    from sardineyard.emulator.group import EmulatedGroup
    from sardineyard.experts.group import Layout
    from sardineyard.experts.layout_plan import GroupShape

# Interval between two reads of the expert counters, as in the rebalancers.
ROUND_S = 0.1
# Time that the orders of a map change take with 16 ranks, without the expert copies.
_ORDERS_TIME_S = 0.06


class EmulatedRebalancer:
    """Rebalancer that uses the production planner and emulates copies and orders."""

    def __init__(self, group: EmulatedGroup, shape: GroupShape, clock: Clock) -> None:
        self._group = group
        self._shape = shape
        self._clock = clock
        self._tracker = PopularityTracker(clock, shape.sets, shape.experts)
        self._pending_layout: Layout | None = None
        self._ready_at = 0.0
        self.copies = 0

    def run_round(self) -> None:
        """Read the counters and plan a map change if it is worthwhile."""
        if self._pending_layout is not None:
            return
        self._tracker.observe(RankIndex(0), 1, list(self._group.counters))
        self._tracker.update()
        if not self._tracker.is_settled:
            return
        group = self._group
        plan = plan_layout(self._shape, group.layout, self._tracker.loads, group.speeds)
        if plan is not None and plan.is_worthwhile:
            self._pending_layout = plan.layout
            self._ready_at = self._clock.now() + plan.copy_time_s + _ORDERS_TIME_S
            self.copies += plan.copies

    def begin_pass(self) -> None:
        """Switch to the planned expert map once all ranks have loaded it."""
        if self._pending_layout is not None and self._clock.now() >= self._ready_at:
            self._group.layout, self._pending_layout = self._pending_layout, None
