"""Virtual token counters: weighted fair queuing among the teams of a priority."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

from sardineyard.admission.lazyheap import LazyHeap
from sardineyard.core.ids import TeamId

if TYPE_CHECKING:
    from collections.abc import Mapping

# Teams that the document does not list share one counter: however many there are,
# they use the memory and receive the share of a single team.
UNLISTED_TEAMS = TeamId("")


class TeamCounters:
    """Orders teams with queued work by tokens received per unit of weight."""

    def __init__(self, weights: Mapping[TeamId, float], max_idle: int) -> None:
        self._weights = weights
        self._max_idle = max_idle
        self._active: LazyHeap[TeamId] = LazyHeap()
        self._counters: dict[TeamId, float] = {}
        self._idle: OrderedDict[TeamId, float] = OrderedDict()
        # Highest counter of a team when it was charged. A team that becomes active
        # while no other team is active starts no lower.
        self._virtual_time = 0.0
        self._active_weight = 0.0

    @property
    def active_weight(self) -> float:
        """Return the sum of the weights of the teams that have queued work."""
        return self._active_weight

    @property
    def counter_count(self) -> int:
        """Return the number of counters in memory, active and idle."""
        return len(self._counters) + len(self._idle)

    def account(self, team: TeamId) -> TeamId:
        """Return the account of a team; all unlisted teams share one account."""
        return team if team in self._weights else UNLISTED_TEAMS

    def weight(self, account: TeamId) -> float:
        """Return the weight of an account; 1.0 if the document does not list it."""
        return self._weights.get(account, 1.0)

    def activate(self, account: TeamId) -> None:
        """Include a team that has queued work in the service order."""
        if account in self._counters:
            return
        first = self._active.first()
        min_counter = self._virtual_time if first is None else first[0]
        counter = max(self._idle.pop(account, min_counter), min_counter)
        self._counters[account] = counter
        self._active.put(account, counter)
        self._active_weight += self.weight(account)

    def deactivate(self, account: TeamId) -> None:
        """Move a team to the idle set; evict the longest idle one if it is full."""
        counter = self._counters.pop(account, None)
        if counter is None:
            return
        self._active.discard(account)
        self._active_weight -= self.weight(account)
        self._idle[account] = counter
        if len(self._idle) > self._max_idle:
            self._idle.popitem(last=False)

    def first(self) -> TeamId | None:
        """Return the active team with the lowest counter."""
        found = self._active.first()
        return None if found is None else found[1]

    def charge(self, account: TeamId, cost: float) -> None:
        """Add tokens to a team's counter; a negative cost corrects an overestimate."""
        weighted_tokens = cost / self.weight(account)
        if account in self._counters:
            self._virtual_time = max(self._virtual_time, self._counters[account])
            self._counters[account] += weighted_tokens
            self._active.put(account, self._counters[account])
        elif account in self._idle:
            self._idle[account] += weighted_tokens
