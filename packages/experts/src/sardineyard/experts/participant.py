"""The part of one runner's agent in a change of the expert map."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sardineyard.core.ids import FencingNumber
from sardineyard.experts import ranks
from sardineyard.experts.orders import OrderReply, Read, Refusal

if TYPE_CHECKING:
    from sardineyard.experts.orders import Order, RunnerState


class Participant:
    """Check orders against the promise and the state just read from the ranks.

    The promise is kept here and in the ranks, and the greater of the two counts:
    ranks that restart have forgotten it, and so has an agent that restarts. Runners
    that ignore fencing numbers are safe because only allowed orders reach them.
    """

    def __init__(self) -> None:
        self._promised = FencingNumber(0)

    @property
    def promised(self) -> FencingNumber:
        """Return the greatest number that this agent has promised."""
        return self._promised

    def check(self, order: Order, state: RunnerState) -> Refusal | None:
        """Return why an order must not reach the ranks, given their state.

        The promise of a read is taken before the ranks know of it, so that no order
        with a smaller number passes while the ranks answer.
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
        """Return the reply to the coordinator; no state means no answer from ranks."""
        if state is None:
            return OrderReply(order, Refusal.RUNNER_LOST, None)
        if refusal is None and not isinstance(order, Read):
            # The ranks may have restarted between the check and the order.
            changed = state.incarnation != order.incarnation
            refusal = Refusal.OTHER_INCARNATION if changed else None
        return OrderReply(order, refusal, state)
