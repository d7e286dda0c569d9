"""Client side of one session with an agent: a bidirectional gRPC stream."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError

from sardineyard.core.control import ControlChannel, Direction
from sardineyard.core.mailbox import Mailbox
from sardineyard.entry.messages import (
    FrameReceived,
    SessionLost,
    SessionOpened,
)
from sardineyard.wire.control import Ping
from sardineyard.wire.entry_frames import to_frame
from sardineyard.wire.session_grpc import AgentStub

if TYPE_CHECKING:
    from grpclib.client import Stream

    from sardineyard.core.address import Address
    from sardineyard.core.clock import Clock
    from sardineyard.core.control import ControlMeter
    from sardineyard.entry.messages import (
        SessionNumber,
    )
    from sardineyard.wire import session_pb2 as pb
    from sardineyard.wire.control import Hello
    from sardineyard.wire.dialer import Dialer
    from sardineyard.wire.entry_frames import EntryMessage

_OPEN_TIMEOUT_S = 1.0
_SEND_TIMEOUT_S = 2.0

_SESSION_ERRORS = (
    OSError,
    TimeoutError,
    GRPCError,
    ProtocolError,
    StreamTerminatedError,
)


class Session:
    """One connection to an agent; relays messages between its stream and the link."""

    def __init__(
        self,
        session_number: SessionNumber,
        address: Address,
        link: Mailbox[Any],
        clock: Clock,
        dialer: Dialer,
        meter: ControlMeter,
    ) -> None:
        self._dialer = dialer
        self.outbox: Mailbox[EntryMessage] = Mailbox()
        self._session_number = session_number
        self._address = address
        self._link = link
        self._clock = clock
        self._meter = meter

    async def run(self, hello: Hello) -> None:
        """Open the session, relay messages, and notify the link when it ends."""
        channel = self._dialer.open(self._address)
        reason = "closed by the agent"
        try:
            async with AgentStub(channel).Session.open() as stream:
                async with asyncio.timeout(_OPEN_TIMEOUT_S):
                    await stream.send_message(self._control_frame(hello))
                await self._relay(stream)
        except _SESSION_ERRORS as error:
            reason = f"{type(error).__name__}: {error}"
        except BaseExceptionGroup as group:
            reason = str(group.exceptions[0])
            if group.split(_SESSION_ERRORS)[1] is not None:
                raise
        finally:
            channel.close()
            self._link.post(SessionLost(self._session_number, reason))

    async def _relay(self, stream: Stream[pb.EntryFrame, pb.AgentFrame]) -> None:
        async with asyncio.TaskGroup() as group:
            send_task = group.create_task(self._send(stream))
            is_first_frame = True
            async for frame in stream:
                if is_first_frame:
                    self._link.post(SessionOpened(self._session_number))
                    is_first_frame = False
                self._link.post(FrameReceived(self._session_number, frame))
            send_task.cancel()

    async def _send(self, stream: Stream[pb.EntryFrame, pb.AgentFrame]) -> None:
        while True:
            message = await self.outbox.receive()
            frame = (
                self._control_frame(message)
                if isinstance(message, Ping)
                else to_frame(message, self._clock)
            )
            async with asyncio.timeout(_SEND_TIMEOUT_S):
                await stream.send_message(frame)

    def _control_frame(self, message: EntryMessage) -> pb.EntryFrame:
        frame = to_frame(message, self._clock)
        self._meter.count_control_message(
            ControlChannel.SESSION, Direction.SENT, frame.ByteSize()
        )
        return frame
