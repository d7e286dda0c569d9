"""Task that owns the runner's part in changes of the expert map."""

from __future__ import annotations

import logging
from functools import singledispatchmethod
from typing import TYPE_CHECKING, Any

from sardineyard.agent.group_messages import GroupAnswer, OrderArrived, OrderSeen
from sardineyard.configsync.messages import DocumentAdopted
from sardineyard.core.mailbox import Mailbox
from sardineyard.experts.orders import Read, Refusal
from sardineyard.experts.participant import Participant
from sardineyard.runner.kinds import RunnerError

if TYPE_CHECKING:
    from sardineyard.core.ids import UpstreamId
    from sardineyard.document.model import Group
    from sardineyard.runner.ranks import RankClient

_logger = logging.getLogger(__name__)


class GroupParticipant:
    """Give allowed orders to the ranks, one at a time.

    The next order waits until the ranks have answered the one before, because
    runners that ignore fencing numbers follow orders as they arrive.
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
        """Handle messages for ever."""
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

    @_handle.register(OrderArrived)
    async def _order_arrived(self, message: OrderArrived) -> None:
        group = self._group
        if (
            group is None
            or message.group != group.id
            or message.asker not in group.upstreams
        ):
            _logger.warning(
                "order of an agent that is not in the group",
                extra={"event": "group_order_refused", "asker": message.asker},
            )
            message.reply.send(GroupAnswer(Refusal.NOT_A_MEMBER, None))
            return
        answer = await self._follow(message)
        if answer.refusal is None and message.asker != self._upstream:
            self._coordinator.offer(OrderSeen(message.asker))
        message.reply.send(answer)

    async def _follow(self, message: OrderArrived) -> GroupAnswer:
        order = message.order
        try:
            report = await self._ranks.read()
            refusal = self._participant.check(order, report.state)
            if refusal is None:
                refusal, report = await self._ranks.order(order)
        except RunnerError as error:
            _logger.warning(
                "ranks do not answer: %s", error, extra={"event": "ranks_lost"}
            )
            return GroupAnswer(Refusal.RUNNER_LOST, None)
        reply = self._participant.answer(order, refusal, report.state)
        if not isinstance(order, Read) or reply.refusal is not None:
            self._log(message, reply.refusal)
        return GroupAnswer(reply.refusal, report)

    def _log(self, message: OrderArrived, refusal: Refusal | None) -> None:
        order = type(message.order).__name__.lower()
        _logger.info(
            "group order %s: %s",
            order,
            refusal.value if refusal is not None else "followed",
            extra={
                "event": "group_order",
                "order": order,
                "asker": message.asker,
                "number": message.order.number,
                "refusal": refusal.value if refusal is not None else None,
            },
        )
