"""RPC service and client for the rebalancers of one group."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from grpclib.client import Channel, UnaryUnaryMethod
from grpclib.const import Cardinality, Handler

from sardineyard.catalog.peers import CALL_ERRORS, MessagePackCodec
from sardineyard.core.mailbox import Reply
from sardineyard.rebalancer.messages import (
    GatherCall,
    GatherReply,
    GatherRequest,
    OrderCall,
    OrderReply,
    OrderRequest,
    RelayCall,
    RelayReply,
    RelayRequest,
)

if TYPE_CHECKING:
    from grpclib.server import Stream

    from sardineyard.core.address import Address
    from sardineyard.core.mailbox import Mailbox

_GATHER = "/sardineyard.rebalancer.Rank/Gather"
_ORDER = "/sardineyard.rebalancer.Rank/Order"
_RELAY = "/sardineyard.rebalancer.Rank/Relay"
# A call to the runner times out after 0.25 s, and one call may wait for another.
_CALL_TIMEOUT_S = 0.6


class RankService:
    """Server that passes the calls of a coordinator to the tasks of this process."""

    def __init__(self, local_rank: Mailbox[object], relay: Mailbox[RelayCall]) -> None:
        self._local_rank = local_rank
        self._relay = relay

    async def gather(self, stream: Stream[GatherRequest, GatherReply]) -> None:
        """Reply with the state of the rank."""
        request = await stream.recv_message()
        if request is None:
            return
        reply: Reply[GatherReply] = Reply()
        self._local_rank.post(GatherCall(request, reply))
        await stream.send_message(await reply.wait())

    async def order(self, stream: Stream[OrderRequest, OrderReply]) -> None:
        """Send an order to the runner and reply with the result."""
        request = await stream.recv_message()
        if request is None:
            return
        reply: Reply[OrderReply] = Reply()
        self._local_rank.post(OrderCall(request, reply))
        await stream.send_message(await reply.wait())

    async def relay(self, stream: Stream[RelayRequest, RelayReply]) -> None:
        """Send an order to the runner and to other ranks; reply with the results."""
        request = await stream.recv_message()
        if request is None:
            return
        reply: Reply[RelayReply] = Reply()
        self._relay.post(RelayCall(request, reply))
        await stream.send_message(await reply.wait())

    def __mapping__(self) -> dict[str, Handler]:
        """Return the RPC methods by name (called by grpclib)."""
        kind = Cardinality.UNARY_UNARY
        return {
            _GATHER: Handler(self.gather, kind, GatherRequest, GatherReply),
            _ORDER: Handler(self.order, kind, OrderRequest, OrderReply),
            _RELAY: Handler(self.relay, kind, RelayRequest, RelayReply),
        }


class RankChannel:
    """Client of one other rebalancer."""

    def __init__(self, address: Address) -> None:
        self._address = address
        self._channel: Channel | None = None

    async def gather(self, request: GatherRequest) -> GatherReply | None:
        """Return the state of the rank, or None if there is no reply."""
        return await self._call(_GATHER, request, GatherReply)

    async def order(self, request: OrderRequest) -> OrderReply | None:
        """Send an order; return its result, or None if there is no reply."""
        return await self._call(_ORDER, request, OrderReply, request.wait_s)

    async def relay(self, request: RelayRequest) -> RelayReply | None:
        """Send an order to several ranks; return the results, or None without a reply.

        The timeout includes the calls of the receiver to the other ranks.
        """
        wait_s = request.order.wait_s + _CALL_TIMEOUT_S
        return await self._call(_RELAY, request, RelayReply, wait_s)

    def close(self) -> None:
        """Close the channel."""
        if self._channel is not None:
            self._channel.close()
            self._channel = None

    async def _call(
        self, name: str, request: Any, reply_type: type[Any], wait_s: float = 0.0
    ) -> Any:
        if self._channel is None:
            address = self._address
            self._channel = Channel(
                address.host, address.port, codec=MessagePackCodec()
            )
        method = UnaryUnaryMethod(self._channel, name, type(request), reply_type)
        try:
            async with asyncio.timeout(_CALL_TIMEOUT_S + wait_s):
                return await method(request)
        except CALL_ERRORS:
            # The caller logs the failure. The next call opens a new channel, as one
            # that has stopped replying does not recover.
            self.close()
            return None
