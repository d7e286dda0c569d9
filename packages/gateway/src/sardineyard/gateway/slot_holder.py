"""The slots of one request: the one in use, and the one that its stream moves to."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from sardineyard.core.mailbox import Mailbox, Reply
from sardineyard.forwarding.slot_messages import SlotGrant, SlotRequest, TicketId
from sardineyard.gateway.messages import AcquireSlot, ReleaseSlot

if TYPE_CHECKING:
    from sardineyard.core.clock import Deadline
    from sardineyard.forwarding.slot_messages import QuarantineRefusal, SlotRefusal
    from sardineyard.gateway.context import RequestContext
    from sardineyard.gateway.messages import MoveStream

    SlotDecision = SlotGrant | SlotRefusal | QuarantineRefusal


@dataclass(slots=True)
class _Slot:
    ticket: TicketId
    # Receives requests to move the stream while the slot is held.
    move_requests: Mailbox[MoveStream] = field(default_factory=lambda: Mailbox())
    decision: SlotDecision | None = None


class SlotHolder:
    """Acquires and releases the slots of one request."""

    def __init__(self, context: RequestContext) -> None:
        self._context = context
        self._dispatcher = context.environment.dispatcher
        self._tried_upstreams: set[str] = set()
        self._rejecting_upstreams: set[str] = set()
        self._current: _Slot | None = None
        # Slot at another upstream, held while the stream still has the current one.
        self._reserved: _Slot | None = None

    @property
    def move_requests(self) -> Mailbox[MoveStream]:
        """Return the requests to move the stream away from the current slot."""
        assert self._current is not None
        return self._current.move_requests

    async def acquire(self) -> SlotDecision:
        """Use the reserved slot, or wait for one, and return the decision."""
        slot, self._reserved = self._reserved, None
        if slot is None:
            self._current = slot = self._new_slot()
            await self._request(slot, self._context.admitted.deadline)
        self._current = slot
        assert slot.decision is not None
        if isinstance(slot.decision, SlotGrant):
            self._tried_upstreams.add(slot.decision.upstream.id)
        return slot.decision

    async def reserve(self, deadline: Deadline) -> bool:
        """Wait for a slot at another upstream; return whether it is reserved."""
        slot = self._new_slot()
        try:
            await self._request(slot, deadline)
        finally:
            if isinstance(slot.decision, SlotGrant):
                self._reserved = slot
            else:
                self._dispatcher.post(ReleaseSlot(slot.ticket))
        return self._reserved is not None

    def record_rejection(self, upstream: str) -> None:
        """Record that an upstream rejected the request without running it."""
        self._rejecting_upstreams.add(upstream)

    def release_reserved(self) -> None:
        """Release the reserved slot, because the stream stays where it is."""
        if self._reserved is not None:
            self._dispatcher.post(ReleaseSlot(self._reserved.ticket))
        self._reserved = None

    def release(self) -> None:
        """Release the current slot; a reserved one is kept for the next call."""
        if self._current is not None:
            self._dispatcher.post(ReleaseSlot(self._current.ticket))
        self._current = None

    def _new_slot(self) -> _Slot:
        return _Slot(TicketId(next(self._context.environment.tickets)))

    async def _request(self, slot: _Slot, deadline: Deadline) -> None:
        admitted = self._context.admitted
        holds_slot = self._current is not None and self._current is not slot
        progress = self._context.progress
        # The request may be sent to no further upstream, only to those it had.
        allowed = (
            frozenset(self._tried_upstreams - self._rejecting_upstreams)
            if progress.has_used_all_upstreams
            else None
        )
        reply: Reply[SlotDecision] = Reply()
        request = SlotRequest(
            slot.ticket,
            admitted.service,
            admitted.priority,
            self._context.request.arrived,
            deadline,
            admitted.route.target_latency_s,
            admitted.route.target_event_gap_s if admitted.route.is_stream else 0.0,
            admitted.earlier_attempts_s,
            frozenset(self._tried_upstreams),
            progress.has_stream_started or holds_slot,
            holds_slot,
            allowed,
        )
        self._dispatcher.post(
            AcquireSlot(
                admitted.metadata.request_id,
                request,
                self._context.traits,
                reply,
                slot.move_requests,
            )
        )
        slot.decision = await reply.wait()
