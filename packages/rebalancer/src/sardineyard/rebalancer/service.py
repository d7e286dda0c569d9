"""Calls between the rebalancers of one group."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from grpclib.client import Channel, UnaryUnaryMethod
from grpclib.const import Cardinality, Handler

from sardineyard.catalog.peers import CALL_ERRORS, NewsCodec
from sardineyard.core.mailbox import Reply
from sardineyard.rebalancer.messages import (
    GatherAsked,
    GatherReply,
    GatherRequest,
    OrderAsked,
    OrderReply,
    OrderRequest,
    RelayAsked,
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
# The runner's own time-out is 0.25 s, and one call may wait behind another.
_CALL_TIMEOUT_S = 0.6


class RankService:
    """Pass the calls of a coordinator on to the owner of the runner."""

    def __init__(self, owner: Mailbox[object], relay: Mailbox[RelayAsked]) -> None:
        self._owner = owner
        self._relay = relay

    async def gather(self, stream: Stream[GatherRequest, GatherReply]) -> None:
        """Answer with the state of the rank."""
        request = await stream.recv_message()
        if request is None:
            return
        reply: Reply[GatherReply] = Reply()
        self._owner.post(GatherAsked(request, reply))
        await stream.send_message(await reply.wait())

    async def order(self, stream: Stream[OrderRequest, OrderReply]) -> None:
        """Give an order to the runner."""
        request = await stream.recv_message()
        if request is None:
            return
        reply: Reply[OrderReply] = Reply()
        self._owner.post(OrderAsked(request, reply))
        await stream.send_message(await reply.wait())

    async def relay(self, stream: Stream[RelayRequest, RelayReply]) -> None:
        """Give an order to the runner and to other ranks."""
        request = await stream.recv_message()
        if request is None:
            return
        reply: Reply[RelayReply] = Reply()
        self._relay.post(RelayAsked(request, reply))
        await stream.send_message(await reply.wait())

    def __mapping__(self) -> dict[str, Handler]:
        """Return the methods of this service (called by grpclib)."""
        kind = Cardinality.UNARY_UNARY
        return {
            _GATHER: Handler(self.gather, kind, GatherRequest, GatherReply),
            _ORDER: Handler(self.order, kind, OrderRequest, OrderReply),
            _RELAY: Handler(self.relay, kind, RelayRequest, RelayReply),
        }


class RankChannel:
    """Own the channel to one other rebalancer."""

    def __init__(self, address: Address) -> None:
        self._address = address
        self._channel: Channel | None = None

    async def gather(self, request: GatherRequest) -> GatherReply | None:
        """Return the state of the rank, or None without an answer."""
        return await self._call(_GATHER, request, GatherReply)

    async def order(self, request: OrderRequest) -> OrderReply | None:
        """Return what became of an order, or None without an answer."""
        return await self._call(_ORDER, request, OrderReply, request.wait_s)

    async def relay(self, request: RelayRequest) -> RelayReply | None:
        """Return what became of an order at several ranks, or None without an answer.

        The receiver waits for the other ranks as long as a call may take.
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
            self._channel = Channel(address.host, address.port, codec=NewsCodec())
        method = UnaryUnaryMethod(self._channel, name, type(request), reply_type)
        try:
            async with asyncio.timeout(_CALL_TIMEOUT_S + wait_s):
                return await method(request)
        except CALL_ERRORS:
            # The caller logs that the rank is not reached; a silent channel stays so.
            self.close()
            return None
