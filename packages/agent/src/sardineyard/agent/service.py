"""gRPC service of an agent for entries and other agents."""

from __future__ import annotations

import asyncio
import itertools
from typing import TYPE_CHECKING, Any

from grpclib.const import Status
from grpclib.exceptions import GRPCError

from sardineyard.agent.group_messages import OrderReceived
from sardineyard.agent.group_wire import (
    omit_known_map,
    order_from_wire,
    reply_to_wire,
)
from sardineyard.agent.key_messages import RequestSurrender
from sardineyard.agent.messages import SessionId
from sardineyard.agent.session import Session
from sardineyard.agent.surrender import decode_surrender_query, encode_surrender_reply
from sardineyard.core.control import ControlChannel, Direction
from sardineyard.core.ids import GroupId, UpstreamId
from sardineyard.core.mailbox import Reply
from sardineyard.wire import session_pb2 as pb
from sardineyard.wire.session_grpc import AgentBase

if TYPE_CHECKING:
    from grpclib.server import Stream

    from sardineyard.agent.group_messages import GroupReply
    from sardineyard.core.clock import Clock
    from sardineyard.core.control import ControlMeter
    from sardineyard.core.ids import Incarnation
    from sardineyard.core.mailbox import Mailbox
    from sardineyard.idempotency.messages import SurrenderResult


class AgentService(AgentBase):
    """Serve the sessions of entries and the requests of other agents."""

    def __init__(
        self,
        upstream: UpstreamId,
        incarnation: Incarnation,
        scheduler: Mailbox[Any],
        key_owner: Mailbox[Any],
        participant: Mailbox[Any],
        clock: Clock,
        meter: ControlMeter,
    ) -> None:
        self._upstream = upstream
        self._incarnation = incarnation
        self._scheduler = scheduler
        self._key_owner = key_owner
        self._participant = participant
        self._clock = clock
        self._meter = meter
        self._session_ids = itertools.count(1)
        self._sessions: set[Session] = set()

    async def flush(self) -> None:
        """Wait until every session has sent its queued events."""
        await asyncio.gather(*(session.flush() for session in self._sessions))

    async def Session(self, stream: Stream[pb.EntryFrame, pb.AgentFrame]) -> None:  # noqa: N802
        """Serve the session of one entry until it ends."""
        session = Session(
            SessionId(next(self._session_ids)),
            stream,
            self._scheduler,
            self._key_owner,
            self._clock,
            self._meter,
        )
        self._sessions.add(session)
        try:
            await session.run(self._upstream, self._incarnation)
        finally:
            self._sessions.discard(session)

    async def Surrender(  # noqa: N802
        self, stream: Stream[pb.SurrenderRequest, pb.SurrenderReply]
    ) -> None:
        """Surrender a key to its new owner: promise never to run it.

        Otherwise the reply says whether its call ran, is running or may have run.
        """
        request = await stream.recv_message()
        query = decode_surrender_query(request) if request is not None else None
        if query is None:
            await stream.send_message(pb.SurrenderReply())
            return
        reply: Reply[SurrenderResult] = Reply()
        self._key_owner.post(RequestSurrender(query, reply))
        await stream.send_message(encode_surrender_reply(await reply.wait()))

    async def Order(self, stream: Stream[pb.GroupOrder, pb.GroupReply]) -> None:  # noqa: N802
        """Pass an order to the participant and send its reply."""
        message = await stream.recv_message()
        if message is None:
            return
        try:
            order = order_from_wire(message)
        except ValueError as error:
            raise GRPCError(Status.INVALID_ARGUMENT, str(error)) from error
        reply: Reply[GroupReply] = Reply()
        group, sender = GroupId(message.group), UpstreamId(message.asker)
        self._participant.post(OrderReceived(order, group, sender, reply))
        encoded = reply_to_wire(await reply.wait())
        if message.kind == pb.GroupOrder.READ and encoded.HasField("report"):
            omit_known_map(encoded, message.map_version)
        self._count_control_bytes(Direction.RECEIVED, message.ByteSize())
        self._count_control_bytes(Direction.SENT, encoded.ByteSize())
        await stream.send_message(encoded)

    def _count_control_bytes(self, direction: Direction, size: int) -> None:
        self._meter.count_control_message(ControlChannel.GROUP, direction, size)
