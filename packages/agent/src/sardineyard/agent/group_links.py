"""Connections of a coordinator to the agents of its group of ranks."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING, Any

from grpclib.exceptions import GRPCError, StreamTerminatedError

from sardineyard.agent.group_messages import GroupReply, OrderReceived
from sardineyard.agent.group_wire import (
    order_to_wire,
    reply_from_wire,
    restore_known_map,
)
from sardineyard.core.address import parse_address
from sardineyard.core.control import ControlChannel, Direction
from sardineyard.core.mailbox import Mailbox, Reply
from sardineyard.experts.orders import Read, Refusal
from sardineyard.wire.session_grpc import AgentStub

if TYPE_CHECKING:
    from collections.abc import Mapping

    from grpclib.client import Channel

    from sardineyard.core.control import ControlMeter
    from sardineyard.core.ids import UpstreamId
    from sardineyard.document.model import Group
    from sardineyard.experts.coordinator import Orders
    from sardineyard.experts.maps import ExpertMap
    from sardineyard.experts.orders import Order
    from sardineyard.wire.dialer import Dialer

_logger = logging.getLogger(__name__)

# Longer than the combined timeouts of the two calls that a participant makes to its
# ranks for one order.
ORDER_TIMEOUT_S = 2.5


class GroupLinks:
    """Send orders to the local participant and to the other agents."""

    def __init__(
        self, upstream: UpstreamId, dialer: Dialer, meter: ControlMeter
    ) -> None:
        self._dialer = dialer
        self.local_participant: Mailbox[Any] = Mailbox()
        # The map in use at the last read; replies omit it while it is unchanged.
        self.known_map: ExpertMap | None = None
        self._upstream = upstream
        self._meter = meter
        self._channels: dict[UpstreamId, tuple[str, Channel]] = {}

    def update(self, group: Group, addresses: Mapping[UpstreamId, str]) -> None:
        """Open and close connections according to the addresses in the document."""
        for upstream, (known, channel) in list(self._channels.items()):
            if addresses.get(upstream) != known:
                channel.close()
                del self._channels[upstream]
        for upstream in group.upstreams:
            address = addresses.get(upstream)
            if address is not None and upstream not in self._channels:
                channel = self._dialer.open(parse_address(address))
                self._channels[upstream] = (address, channel)

    def close(self) -> None:
        """Close all connections."""
        while self._channels:
            self._channels.popitem()[1][1].close()

    async def send_all(
        self, group: Group, orders: Orders
    ) -> dict[UpstreamId, GroupReply]:
        """Send all orders concurrently and return the replies."""
        replies = await asyncio.gather(
            *(self._send(group, member, order) for member, order in orders.items())
        )
        return dict(zip(orders, replies, strict=True))

    async def _send(self, group: Group, member: UpstreamId, order: Order) -> GroupReply:
        try:
            async with asyncio.timeout(ORDER_TIMEOUT_S):
                if member == self._upstream:
                    return await self._send_local(group, order)
                return await self._send_remote(group, member, order)
        except (OSError, TimeoutError, GRPCError, StreamTerminatedError) as error:
            _logger.info(
                "no reply from an agent of the group: %r",
                error,
                extra={"event": "group_agent_lost", "upstream": member},
            )
            return GroupReply(Refusal.RUNNER_LOST, None)

    async def _send_local(self, group: Group, order: Order) -> GroupReply:
        reply: Reply[GroupReply] = Reply()
        self.local_participant.post(
            OrderReceived(order, group.id, self._upstream, reply)
        )
        return await reply.wait()

    async def _send_remote(
        self, group: Group, member: UpstreamId, order: Order
    ) -> GroupReply:
        if member not in self._channels:
            return GroupReply(Refusal.RUNNER_LOST, None)
        stub = AgentStub(self._channels[member][1])
        message = order_to_wire(order, group.id, self._upstream)
        if isinstance(order, Read) and self.known_map is not None:
            message.map_version = self.known_map.version
        self._count_control_bytes(Direction.SENT, message.ByteSize())
        reply = await stub.Order(message)
        self._count_control_bytes(Direction.RECEIVED, reply.ByteSize())
        if reply.report.HasField("in_use"):
            restore_known_map(reply, self.known_map)
        return GroupReply(*reply_from_wire(reply))

    def _count_control_bytes(self, direction: Direction, size: int) -> None:
        self._meter.count_control_message(ControlChannel.GROUP, direction, size)
