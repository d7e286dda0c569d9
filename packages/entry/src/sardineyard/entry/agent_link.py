"""Agent link task: owns the session with one agent and the calls on it."""

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
    ServiceCall,
    ServiceResponse,
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
    from sardineyard.wire.dialer import Dialer

_logger = logging.getLogger(__name__)

PING_INTERVAL_S = 0.5
# A session that receives no frame for this time is closed, even if its connection
# is open.
SILENCE_LIMIT_S = 2.0
# A request waits this long for a lost session to be re-established; if the agent is
# alive, that usually takes less.
_RECONNECT_WAIT_S = 1.0
_INITIAL_BACKOFF_S = 0.1
_MAX_BACKOFF_S = 2.0


class AgentLink:
    """Keeps a session open with one agent and runs the calls of this entry on it."""

    def __init__(
        self,
        upstream: UpstreamId,
        address: Address,
        hello: Hello,
        router: Mailbox[Any],
        clock: Clock,
        random: Random,
        dialer: Dialer,
        meter: ControlMeter,
    ) -> None:
        self.mailbox: Mailbox[Any] = Mailbox()
        self._upstream = upstream
        self._address = address
        self._hello = hello
        self._router = router
        self._clock = clock
        self._random = random
        self._dialer = dialer
        self._meter = meter
        self._calls: dict[RequestId, Mailbox[CallEvent]] = {}
        self._session: Session | None = None
        self._session_task: asyncio.Task[None] | None = None
        self._session_number = SessionNumber(0)
        self._is_open = False
        self._silence_deadline = NO_DEADLINE
        self._next_dial_at = Deadline(0.0)
        self._backoff_s = _INITIAL_BACKOFF_S
        self._ping_sequence = 0
        # Requests that wait until a lost session is re-established.
        self._queued_starts: dict[RequestId, tuple[StartRequest, Deadline]] = {}
        self._has_been_open = False
        self._pause_detector = PauseDetector(clock, PING_INTERVAL_S)
        # singledispatchmethod creates a wrapper at each access. Without these bound
        # references that took 5% of the CPU time spent on a token.
        self._bound_handle = self._handle
        self._bound_receive = self._receive

    async def run(self) -> None:
        """Handle messages until the task is cancelled."""
        ticker = asyncio.get_running_loop().create_task(self._tick())
        self._dial()
        try:
            while True:
                self._bound_handle(await self.mailbox.receive())
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
            self._queue_start(message)
            return
        self._calls[request_id] = message.events
        self._session.outbox.post(message.request)

    @_handle.register(CancelRequest)
    def _cancel_request(self, message: CancelRequest) -> None:
        self._queued_starts.pop(message.request_id, None)
        if self._calls.pop(message.request_id, None) is not None and self._session:
            self._session.outbox.offer(CancelCall(message.request_id))

    @_handle.register(SessionOpened)
    def _session_opened(self, message: SessionOpened) -> None:
        if message.session == self._session_number:
            self._is_open = True
            self._has_been_open = True
            self._backoff_s = _INITIAL_BACKOFF_S
            queued, self._queued_starts = self._queued_starts, {}
            for request, _ in queued.values():
                self._start_request(request)

    @_handle.register(FrameReceived)
    def _frame_received(self, message: FrameReceived) -> None:
        if message.session != self._session_number:
            return
        self._silence_deadline = deadline_after(self._clock, SILENCE_LIMIT_S)
        for encoded in message.frame.events:
            event = from_event(encoded)
            if event is not None:
                self._bound_receive(event)
            if isinstance(event, (Pong, Welcome)):
                self._meter.count_control_message(
                    ControlChannel.SESSION, Direction.RECEIVED, encoded.ByteSize()
                )

    @_handle.register(SessionLost)
    def _session_lost(self, message: SessionLost) -> None:
        if message.session == self._session_number:
            self._end_session(message.reason)

    @_handle.register(PingDue)
    def _ping_due(self, message: PingDue) -> None:
        now = self._clock.now()
        if self._pause_detector.tick():
            # Frames that arrived while this process was paused are still unread in the
            # socket. The silence timeout restarts, so that a new ping can be answered
            # before it expires.
            self._silence_deadline = deadline_after(self._clock, SILENCE_LIMIT_S)
        self._fail_expired_starts(now)
        if self._session is None:
            if now >= self._next_dial_at:
                self._dial()
        elif now >= self._silence_deadline:
            self._end_session(f"no frame for {SILENCE_LIMIT_S} s")
        elif self._is_open:
            self._ping_sequence += 1
            self._session.outbox.offer(Ping(self._ping_sequence))

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
    @_receive.register(ServiceResponse)
    @_receive.register(CallFailed)
    def _call_ended(self, event: GenerationEnd | ServiceResponse | CallFailed) -> None:
        events = self._calls.pop(event.request_id, None)
        if events is not None:
            events.offer(event)

    def _dial(self) -> None:
        self._session_number = SessionNumber(self._session_number + 1)
        self._session = Session(
            self._session_number,
            self._address,
            self.mailbox,
            self._clock,
            self._dialer,
            self._meter,
        )
        self._silence_deadline = deadline_after(self._clock, SILENCE_LIMIT_S)
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
        self._next_dial_at = deadline_after(
            self._clock, self._random.uniform(0, self._backoff_s)
        )
        self._backoff_s = min(self._backoff_s * 2, _MAX_BACKOFF_S)
        error = RequestError(ErrorKind.UPSTREAM_LOST, reason)
        for request_id, events in self._calls.items():
            events.offer(CallFailed(request_id, error))
        self._calls.clear()

    def _queue_start(self, message: StartRequest) -> None:
        """Queue an unsent request until a lost session is re-established."""
        if not self._has_been_open:
            self._fail_start(message)
            return
        deadline = deadline_after(self._clock, _RECONNECT_WAIT_S)
        self._queued_starts[message.request.request_id] = (message, deadline)

    def _fail_expired_starts(self, now: float) -> None:
        for request_id, (message, deadline) in list(self._queued_starts.items()):
            if now >= deadline:
                del self._queued_starts[request_id]
                self._fail_start(message)

    def _fail_start(self, message: StartRequest) -> None:
        error = RequestError(_error_kind_without_session(message), "no session")
        message.events.offer(CallFailed(message.request.request_id, error))

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(PING_INTERVAL_S)
            self.mailbox.offer(PingDue())


def _error_kind_without_session(message: StartRequest) -> ErrorKind:
    request = message.request
    if isinstance(request, ServiceCall) and request.idempotency_key is not None:
        return ErrorKind.OWNER_UNAVAILABLE
    return ErrorKind.NO_UPSTREAM
