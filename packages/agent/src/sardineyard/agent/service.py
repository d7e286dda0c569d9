"""The gRPC service of an agent."""

from __future__ import annotations

import asyncio
import itertools
from typing import TYPE_CHECKING, Any

from grpclib.const import Status
from grpclib.exceptions import GRPCError

from sardineyard.agent.group_messages import OrderArrived
from sardineyard.agent.group_wire import (
    answer_to_wire,
    leave_out_known_map,
    order_from_wire,
)
from sardineyard.agent.key_messages import AskSurrender
from sardineyard.agent.messages import SessionId
from sardineyard.agent.session import Session
from sardineyard.agent.surrender import decode_question, encode_answer
from sardineyard.core.control import ControlChannel, Direction
from sardineyard.core.ids import GroupId, UpstreamId
from sardineyard.core.mailbox import Reply
from sardineyard.wire import session_pb2 as pb
from sardineyard.wire.session_grpc import AgentBase

if TYPE_CHECKING:
    from grpclib.server import Stream

    from sardineyard.agent.group_messages import GroupAnswer
    from sardineyard.core.clock import Clock
    from sardineyard.core.control import ControlMeter
    from sardineyard.core.ids import Incarnation
    from sardineyard.core.mailbox import Mailbox
    from sardineyard.idempotency.messages import SurrenderAnswer


class AgentService(AgentBase):
    """Open a session for each entry."""

    def __init__(
        self,
        upstream: UpstreamId,
        incarnation: Incarnation,
        scheduler: Mailbox[Any],
        key_owner: Mailbox[Any],
        group: Mailbox[Any],
        clock: Clock,
        meter: ControlMeter,
    ) -> None:
        self._upstream = upstream
        self._incarnation = incarnation
        self._scheduler = scheduler
        self._key_owner = key_owner
        self._group = group
        self._clock = clock
        self._meter = meter
        self._numbers = itertools.count(1)
        self._sessions: set[Session] = set()

    async def flush(self) -> None:
        """Return when every session has sent its events."""
        await asyncio.gather(*(session.flush() for session in self._sessions))

    async def Session(self, stream: Stream[pb.EntryFrame, pb.AgentFrame]) -> None:  # noqa: N802
        """Serve one session."""
        session = Session(
            SessionId(next(self._numbers)),
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
        """Give up a key for its new owner, or say what is known about it."""
        request = await stream.recv_message()
        question = decode_question(request) if request is not None else None
        if question is None:
            await stream.send_message(pb.SurrenderReply())
            return
        reply: Reply[SurrenderAnswer] = Reply()
        self._key_owner.post(AskSurrender(question, reply))
        await stream.send_message(encode_answer(await reply.wait()))

    async def Order(self, stream: Stream[pb.GroupOrder, pb.GroupReply]) -> None:  # noqa: N802
        """Pass an order to the participant and send its answer."""
        message = await stream.recv_message()
        if message is None:
            return
        try:
            order = order_from_wire(message)
        except ValueError as error:
            raise GRPCError(Status.INVALID_ARGUMENT, str(error)) from error
        reply: Reply[GroupAnswer] = Reply()
        group, asker = GroupId(message.group), UpstreamId(message.asker)
        self._group.post(OrderArrived(order, group, asker, reply))
        answer = answer_to_wire(await reply.wait())
        if message.kind == pb.GroupOrder.READ and answer.HasField("report"):
            leave_out_known_map(answer, message.map_version)
        self._count(Direction.RECEIVED, message.ByteSize())
        self._count(Direction.SENT, answer.ByteSize())
        await stream.send_message(answer)

    def _count(self, direction: Direction, size: int) -> None:
        self._meter.control_message(ControlChannel.GROUP, direction, size)
