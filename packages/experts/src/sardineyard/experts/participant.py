"""Participant of the commit protocol: the agent of one runner."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sardineyard.core.ids import FencingNumber
from sardineyard.experts import ranks
from sardineyard.experts.orders import OrderReply, Read, Refusal

if TYPE_CHECKING:
    from sardineyard.experts.orders import Order, RunnerState


class Participant:
    """Checks orders against the promised number and the current state of the ranks.

    The promise is kept both here and in the ranks, and the greater of the two applies,
    because the agent and the ranks each lose theirs when they restart. Runners that
    ignore fencing numbers are safe because only allowed orders reach them.
    """

    def __init__(self) -> None:
        self._promised = FencingNumber(0)

    @property
    def promised(self) -> FencingNumber:
        """Return the greatest fencing number that this agent has promised."""
        return self._promised

    def check(self, order: Order, state: RunnerState) -> Refusal | None:
        """Return the reason to refuse an order before it reaches the ranks, if any.

        The promise of a read is recorded before the read is sent to the ranks, so that
        no order with a smaller number passes before they reply.
        """
        self._promised = max(self._promised, state.promised)
        refusal = ranks.number_refusal(order, self._promised)
        if refusal is None:
            refusal = ranks.refusal_of(order, state)
        if refusal is None and isinstance(order, Read):
            self._promised = order.number
        return refusal

    def answer(
        self, order: Order, refusal: Refusal | None, state: RunnerState | None
    ) -> OrderReply:
        """Return the reply; the state is None if the ranks did not reply."""
        if state is None:
            return OrderReply(order, Refusal.RUNNER_LOST, None)
        if refusal is None and not isinstance(order, Read):
            # The ranks may have restarted between the check and the order.
            changed = state.incarnation != order.incarnation
            refusal = Refusal.OTHER_INCARNATION if changed else None
        return OrderReply(order, refusal, state)
