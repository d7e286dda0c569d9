"""The task that passes orders of the coordinator on to other ranks of the group.

A map for a large group is too long to be sent to every rank over the one link of the
coordinator, so it is sent to a few ranks that send it on.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from sardineyard.core.address import Address
from sardineyard.core.mailbox import Mailbox, Reply
from sardineyard.rebalancer.messages import OrderAsked, RelayReply
from sardineyard.rebalancer.service import RankChannel

if TYPE_CHECKING:
    from sardineyard.rebalancer.messages import OrderReply, OrderRequest, RelayAsked


class OrderRelay:
    """Give orders to the own rank and to those that the coordinator names."""

    def __init__(self, local: Mailbox[object], group_port: int) -> None:
        self.mailbox: Mailbox[RelayAsked] = Mailbox()
        self._local = local
        self._group_port = group_port
        self._channels: dict[str, RankChannel] = {}
        # Kept from garbage collection until they have answered.
        self._answers: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Relay orders until cancelled."""
        try:
            while True:
                message = await self.mailbox.receive()
                answer = asyncio.create_task(self._answer(message))
                self._answers.add(answer)
                answer.add_done_callback(self._answers.discard)
        finally:
            for answer in self._answers:
                answer.cancel()
            for channel in self._channels.values():
                channel.close()

    async def _answer(self, message: RelayAsked) -> None:
        request = message.request
        ranks = [request.rank, *request.hosts]
        replies = await asyncio.gather(
            self._order_own(request.order),
            *(self._channel(h).order(request.order) for h in request.hosts.values()),
        )
        answered = {r: a for r, a in zip(ranks, replies, strict=True) if a is not None}
        message.reply.send(RelayReply(answered))

    async def _order_own(self, order: OrderRequest) -> OrderReply | None:
        reply: Reply[OrderReply] = Reply()
        self._local.post(OrderAsked(order, reply))
        return await reply.wait()

    def _channel(self, host: str) -> RankChannel:
        channel = self._channels.get(host)
        if channel is None:
            channel = RankChannel(Address(host, self._group_port))
            self._channels[host] = channel
        return channel
