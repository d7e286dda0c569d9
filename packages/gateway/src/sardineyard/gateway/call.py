"""One call to an upstream: sends the request and forwards the response."""

from __future__ import annotations

import asyncio
import logging
from dataclasses import dataclass
from typing import TYPE_CHECKING

from sardineyard.core.clock import deadline_after, remaining
from sardineyard.forwarding.config import RetryPolicy
from sardineyard.forwarding.events import EventParser, MalformedStreamError
from sardineyard.gateway.attempts import CallOutcome
from sardineyard.gateway.dispatcher import acquire_retry
from sardineyard.gateway.messages import (
    CallEnded,
    CallResult,
    EventGapMeasured,
    FirstEventMeasured,
)
from sardineyard.httpio.call import CONNECT_TIMEOUT_S, InvalidResponseError
from sardineyard.httpio.fields import drop_connection_fields

if TYPE_CHECKING:
    from sardineyard.core.clock import Deadline
    from sardineyard.core.mailbox import Mailbox
    from sardineyard.forwarding.admission import Admitted
    from sardineyard.forwarding.config import UpstreamEntry
    from sardineyard.forwarding.events import EventDeduplicator
    from sardineyard.forwarding.messages import ResponseMetadata
    from sardineyard.gateway.attempts import Progress
    from sardineyard.gateway.environment import Environment
    from sardineyard.gateway.messages import MoveStream
    from sardineyard.httpio.acceptor import ResponseWriter
    from sardineyard.httpio.call import CallConnection, ResponseHead
    from sardineyard.httpio.fields import HeaderList
    from sardineyard.httpio.request_reader import IncomingRequest

_logger = logging.getLogger(__name__)

# Responses to earlier requests that may precede the expected one on a connection.
_MAX_STALE_RESPONSES = 2
# Time without a new complete event after which a stream is retried at another upstream.
# A group that loses a rank stalls for 1.5 s; callers abandon a stream after 2 s.
_STREAM_IDLE_TIMEOUT_S = 1.7
# Limits for reading a body that is not forwarded. Only the head of such a response
# matters; the body is read so that the connection can be reused.
_MAX_DISCARDED_BYTES = 65_536
_DISCARD_TIMEOUT_S = 0.1
_LOG_EVENTS = {
    CallResult.ANSWERED: "call_answered",
    CallResult.MOVED: "call_moved",
}
_BROKEN_CALL_ERRORS = (OSError, InvalidResponseError, MalformedStreamError)


class StreamMovedError(Exception):
    """The stream is to be continued at another upstream."""


class ResponseDeliveryError(Exception):
    """The response cannot be delivered to the caller."""


@dataclass(frozen=True, slots=True)
class BufferedFailure:
    """Complete error response of an upstream, to be forwarded unchanged."""

    status: int
    headers: HeaderList
    body: bytes


class UpstreamCall:
    """Single call to an upstream that forwards the response to the caller."""

    def __init__(
        self,
        upstream: UpstreamEntry,
        request: IncomingRequest,
        response_writer: ResponseWriter,
        admitted: Admitted,
        headers: HeaderList,
        progress: Progress,
        events: EventDeduplicator,
        environment: Environment,
        move_requests: Mailbox[MoveStream],
    ) -> None:
        self._move_requests = move_requests
        self._upstream = upstream
        self._request = request
        self._response_writer = response_writer
        self._admitted = admitted
        self._headers = headers
        self._progress = progress
        self._events = events
        self._env = environment
        self._clock = environment.clock
        self._result = CallResult.ABANDONED
        self._response_metadata: ResponseMetadata | None = None
        self._started_at = environment.clock.now()
        self._first_event_s: float | None = None
        self._max_event_gap_s = 0.0
        # Complete events that this upstream sent, duplicates included.
        self._call_events = 0
        self._reason = ""
        self.failure: BufferedFailure | None = None

    async def run(self, head_timeout_s: float | None) -> CallOutcome:
        """Make the call and return what is known about the execution of the request."""
        outcome = CallOutcome.UNKNOWN
        connection: CallConnection | None = None
        try:
            connection = await self._connect()
            if connection is None:
                outcome = CallOutcome.NOT_SENT
            else:
                outcome = await self._exchange(connection, head_timeout_s)
        finally:
            if connection is not None:
                self._env.connections.release(self._upstream, connection)
            self._report_result(outcome, self._clock.now() - self._started_at)
        return outcome

    async def _connect(self) -> CallConnection | None:
        # The upstream may have closed an idle connection, which shows only after the
        # request was sent. Requests that must not be retried use a new connection.
        if self._admitted.route.retry_policy is not RetryPolicy.AT_MOST_ONCE:
            idle = self._env.connections.take_idle(self._upstream)
            if idle is not None:
                return idle
        try:
            return await self._env.connections.open(self._upstream, CONNECT_TIMEOUT_S)
        except (OSError, TimeoutError) as error:
            self._progress.unsent_attempts += 1
            self._set_result(CallResult.UNREACHABLE, repr(error))
            return None

    async def _exchange(
        self, connection: CallConnection, head_timeout_s: float | None
    ) -> CallOutcome:
        request = self._request
        try:
            connection.send(request.method, request.target, self._headers, request.body)
        except OSError as error:
            # The connection was closed before anything was written.
            self._progress.unsent_attempts += 1
            self._set_result(CallResult.BROKEN, repr(error))
            return CallOutcome.NOT_SENT
        progress = self._progress
        progress.sent_attempts += 1
        may_have_run_before = progress.may_have_run
        progress.may_have_run = True
        try:
            async with asyncio.timeout(head_timeout_s):
                head, response_metadata = await self._receive_head(connection)
        except TimeoutError:
            connection.close()
            self._set_result(
                CallResult.TIMED_OUT, "no response head within the attempt timeout"
            )
            return CallOutcome.UNKNOWN
        except _BROKEN_CALL_ERRORS as error:
            connection.close()
            self._set_result(CallResult.BROKEN, repr(error))
            return CallOutcome.UNKNOWN
        self._response_metadata = response_metadata
        if response_metadata.is_not_run:
            progress.may_have_run = may_have_run_before
            await self._discard_body(connection)
            is_misdirected = response_metadata.status == 421
            self._set_result(
                CallResult.MISDIRECTED if is_misdirected else CallResult.REJECTED
            )
            return CallOutcome.NOT_RUN
        try:
            return await self._forward_response(connection, head, response_metadata)
        except TimeoutError:
            connection.close()
            self._set_result(
                CallResult.TIMED_OUT, "no complete event within the stream idle timeout"
            )
        except StreamMovedError as moved:
            connection.close()
            self._set_result(CallResult.MOVED, str(moved))
            return CallOutcome.MOVED
        except _BROKEN_CALL_ERRORS as error:
            connection.close()
            self._set_result(CallResult.BROKEN, repr(error))
        return CallOutcome.UNKNOWN

    async def _receive_head(
        self, connection: CallConnection
    ) -> tuple[ResponseHead, ResponseMetadata]:
        expected_id = self._admitted.metadata.request_id
        for _ in range(_MAX_STALE_RESPONSES + 1):
            head = await connection.receive_head()
            response_metadata = self._env.codec.read_response(head.status, head.headers)
            if response_metadata.request_id in (expected_id, ""):
                return head, response_metadata
            await connection.receive_body(_MAX_DISCARDED_BYTES)
            connection.expect_next_response()
        raise InvalidResponseError("received only responses to other requests")

    async def _forward_response(
        self,
        connection: CallConnection,
        head: ResponseHead,
        response_metadata: ResponseMetadata,
    ) -> CallOutcome:
        if not response_metadata.is_success:
            body = await connection.receive_body()
            self._set_result(CallResult.FAILED, f"status {response_metadata.status}")
            if not response_metadata.is_sealed:
                return CallOutcome.UNKNOWN
            self.failure = BufferedFailure(response_metadata.status, head.headers, body)
            return CallOutcome.FAILED
        if (
            not response_metadata.is_sealed
            or response_metadata.has_content_encoding
            or not response_metadata.request_id
        ):
            raise InvalidResponseError(
                "success response without seal or request id, or with content encoding"
            )
        if self._admitted.route.is_stream:
            await self._forward_stream(connection, head)
        else:
            body = await connection.receive_body()
            self._record_first_byte()
            await self._deliver(
                self._response_writer.send(
                    head.status, drop_connection_fields(head.headers), body
                )
            )
        self._set_result(CallResult.ANSWERED)
        return CallOutcome.DELIVERED

    async def _forward_stream(
        self, connection: CallConnection, head: ResponseHead
    ) -> None:
        parser = EventParser()
        last_event_at = None
        # The idle timeout runs from the first bytes of the body and restarts with new
        # complete events. Further bytes of an incomplete event do not extend it.
        idle_deadline: Deadline | None = None
        while True:
            async with asyncio.timeout(self._remaining_s(idle_deadline)):
                chunk = await connection.receive_chunk()
            if chunk is None:
                break
            if idle_deadline is None:
                idle_deadline = deadline_after(self._clock, _STREAM_IDLE_TIMEOUT_S)
            received = parser.feed(chunk)
            self._call_events += len(received)
            events = [event for event in received if self._events.accept(event)]
            if not events:
                continue
            now = self._clock.now()
            if last_event_at is None:
                await self._start_stream(head)
            else:
                self._record_event_gap(now - last_event_at)
            last_event_at = now
            idle_deadline = deadline_after(self._clock, _STREAM_IDLE_TIMEOUT_S)
            self._progress.can_resume = self._events.last is not None
            await self._deliver(
                self._response_writer.write(b"".join(e.raw for e in events))
            )
            await self._move_if_requested(parser)
        if parser.has_partial_event:
            raise InvalidResponseError("the stream ended with an incomplete event")
        await self._start_stream(head)
        await self._deliver(self._response_writer.finish())

    def _remaining_s(self, deadline: Deadline | None) -> float | None:
        return None if deadline is None else remaining(self._clock, deadline)

    async def _move_if_requested(self, parser: EventParser) -> None:
        move_request = self._move_requests.receive_nowait()
        if (
            move_request is None
            or parser.has_partial_event
            or not self._progress.can_move
        ):
            return
        # The retry is acquired before the call is cancelled: if the budget has none
        # left, the stream stays at this upstream.
        if await acquire_retry(self._env.dispatcher, self._admitted.service):
            raise StreamMovedError(move_request.reason)

    async def _start_stream(self, head: ResponseHead) -> None:
        if self._response_writer.is_started:
            return
        self._record_first_byte()
        seconds = self._first_event_s = self._clock.now() - self._started_at
        self._env.dispatcher.offer(FirstEventMeasured(self._admitted.service, seconds))
        self._progress.has_stream_started = True
        await self._deliver(
            self._response_writer.start(
                head.status, drop_connection_fields(head.headers)
            )
        )

    def _record_first_byte(self) -> None:
        waited_s = self._clock.now() - self._request.arrived
        self._env.metrics.record_first_byte(self._admitted.priority, waited_s)

    def _record_event_gap(self, seconds: float) -> None:
        self._env.metrics.record_event_gap(self._admitted.priority, seconds)
        self._max_event_gap_s = max(self._max_event_gap_s, seconds)
        self._env.dispatcher.offer(EventGapMeasured(self._admitted.service, seconds))

    async def _deliver(self, write: object) -> None:
        try:
            await write  # type: ignore[misc]
        except (OSError, TimeoutError) as error:
            raise ResponseDeliveryError(repr(error)) from None

    async def _discard_body(self, connection: CallConnection) -> None:
        try:
            async with asyncio.timeout(_DISCARD_TIMEOUT_S):
                await connection.receive_body(_MAX_DISCARDED_BYTES)
        except (*_BROKEN_CALL_ERRORS, TimeoutError):
            # The head has already stated that the request was not run. Only the
            # connection is lost.
            connection.close()

    def _set_result(self, result: CallResult, reason: str = "") -> None:
        self._result, self._reason = result, reason

    def _report_result(self, outcome: CallOutcome, call_s: float) -> None:
        response_metadata = self._response_metadata
        self._env.dispatcher.offer(
            CallEnded(self._admitted.service, self._upstream.id, self._result)
        )
        event = _LOG_EVENTS.get(self._result, "call_failed")
        _logger.log(
            logging.WARNING if event == "call_failed" else logging.INFO,
            "call to upstream ended",
            extra={
                "event": event,
                "request_id": self._admitted.metadata.request_id,
                "upstream": self._upstream.id,
                "result": self._result.value,
                "outcome": outcome.value,
                "status": response_metadata.status if response_metadata else None,
                "faulty_upstream": response_metadata.faulty_upstream
                if response_metadata
                else "",
                "events": self._events.count,
                "call_events": self._call_events,
                "prompt_parts": self._admitted.metadata.shared_prompt_parts,
                "first_event_ms": _ms(self._first_event_s),
                "longest_pause_ms": _ms(self._max_event_gap_s),
                "reason": self._reason,
                "config_version": self._admitted.config_version,
                "call_ms": _ms(call_s),
            },
        )


def _ms(seconds: float | None) -> float | None:
    return None if seconds is None else round(seconds * 1000, 1)
