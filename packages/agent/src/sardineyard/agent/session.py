"""Agent side of a session: the gRPC stream on which an entry submits its calls."""

from __future__ import annotations

import asyncio
import logging
from dataclasses import dataclass
from functools import singledispatchmethod
from typing import TYPE_CHECKING, Any

from sardineyard.agent.key_messages import KeyedCall
from sardineyard.agent.messages import (
    CancelRequest,
    ReadLoad,
    SessionClosed,
    Submit,
)
from sardineyard.core.control import ControlChannel, Direction
from sardineyard.core.mailbox import Mailbox, Reply
from sardineyard.core.requests import Generation, ServiceCall
from sardineyard.wire import session_pb2 as pb
from sardineyard.wire.agent_frames import to_event
from sardineyard.wire.control import CancelCall, Hello, Ping, Pong, Welcome
from sardineyard.wire.entry_frames import from_frame

if TYPE_CHECKING:
    from grpclib.server import Stream

    from sardineyard.agent.messages import (
        SessionId,
    )
    from sardineyard.core.clock import Clock
    from sardineyard.core.control import ControlMeter
    from sardineyard.core.ids import Incarnation, UpstreamId

_logger = logging.getLogger(__name__)

_OUTBOX_CAPACITY = 50_000
_MAX_EVENTS_PER_FRAME = 512
# Events that are queued within this time after a frame share the next frame, which
# limits a busy session to 250 frames per second.
_FLUSH_INTERVAL_S = 0.004
# An entry pings every 0.5 s and abandons an unresponsive session after 2 s. The agent
# waits longer, because a paused entry that resumes can still use its session.
_IDLE_TIMEOUT_S = 6.0
# Events that count as control traffic in the metrics.
_CONTROL_EVENTS = frozenset({"welcome", "pong"})


@dataclass(frozen=True, slots=True)
class _Flush:
    """Request a reply once all events queued earlier have been sent."""

    reply: Reply[None]


class Session:
    """Receive the frames of one entry and send back the events of its calls."""

    def __init__(
        self,
        session_id: SessionId,
        stream: Stream[pb.EntryFrame, pb.AgentFrame],
        scheduler: Mailbox[Any],
        key_owner: Mailbox[Any],
        clock: Clock,
        meter: ControlMeter,
    ) -> None:
        self._id = session_id
        self._stream = stream
        self._scheduler = scheduler
        self._key_owner = key_owner
        self._clock = clock
        self._meter = meter
        self._outbox: Mailbox[Any] = Mailbox(_OUTBOX_CAPACITY)
        self._pending_flushes: list[_Flush] = []
        self._is_closed = False

    async def run(self, upstream: UpstreamId, incarnation: Incarnation) -> None:
        """Serve the session until the entry closes it or the idle timeout expires."""
        self._outbox.post(Welcome(upstream, incarnation))
        sender = asyncio.get_running_loop().create_task(self._send())
        try:
            await self._receive()
        except TimeoutError:
            _logger.warning(
                "session closed: no frame from the entry within the idle timeout",
                extra={"event": "session_silent", "silence_s": _IDLE_TIMEOUT_S},
            )
        finally:
            sender.cancel()
            self._close()
            self._scheduler.post(SessionClosed(self._id))

    async def _receive(self) -> None:
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(_IDLE_TIMEOUT_S) as idle_timeout:
            async for frame in self._stream:
                idle_timeout.reschedule(loop.time() + _IDLE_TIMEOUT_S)
                message = from_frame(frame, self._clock)
                if isinstance(message, (Hello, Ping)):
                    self._count_control_bytes(Direction.RECEIVED, frame.ByteSize())
                if message is not None:
                    await self._handle(message)

    async def flush(self) -> None:
        """Wait until the events queued so far are sent or the session has ended."""
        reply: Reply[None] = Reply()
        if not self._is_closed and self._outbox.offer(_Flush(reply)):
            await reply.wait()

    @singledispatchmethod
    async def _handle(self, message: object) -> None:
        raise TypeError(f"unexpected message {type(message).__name__}")

    @_handle.register(Hello)
    async def _hello(self, message: Hello) -> None:
        _logger.info(
            "session opened", extra={"event": "session_opened", "peer": message.process}
        )

    @_handle.register(Generation)
    async def _generation(self, message: Generation) -> None:
        self._scheduler.post(Submit(message, self._outbox, self._id))

    @_handle.register(ServiceCall)
    async def _service_call(self, message: ServiceCall) -> None:
        if message.idempotency_key is None:
            self._scheduler.post(Submit(message, self._outbox, self._id))
        else:
            self._key_owner.post(KeyedCall(message, self._outbox, self._id))

    @_handle.register(CancelCall)
    async def _cancel(self, message: CancelCall) -> None:
        self._scheduler.post(CancelRequest(message.request_id))

    @_handle.register(Ping)
    async def _ping(self, message: Ping) -> None:
        reply: Reply[Any] = Reply()
        self._scheduler.post(ReadLoad(reply))
        self._outbox.offer(Pong(message.sequence, await reply.wait()))

    async def _send(self) -> None:
        loop = asyncio.get_running_loop()
        next_flush = 0.0
        while True:
            messages = [await self._outbox.receive()]
            if loop.time() < next_flush:
                await asyncio.sleep(next_flush - loop.time())
            while len(messages) < _MAX_EVENTS_PER_FRAME:
                message = self._outbox.receive_nowait()
                if message is None:
                    break
                messages.append(message)
            next_flush = loop.time() + _FLUSH_INTERVAL_S
            await self._send_frame(messages)

    async def _send_frame(self, messages: list[Any]) -> None:
        events = []
        for message in messages:
            if isinstance(message, _Flush):
                self._pending_flushes.append(message)
            else:
                events.append(to_event(message))
        for event in events:
            if event.WhichOneof("event") in _CONTROL_EVENTS:
                self._count_control_bytes(Direction.SENT, event.ByteSize())
        if events:
            await self._stream.send_message(pb.AgentFrame(events=events))
        self._complete_flushes()

    def _count_control_bytes(self, direction: Direction, size: int) -> None:
        self._meter.count_control_message(ControlChannel.SESSION, direction, size)

    def _complete_flushes(self) -> None:
        for flush in self._pending_flushes:
            flush.reply.send(None)
        self._pending_flushes.clear()

    def _close(self) -> None:
        self._is_closed = True
        while (message := self._outbox.receive_nowait()) is not None:
            if isinstance(message, _Flush):
                self._pending_flushes.append(message)
        self._complete_flushes()
