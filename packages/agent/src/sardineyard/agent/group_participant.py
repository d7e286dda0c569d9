"""Task that passes the orders of coordinators to the ranks of the local runner."""

from __future__ import annotations

import logging
from functools import singledispatchmethod
from typing import TYPE_CHECKING, Any

from sardineyard.agent.group_messages import (
    GroupReply,
    OrderReceived,
    PeerOrderAccepted,
)
from sardineyard.configsync.messages import DocumentAdopted
from sardineyard.core.mailbox import Mailbox
from sardineyard.experts.orders import Read, Refusal
from sardineyard.experts.participant import Participant
from sardineyard.runner.execution import RunnerError

if TYPE_CHECKING:
    from sardineyard.core.ids import UpstreamId
    from sardineyard.document.model import Group
    from sardineyard.runner.ranks import RankClient

_logger = logging.getLogger(__name__)


class GroupParticipant:
    """Check orders and forward them to the ranks, one at a time.

    An order is checked only after the ranks have replied to the previous one, because
    runners that ignore fencing numbers carry out orders as they arrive.
    """

    def __init__(
        self, upstream: UpstreamId, ranks: RankClient, coordinator: Mailbox[Any]
    ) -> None:
        self.mailbox: Mailbox[Any] = Mailbox()
        self._upstream = upstream
        self._ranks = ranks
        self._coordinator = coordinator
        self._group: Group | None = None
        self._participant = Participant()

    async def run(self) -> None:
        """Handle messages until cancelled."""
        while True:
            await self._handle(await self.mailbox.receive())

    @singledispatchmethod
    async def _handle(self, message: object) -> None:
        raise TypeError(f"unexpected message {type(message).__name__}")

    @_handle.register(DocumentAdopted)
    async def _document_adopted(self, message: DocumentAdopted) -> None:
        self._group = next(
            (g for g in message.document.groups if self._upstream in g.upstreams), None
        )

    @_handle.register(OrderReceived)
    async def _order_received(self, message: OrderReceived) -> None:
        group = self._group
        if (
            group is None
            or message.group != group.id
            or message.sender not in group.upstreams
        ):
            _logger.warning(
                "refused an order from an agent that is not in the group",
                extra={"event": "group_order_refused", "asker": message.sender},
            )
            message.reply.send(GroupReply(Refusal.NOT_A_MEMBER, None))
            return
        reply = await self._execute(message)
        if reply.refusal is None and message.sender != self._upstream:
            self._coordinator.offer(PeerOrderAccepted(message.sender))
        message.reply.send(reply)

    async def _execute(self, message: OrderReceived) -> GroupReply:
        order = message.order
        try:
            report = await self._ranks.read()
            refusal = self._participant.check(order, report.state)
            if refusal is None:
                refusal, report = await self._ranks.order(order)
        except RunnerError as error:
            _logger.warning(
                "no response from the ranks: %s", error, extra={"event": "ranks_lost"}
            )
            return GroupReply(Refusal.RUNNER_LOST, None)
        reply = self._participant.answer(order, refusal, report.state)
        if not isinstance(order, Read) or reply.refusal is not None:
            self._log(message, reply.refusal)
        return GroupReply(reply.refusal, report)

    def _log(self, message: OrderReceived, refusal: Refusal | None) -> None:
        order = type(message.order).__name__.lower()
        _logger.info(
            "group order %s: %s",
            order,
            refusal.value if refusal is not None else "followed",
            extra={
                "event": "group_order",
                "order": order,
                "asker": message.sender,
                "number": message.order.number,
                "refusal": refusal.value if refusal is not None else None,
            },
        )
