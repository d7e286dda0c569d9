"""Task that owns the calls of one entry at one agent."""

from __future__ import annotations

import asyncio
import logging
from functools import singledispatchmethod
from typing import TYPE_CHECKING, Any

from sardineyard.core.clock import NO_DEADLINE, Deadline, deadline_after
from sardineyard.core.control import ControlChannel, Direction
from sardineyard.core.errors import ErrorKind, RequestError
from sardineyard.core.mailbox import Mailbox
from sardineyard.core.requests import (
    CallFailed,
    GenerationEnd,
    ServiceAnswer,
    ServiceCall,
    TokenBatch,
)
from sardineyard.entry.messages import (
    CancelRequest,
    FrameReceived,
    LinkDown,
    LinkUp,
    LoadReceived,
    PingDue,
    SessionLost,
    SessionNumber,
    SessionOpened,
    StartRequest,
)
from sardineyard.entry.session import Session
from sardineyard.membership.pauses import PauseDetector
from sardineyard.wire.agent_frames import from_event
from sardineyard.wire.control import CancelCall, Ping, Pong, Welcome

if TYPE_CHECKING:
    from random import Random

    from sardineyard.core.address import Address
    from sardineyard.core.clock import Clock
    from sardineyard.core.control import ControlMeter
    from sardineyard.core.ids import RequestId, UpstreamId
    from sardineyard.core.requests import CallEvent
    from sardineyard.wire.control import Hello

_logger = logging.getLogger(__name__)

PING_INTERVAL_S = 0.5
# A connection without a frame for this time is given up, although it is still open.
SILENCE_LIMIT_S = 2.0
# A lost session is usually opened again within this time, when its agent lives.
_HOLD_S = 1.0
_FIRST_BACKOFF_S = 0.1
_LONGEST_BACKOFF_S = 2.0


class AgentLink:
    """Keep a session with one agent and run the calls of this entry on it."""

    def __init__(
        self,
        upstream: UpstreamId,
        address: Address,
        hello: Hello,
        router: Mailbox[Any],
        clock: Clock,
        random: Random,
        meter: ControlMeter,
    ) -> None:
        self.mailbox: Mailbox[Any] = Mailbox()
        self._upstream = upstream
        self._address = address
        self._hello = hello
        self._router = router
        self._clock = clock
        self._random = random
        self._meter = meter
        self._calls: dict[RequestId, Mailbox[CallEvent]] = {}
        self._session: Session | None = None
        self._session_task: asyncio.Task[None] | None = None
        self._number = SessionNumber(0)
        self._is_open = False
        self._silent_at = NO_DEADLINE
        self._dial_at = Deadline(0.0)
        self._backoff_s = _FIRST_BACKOFF_S
        self._sequence = 0
        # Requests that wait for a lost session to come back.
        self._held: dict[RequestId, tuple[StartRequest, Deadline]] = {}
        self._was_open = False
        self._pauses = PauseDetector(clock, PING_INTERVAL_S)
        # singledispatchmethod makes a new wrapper at each access, which cost a
        # twentieth of the processor time on the way of a token.
        self._handle_message = self._handle
        self._receive_event = self._receive

    async def run(self) -> None:
        """Handle messages until the task is cancelled."""
        ticker = asyncio.get_running_loop().create_task(self._tick())
        self._dial()
        try:
            while True:
                self._handle_message(await self.mailbox.receive())
        finally:
            ticker.cancel()
            self._end_session("the upstream is no longer used")

    @singledispatchmethod
    def _handle(self, message: object) -> None:
        raise TypeError(f"unexpected message {type(message).__name__}")

    @_handle.register(StartRequest)
    def _start_request(self, message: StartRequest) -> None:
        request_id = message.request.request_id
        if self._session is None or not self._is_open:
            self._hold(message)
            return
        self._calls[request_id] = message.events
        self._session.outbox.post(message.request)

    @_handle.register(CancelRequest)
    def _cancel_request(self, message: CancelRequest) -> None:
        self._held.pop(message.request_id, None)
        if self._calls.pop(message.request_id, None) is not None and self._session:
            self._session.outbox.offer(CancelCall(message.request_id))

    @_handle.register(SessionOpened)
    def _session_opened(self, message: SessionOpened) -> None:
        if message.session == self._number:
            self._is_open = True
            self._was_open = True
            self._backoff_s = _FIRST_BACKOFF_S
            held, self._held = self._held, {}
            for request, _ in held.values():
                self._start_request(request)

    @_handle.register(FrameReceived)
    def _frame_received(self, message: FrameReceived) -> None:
        if message.session != self._number:
            return
        self._silent_at = deadline_after(self._clock, SILENCE_LIMIT_S)
        for encoded in message.frame.events:
            event = from_event(encoded)
            if event is not None:
                self._receive_event(event)
            if isinstance(event, (Pong, Welcome)):
                self._meter.control_message(
                    ControlChannel.SESSION, Direction.RECEIVED, encoded.ByteSize()
                )

    @_handle.register(SessionLost)
    def _session_lost(self, message: SessionLost) -> None:
        if message.session == self._number:
            self._end_session(message.reason)

    @_handle.register(PingDue)
    def _ping_due(self, message: PingDue) -> None:
        now = self._clock.now()
        if self._pauses.tick():
            # Frames that arrived during the pause wait in the socket. The session is
            # checked with a new ping before its silence counts.
            self._silent_at = deadline_after(self._clock, SILENCE_LIMIT_S)
        self._fail_held(now)
        if self._session is None:
            if now >= self._dial_at:
                self._dial()
        elif now >= self._silent_at:
            self._end_session(f"no frame for {SILENCE_LIMIT_S} s")
        elif self._is_open:
            self._sequence += 1
            self._session.outbox.offer(Ping(self._sequence))

    @singledispatchmethod
    def _receive(self, event: object) -> None:
        raise TypeError(f"unexpected event {type(event).__name__}")

    @_receive.register(Welcome)
    def _welcome(self, event: Welcome) -> None:
        self._router.post(LinkUp(self._upstream, event.incarnation))

    @_receive.register(Pong)
    def _pong(self, event: Pong) -> None:
        self._router.post(LoadReceived(event.load))

    @_receive.register(TokenBatch)
    def _tokens(self, event: TokenBatch) -> None:
        events = self._calls.get(event.request_id)
        if events is not None and not events.offer(event):
            self._cancel_request(CancelRequest(event.request_id))

    @_receive.register(GenerationEnd)
    @_receive.register(ServiceAnswer)
    @_receive.register(CallFailed)
    def _call_ended(self, event: GenerationEnd | ServiceAnswer | CallFailed) -> None:
        events = self._calls.pop(event.request_id, None)
        if events is not None:
            events.offer(event)

    def _dial(self) -> None:
        self._number = SessionNumber(self._number + 1)
        self._session = Session(
            self._number, self._address, self.mailbox, self._clock, self._meter
        )
        self._silent_at = deadline_after(self._clock, SILENCE_LIMIT_S)
        self._session_task = asyncio.get_running_loop().create_task(
            self._session.run(self._hello)
        )

    def _end_session(self, reason: str) -> None:
        if self._is_open:
            _logger.warning(
                "session lost",
                extra={
                    "event": "session_lost",
                    "upstream": self._upstream,
                    "reason": reason,
                    "open_calls": len(self._calls),
                },
            )
            self._router.post(LinkDown(self._upstream))
        if self._session_task is not None:
            self._session_task.cancel()
        self._session = None
        self._is_open = False
        self._dial_at = deadline_after(
            self._clock, self._random.uniform(0, self._backoff_s)
        )
        self._backoff_s = min(self._backoff_s * 2, _LONGEST_BACKOFF_S)
        error = RequestError(ErrorKind.UPSTREAM_LOST, reason)
        for request_id, events in self._calls.items():
            events.offer(CallFailed(request_id, error))
        self._calls.clear()

    def _hold(self, message: StartRequest) -> None:
        """Keep a request while the session may come back; nothing is sent yet."""
        if not self._was_open:
            self._refuse(message)
            return
        until = deadline_after(self._clock, _HOLD_S)
        self._held[message.request.request_id] = (message, until)

    def _fail_held(self, now: float) -> None:
        for request_id, (message, until) in list(self._held.items()):
            if now >= until:
                del self._held[request_id]
                self._refuse(message)

    def _refuse(self, message: StartRequest) -> None:
        error = RequestError(_kind_without_session(message), "no session")
        message.events.offer(CallFailed(message.request.request_id, error))

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(PING_INTERVAL_S)
            self.mailbox.offer(PingDue())


def _kind_without_session(message: StartRequest) -> ErrorKind:
    request = message.request
    if isinstance(request, ServiceCall) and request.idempotency_key is not None:
        return ErrorKind.OWNER_UNAVAILABLE
    return ErrorKind.NO_UPSTREAM
