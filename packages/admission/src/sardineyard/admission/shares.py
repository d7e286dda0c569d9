"""Token credit that enforces the reserved shares of priorities."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from sardineyard.admission.model import PriorityRule
    from sardineyard.core.ids import PriorityName


class ReservedShares:
    """Tracks how far each priority is below or above its reserved share.

    While a priority has queued work, it earns its share of the tokens of all started
    work and pays for the tokens of its own. It earns nothing while its queue is empty,
    so a burst after an idle period cannot block the other priorities.
    """

    def __init__(self, rules: Iterable[PriorityRule]) -> None:
        self._reserved = {rule.name: rule.reserved_share for rule in rules}
        self._credit = dict.fromkeys(self._reserved, 0.0)

    def credit(self, priority: PriorityName) -> float:
        """Return the unused credit in tokens; negative when overdrawn."""
        return self._credit[priority]

    def is_below_share(self, priority: PriorityName) -> bool:
        """Return whether a priority has unused share, so that it is served first."""
        return self._reserved[priority] > 0 and self._credit[priority] >= 0

    def tokens_until_due(self, priority: PriorityName, cost: float) -> float:
        """Return the tokens of all priorities until the next request is due.

        A request is due once the priority has earned its cost. Serving the earliest
        due request first keeps each priority within one request of its share, as long
        as the shares sum to at most 1 (earliest eligible virtual deadline first).
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
        """Charge a priority for tokens and credit all priorities with queued work.

        `cost` is the estimate for the whole request when it starts, and the error of
        that estimate, which may be negative, when it ends.
        """
        for queued_priority in backlogged:
            self._credit[queued_priority] += self._reserved[queued_priority] * cost
        # Using idle capacity builds up no debt beyond the cost of the last request.
        credit = self._credit[priority]
        self._credit[priority] = max(credit - cost, min(-request_cost, credit))
        if priority not in backlogged:
            self.drop_credit(priority)

    def drop_credit(self, priority: PriorityName) -> None:
        """Reset positive credit of a priority that has no queued work."""
        self._credit[priority] = min(self._credit[priority], 0.0)
