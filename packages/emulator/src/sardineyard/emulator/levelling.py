"""The coordinator of an emulated group: what it sees, and when its maps switch."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sardineyard.core.ids import RankIndex
from sardineyard.experts.leveling import level
from sardineyard.experts.popularity import PopularityTracker

if TYPE_CHECKING:
    from sardineyard.core.clock import Clock
    from sardineyard.emulator.group import EmulatedGroup
    from sardineyard.experts.group import Layout
    from sardineyard.experts.leveling import GroupShape

# Pause between two looks at the counts, as the rebalancers have it.
ROUND_S = 0.1
# Time of the orders of one change beside its copies (measured with 16 ranks).
_ORDERS_S = 0.06


class MapFollower:
    """Plan with the project's own planner and switch after copies and orders."""

    def __init__(self, group: EmulatedGroup, shape: GroupShape, clock: Clock) -> None:
        self._group = group
        self._shape = shape
        self._clock = clock
        self._tracker = PopularityTracker(clock, shape.sets, shape.experts)
        self._planned: Layout | None = None
        self._ready_at = 0.0
        self.copies = 0

    def look(self) -> None:
        """Take in the counts and plan a change if it pays."""
        if self._planned is not None:
            return
        self._tracker.observe(RankIndex(0), 1, list(self._group.counters))
        self._tracker.update()
        if not self._tracker.is_settled:
            return
        group = self._group
        planned = level(self._shape, group.layout, self._tracker.loads, group.speeds)
        if planned is not None and planned.is_worth_it:
            self._planned = planned.layout
            self._ready_at = self._clock.now() + planned.copy_time_s + _ORDERS_S
            self.copies += planned.copies

    def begin_pass(self) -> None:
        """Use a planned map from this pass on if all ranks have loaded it."""
        if self._planned is not None and self._clock.now() >= self._ready_at:
            self._group.layout, self._planned = self._planned, None
