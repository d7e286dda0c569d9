"""Task that forwards orders of the coordinator to other ranks of the group.

A map for a large group is too big to be sent to every rank over the link of the
coordinator. It is sent to a few ranks, which forward it to the others.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from sardineyard.core.address import Address
from sardineyard.core.mailbox import Mailbox, Reply
from sardineyard.rebalancer.messages import OrderCall, RelayReply
from sardineyard.rebalancer.service import RankChannel

if TYPE_CHECKING:
    from sardineyard.rebalancer.messages import OrderReply, OrderRequest, RelayCall


class OrderRelay:
    """Task that sends orders to the local rank and to the ranks of a relay request."""

    def __init__(self, local_rank: Mailbox[object], group_port: int) -> None:
        self.mailbox: Mailbox[RelayCall] = Mailbox()
        self._local_rank = local_rank
        self._group_port = group_port
        self._channels: dict[str, RankChannel] = {}
        # References that keep running tasks from being garbage-collected.
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Relay orders until cancelled."""
        try:
            while True:
                message = await self.mailbox.receive()
                task = asyncio.create_task(self._forward(message))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
        finally:
            for task in self._tasks:
                task.cancel()
            for channel in self._channels.values():
                channel.close()

    async def _forward(self, message: RelayCall) -> None:
        request = message.request
        ranks = [request.rank, *request.hosts]
        replies = await asyncio.gather(
            self._order_local(request.order),
            *(self._channel(h).order(request.order) for h in request.hosts.values()),
        )
        received = {
            rank: reply
            for rank, reply in zip(ranks, replies, strict=True)
            if reply is not None
        }
        message.reply.send(RelayReply(received))

    async def _order_local(self, order: OrderRequest) -> OrderReply | None:
        reply: Reply[OrderReply] = Reply()
        self._local_rank.post(OrderCall(order, reply))
        return await reply.wait()

    def _channel(self, host: str) -> RankChannel:
        channel = self._channels.get(host)
        if channel is None:
            channel = RankChannel(Address(host, self._group_port))
            self._channels[host] = channel
        return channel
