"""Virtual token counters that share a priority among teams."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

from sardineyard.admission.lazyheap import LazyHeap
from sardineyard.core.ids import TeamId

if TYPE_CHECKING:
    from collections.abc import Mapping

# Teams that the document does not list share one counter, so that their number
# gives them neither memory nor more than the part of one team.
UNKNOWN_TEAMS = TeamId("")


class TeamCounters:
    """Order the teams that have queued work by weighted service received."""

    def __init__(self, weights: Mapping[TeamId, float], max_idle: int) -> None:
        self._weights = weights
        self._max_idle = max_idle
        self._active: LazyHeap[TeamId] = LazyHeap()
        self._counters: dict[TeamId, float] = {}
        self._idle: OrderedDict[TeamId, float] = OrderedDict()
        # Counter of the team that was served last; newcomers start from it.
        self._served = 0.0
        self._active_weight = 0.0

    @property
    def active_weight(self) -> float:
        """Return the sum of the weights of the teams that have queued work."""
        return self._active_weight

    @property
    def remembered(self) -> int:
        """Return the number of counters in memory."""
        return len(self._counters) + len(self._idle)

    def account(self, team: TeamId) -> TeamId:
        """Return the team, or the account that all unknown teams share."""
        return team if team in self._weights else UNKNOWN_TEAMS

    def weight(self, account: TeamId) -> float:
        """Return the weight of a team."""
        return self._weights.get(account, 1.0)

    def activate(self, account: TeamId) -> None:
        """Give a team that has queued work a place in the order."""
        if account in self._counters:
            return
        first = self._active.first()
        lowest = self._served if first is None else first[0]
        counter = max(self._idle.pop(account, lowest), lowest)
        self._counters[account] = counter
        self._active.put(account, counter)
        self._active_weight += self.weight(account)

    def deactivate(self, account: TeamId) -> None:
        """Remember a team without queued work; forget the one idle for longest."""
        counter = self._counters.pop(account, None)
        if counter is None:
            return
        self._active.discard(account)
        self._active_weight -= self.weight(account)
        self._idle[account] = counter
        if len(self._idle) > self._max_idle:
            self._idle.popitem(last=False)

    def first(self) -> TeamId | None:
        """Return the team that is served next."""
        found = self._active.first()
        return None if found is None else found[1]

    def charge(self, account: TeamId, cost: float) -> None:
        """Add tokens to a counter; a negative cost corrects an estimate."""
        added = cost / self.weight(account)
        if account in self._counters:
            self._served = max(self._served, self._counters[account])
            self._counters[account] += added
            self._active.put(account, self._counters[account])
        elif account in self._idle:
            self._idle[account] += added
