"""Queued work of one priority, shared fairly among its teams."""

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
class Item:
    """Hold queued or running work with what the queue knows about it."""

    work: Work
    account: TeamId
    arrived: float
    # Latest start that still meets the priority's target.
    due: Deadline
    sequence: int
    estimate: float = 0.0
    started: float = 0.0


class Backlog:
    """Keep first come, first served order inside each team."""

    def __init__(self, counters: TeamCounters) -> None:
        self.counters = counters
        self._queues: dict[TeamId, OrderedDict[RequestId, Item]] = {}
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def queued_by(self, account: TeamId) -> int:
        """Return the number of requests that a team has in the queue."""
        return len(self._queues.get(account, ()))

    def add(self, item: Item) -> None:
        """Append work to the queue of its team."""
        queue = self._queues.setdefault(item.account, OrderedDict())
        queue[item.work.request_id] = item
        self._size += 1
        self.counters.activate(item.account)

    def remove(self, item: Item) -> bool:
        """Take one item out and return whether it was there."""
        queue = self._queues.get(item.account)
        if queue is None or queue.pop(item.work.request_id, None) is None:
            return False
        self._size -= 1
        if not queue:
            del self._queues[item.account]
            self.counters.deactivate(item.account)
        return True

    def first(self) -> Item | None:
        """Return the oldest item of the team that is served next."""
        account = self.counters.first()
        if account is None:
            return None
        return next(iter(self._queues[account].values()))
