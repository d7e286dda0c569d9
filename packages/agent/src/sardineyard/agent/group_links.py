"""Connections of a coordinator to the agents of its group."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING, Any

from grpclib.client import Channel
from grpclib.exceptions import GRPCError, StreamTerminatedError

from sardineyard.agent.group_messages import GroupAnswer, OrderArrived
from sardineyard.agent.group_wire import (
    answer_from_wire,
    fill_in_known_map,
    order_to_wire,
)
from sardineyard.core.address import parse_address
from sardineyard.core.control import ControlChannel, Direction
from sardineyard.core.mailbox import Mailbox, Reply
from sardineyard.experts.orders import Read, Refusal
from sardineyard.wire.session_grpc import AgentStub

if TYPE_CHECKING:
    from collections.abc import Mapping

    from sardineyard.core.control import ControlMeter
    from sardineyard.core.ids import UpstreamId
    from sardineyard.document.model import Group
    from sardineyard.experts.coordinator import Orders
    from sardineyard.experts.maps import ExpertMap
    from sardineyard.experts.orders import Order

_logger = logging.getLogger(__name__)

# Longer than the two calls of a participant to its ranks may take together.
ORDER_TIMEOUT_S = 2.5


class GroupLinks:
    """Send orders to this agent's own participant and to the other agents."""

    def __init__(self, upstream: UpstreamId, meter: ControlMeter) -> None:
        self.own: Mailbox[Any] = Mailbox()
        # The map in use as last read; replies leave it out while it is the same.
        self.known_map: ExpertMap | None = None
        self._upstream = upstream
        self._meter = meter
        self._channels: dict[UpstreamId, tuple[str, Channel]] = {}

    def update(self, group: Group, addresses: Mapping[UpstreamId, str]) -> None:
        """Follow the addresses of the agents in the document."""
        for upstream, (known, channel) in list(self._channels.items()):
            if addresses.get(upstream) != known:
                channel.close()
                del self._channels[upstream]
        for upstream in group.upstreams:
            address = addresses.get(upstream)
            if address is not None and upstream not in self._channels:
                target = parse_address(address)
                channel = Channel(target.host, target.port)
                self._channels[upstream] = (address, channel)

    def close(self) -> None:
        """Close all connections."""
        while self._channels:
            self._channels.popitem()[1][1].close()

    async def send_all(
        self, group: Group, orders: Orders
    ) -> dict[UpstreamId, GroupAnswer]:
        """Send orders at the same time and return the answers."""
        answers = await asyncio.gather(
            *(self._send(group, member, order) for member, order in orders.items())
        )
        return dict(zip(orders, answers, strict=True))

    async def _send(
        self, group: Group, member: UpstreamId, order: Order
    ) -> GroupAnswer:
        try:
            async with asyncio.timeout(ORDER_TIMEOUT_S):
                if member == self._upstream:
                    return await self._send_own(group, order)
                return await self._send_other(group, member, order)
        except (OSError, TimeoutError, GRPCError, StreamTerminatedError) as error:
            _logger.info(
                "agent of the group does not answer: %r",
                error,
                extra={"event": "group_agent_lost", "upstream": member},
            )
            return GroupAnswer(Refusal.RUNNER_LOST, None)

    async def _send_own(self, group: Group, order: Order) -> GroupAnswer:
        reply: Reply[GroupAnswer] = Reply()
        self.own.post(OrderArrived(order, group.id, self._upstream, reply))
        return await reply.wait()

    async def _send_other(
        self, group: Group, member: UpstreamId, order: Order
    ) -> GroupAnswer:
        if member not in self._channels:
            return GroupAnswer(Refusal.RUNNER_LOST, None)
        stub = AgentStub(self._channels[member][1])
        message = order_to_wire(order, group.id, self._upstream)
        if isinstance(order, Read) and self.known_map is not None:
            message.map_version = self.known_map.version
        self._count(Direction.SENT, message.ByteSize())
        reply = await stub.Order(message)
        self._count(Direction.RECEIVED, reply.ByteSize())
        if reply.report.HasField("in_use"):
            fill_in_known_map(reply, self.known_map)
        return GroupAnswer(*answer_from_wire(reply))

    def _count(self, direction: Direction, size: int) -> None:
        self._meter.control_message(ControlChannel.GROUP, direction, size)
