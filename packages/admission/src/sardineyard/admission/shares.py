"""Reserved shares of priorities."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from sardineyard.admission.model import PriorityRule
    from sardineyard.core.ids import PriorityName


class ReservedShares:
    """Tell which priorities have received less than their reserved share.

    A priority earns its share of all work that starts while it has queued work,
    and pays for its own. It earns nothing while it is idle, so that an idle
    time cannot be followed by a burst that blocks the others.
    """

    def __init__(self, rules: Iterable[PriorityRule]) -> None:
        self._reserved = {rule.name: rule.reserved_share for rule in rules}
        self._credit = dict.fromkeys(self._reserved, 0.0)

    def credit(self, priority: PriorityName) -> float:
        """Return the tokens earned and not used; negative when overdrawn."""
        return self._credit[priority]

    def is_below(self, priority: PriorityName) -> bool:
        """Return whether a priority goes before the more urgent ones."""
        return self._reserved[priority] > 0 and self._credit[priority] >= 0

    def due_in(self, priority: PriorityName, cost: float) -> float:
        """Return the tokens of all work within which the next request is due.

        A request is due when the share has earned its cost. Serving the earliest
        due first keeps each priority within one request of its share, as long as
        the shares sum to at most 1 (earliest eligible virtual deadline first).
        """
        return (cost - self._credit[priority]) / self._reserved[priority]

    def reserved(self, priority: PriorityName) -> float:
        """Return the reserved share of a priority."""
        return self._reserved[priority]

    def charge(
        self,
        priority: PriorityName,
        cost: float,
        request_cost: float,
        backlogged: Collection[PriorityName],
    ) -> None:
        """Account for tokens that a priority uses while others wait.

        The cost is the whole request when it starts and the error of the estimate,
        which may be negative, when it ends.
        """
        for waiting in backlogged:
            self._credit[waiting] += self._reserved[waiting] * cost
        # Use of idle capacity is no debt beyond the last request.
        credit = self._credit[priority]
        self._credit[priority] = max(credit - cost, min(-request_cost, credit))
        if priority not in backlogged:
            self.idle(priority)

    def idle(self, priority: PriorityName) -> None:
        """Drop what a priority has earned, because it has no queued work."""
        self._credit[priority] = min(self._credit[priority], 0.0)
