"""Queued work of one priority, served fairly among its teams."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sardineyard.admission.model import Work
    from sardineyard.admission.teams import TeamCounters
    from sardineyard.core.clock import Deadline
    from sardineyard.core.ids import RequestId, TeamId


@dataclass(slots=True)
class WorkItem:
    """Queued or running work with its scheduling state."""

    work: Work
    account: TeamId
    arrived_at: float
    # Latest start that still meets the priority's time-to-first-token target.
    start_by: Deadline
    sequence: int
    # Tokens charged at the start.
    estimated_cost: float = 0.0
    started_at: float = 0.0


class FairQueue:
    """Fair queue over teams, first come, first served within a team."""

    def __init__(self, counters: TeamCounters) -> None:
        self.counters = counters
        self._queues: dict[TeamId, OrderedDict[RequestId, WorkItem]] = {}
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def queued_by(self, account: TeamId) -> int:
        """Return the number of queued requests of a team."""
        return len(self._queues.get(account, ()))

    def add(self, item: WorkItem) -> None:
        """Append work to the queue of its team."""
        queue = self._queues.setdefault(item.account, OrderedDict())
        queue[item.work.request_id] = item
        self._size += 1
        self.counters.activate(item.account)

    def remove(self, item: WorkItem) -> bool:
        """Remove an item and return whether it was queued."""
        queue = self._queues.get(item.account)
        if queue is None or queue.pop(item.work.request_id, None) is None:
            return False
        self._size -= 1
        if not queue:
            del self._queues[item.account]
            self.counters.deactivate(item.account)
        return True

    def first(self) -> WorkItem | None:
        """Return the oldest item of the next team, without removing it."""
        account = self.counters.first()
        if account is None:
            return None
        return next(iter(self._queues[account].values()))
