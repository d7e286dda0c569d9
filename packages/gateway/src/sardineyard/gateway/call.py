"""One call to an upstream: sends the request and forwards the response."""

from __future__ import annotations

import asyncio
import logging
from dataclasses import dataclass
from typing import TYPE_CHECKING

from sardineyard.core.clock import deadline_after
from sardineyard.core.mailbox import Reply
from sardineyard.forwarding.config import RetryPolicy
from sardineyard.forwarding.events import MalformedStreamError
from sardineyard.forwarding.traits import RequestTraits
from sardineyard.gateway.attempts import CallOutcome
from sardineyard.gateway.context import deliver
from sardineyard.gateway.messages import (
    CallEnded,
    CallResult,
    CallUnfinished,
    RequestCompleted,
    ResponseHeadReceived,
    UpstreamCrashed,
)
from sardineyard.gateway.stream import (
    StreamForwarder,
    StreamMovedError,
    StreamStalledError,
)
from sardineyard.httpio.call import CONNECT_TIMEOUT_S, InvalidResponseError
from sardineyard.httpio.fields import drop_connection_fields, find

if TYPE_CHECKING:
    from sardineyard.forwarding.config import UpstreamEntry
    from sardineyard.forwarding.messages import ResponseMetadata
    from sardineyard.gateway.context import RequestContext
    from sardineyard.gateway.slot_holder import SlotHolder
    from sardineyard.httpio.call import CallConnection, ResponseHead
    from sardineyard.httpio.fields import HeaderList

_logger = logging.getLogger(__name__)

# Responses to earlier requests that may precede the expected one on a connection.
_MAX_STALE_RESPONSES = 2
# Limits for reading a body that is not forwarded. Only the head of such a response
# matters; the body is read so that the connection can be reused.
_MAX_DISCARDED_BYTES = 65_536
_DISCARD_TIMEOUT_S = 0.1
# Size of a body that the socket buffer of an upstream holds before it is read.
_MAX_BODY_ON_KEPT_CONNECTION = 16_384
_STREAM_MEDIA_TYPE = b"text/event-stream"
_LOG_EVENTS = {
    CallResult.ANSWERED: "call_answered",
    CallResult.MOVED: "call_moved",
    CallResult.WITHHELD: "call_withheld",
}
# Results of calls that a crash of the upstream may have ended.
_UNFINISHED_RESULTS = frozenset(
    {CallResult.BROKEN, CallResult.TIMED_OUT, CallResult.ABANDONED}
)
_BROKEN_CALL_ERRORS = (OSError, InvalidResponseError, MalformedStreamError)


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
        context: RequestContext,
        headers: HeaderList,
        slots: SlotHolder,
    ) -> None:
        self._upstream = upstream
        self._context = context
        self._headers = headers
        self._slots = slots
        self._admitted = context.admitted
        self._progress = context.progress
        self._env = context.environment
        self._clock = context.environment.clock
        self._result = CallResult.ABANDONED
        self._response_metadata: ResponseMetadata | None = None
        self._started_at = context.environment.clock.now()
        self._stream: StreamForwarder | None = None
        self._reason = ""
        self._is_sent = False
        self._is_crash_reported = False
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
            self._report_unfinished()
        return outcome

    async def _connect(self) -> CallConnection | None:
        # The upstream may have closed an idle connection, which shows only after the
        # request was sent. Requests that must not be retried use a new connection, and
        # so do retries: a second copy of the response to the last attempt, which has
        # the same id, may still arrive on the connection of that attempt. A body that
        # waits for an upstream to read it would be taken for one that is not
        # acknowledged.
        may_reuse = (
            self._admitted.route.retry_policy is not RetryPolicy.AT_MOST_ONCE
            and self._progress.sent_attempts == 0
            and len(self._context.request.body) <= _MAX_BODY_ON_KEPT_CONNECTION
        )
        if may_reuse:
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
        request = self._context.request
        if not self._env.accepts_requests(self._upstream):
            # The announcement arrived after the grant, while the connection was opened.
            self._progress.unsent_attempts += 1
            self._set_result(CallResult.WITHHELD, "the upstream takes no new requests")
            return CallOutcome.NOT_SENT
        try:
            connection.send(request.method, request.target, self._headers, request.body)
        except OSError as error:
            # The connection was closed before anything was written.
            self._progress.unsent_attempts += 1
            self._set_result(CallResult.BROKEN, repr(error))
            return CallOutcome.NOT_SENT
        progress = self._progress
        progress.sent_attempts += 1
        self._is_sent = True
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
            return await self._outcome_after_loss()
        self._response_metadata = response_metadata
        self._report_head(response_metadata)
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
        except StreamStalledError as stalled:
            connection.close()
            self._set_result(CallResult.TIMED_OUT, str(stalled))
            return CallOutcome.MOVED
        except StreamMovedError as moved:
            connection.close()
            self._set_result(CallResult.MOVED, str(moved))
            return CallOutcome.MOVED
        except _BROKEN_CALL_ERRORS as error:
            connection.close()
            self._set_result(CallResult.BROKEN, repr(error))
            return await self._outcome_after_loss()

    async def _outcome_after_loss(self) -> CallOutcome:
        """Report a crash that the request may have caused; return the outcome."""
        if not await self._env.connections.has_ended(self._upstream):
            return CallOutcome.UNKNOWN
        is_stream = self._admitted.route.is_stream
        is_starting = (
            self._stream is not None
            and self._stream.event_count == 0
            and not self._progress.has_stream_started
        )
        traits = self._context.traits
        if is_stream and not is_starting:
            # Other streams that wait or run there are lost with the cause, so the parts
            # of the prompt are not suspected.
            traits = RequestTraits(traits.request)
        crashes = await self._report_crash(traits)
        if not is_stream:
            # Requests that run beside the cause cannot be told from it.
            return CallOutcome.UNKNOWN
        # A stream that was not beginning to run is retried at its first crash, because
        # it may only have been beside the cause.
        is_cause = is_starting or crashes > 1
        return CallOutcome.CRASHED if is_cause else CallOutcome.UNKNOWN

    async def _report_crash(self, traits: RequestTraits) -> int:
        """Report a crash and return how many are known of the request."""
        self._is_crash_reported = True
        reply: Reply[int] = Reply()
        crash = UpstreamCrashed(
            self._admitted.metadata.request_id,
            self._upstream.incarnation,
            traits,
            self._started_at,
            reply,
        )
        return await reply.wait() if self._env.quarantine.offer(crash) else 0

    def _report_unfinished(self) -> None:
        """Report a call that may have ended with its upstream, which shows later."""
        is_unfinished = self._is_sent and self._result in _UNFINISHED_RESULTS
        if is_unfinished and not self._is_crash_reported:
            self._env.quarantine.offer(
                CallUnfinished(
                    self._admitted.metadata.request_id,
                    self._upstream.incarnation,
                    RequestTraits(self._context.traits.request),
                    self._started_at,
                )
            )

    async def _receive_head(
        self, connection: CallConnection
    ) -> tuple[ResponseHead, ResponseMetadata]:
        expected_id = self._admitted.metadata.request_id
        for _ in range(_MAX_STALE_RESPONSES + 1):
            head = await connection.receive_head()
            response_metadata = self._env.codec.read_response(head.status, head.headers)
            if response_metadata.request_id == expected_id:
                return head, response_metadata
            if not response_metadata.request_id:
                if connection.is_first_exchange:
                    return head, response_metadata
                raise InvalidResponseError(
                    "response without an id on a used connection"
                )
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
        traits = self._context.traits
        if self._admitted.route.is_stream:
            media_type = find(head.headers, b"content-type").partition(b";")[0]
            if media_type.strip().lower() not in (b"", _STREAM_MEDIA_TYPE):
                raise InvalidResponseError("response that is no event stream")
            self._stream = StreamForwarder(
                self._context, connection, self._slots, self._started_at
            )
            await self._stream.forward(head)
            self._env.quarantine.offer(RequestCompleted(traits))
        else:
            body = await connection.receive_body()
            self._env.quarantine.offer(RequestCompleted(traits))
            self._context.record_first_byte()
            await deliver(
                self._context.response_writer.send(
                    head.status, drop_connection_fields(head.headers), body
                )
            )
        self._set_result(CallResult.ANSWERED)
        return CallOutcome.DELIVERED

    def _report_head(self, response_metadata: ResponseMetadata) -> None:
        pause_s = response_metadata.pause_s
        self._env.dispatcher.post(
            ResponseHeadReceived(
                self._admitted.metadata.request_id,
                self._upstream.incarnation,
                self._started_at,
                response_metadata.is_not_run,
                response_metadata.request_limit_per_s,
                response_metadata.is_leaving,
                None if pause_s is None else deadline_after(self._clock, pause_s),
            )
        )

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
        stream = self._stream
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
                "request_limit_per_s": response_metadata.request_limit_per_s
                if response_metadata
                else None,
                "is_leaving": response_metadata.is_leaving
                if response_metadata
                else None,
                "pause_s": response_metadata.pause_s if response_metadata else None,
                "events": self._context.events.count,
                "call_events": stream.event_count if stream else 0,
                "prompt_parts": self._admitted.metadata.shared_prompt_parts,
                "first_event_ms": _ms(stream.first_event_s if stream else None),
                "longest_pause_ms": _ms(stream.max_event_gap_s if stream else 0.0),
                "reason": self._reason,
                "config_version": self._admitted.config_version,
                "call_ms": _ms(call_s),
            },
        )


def _ms(seconds: float | None) -> float | None:
    return None if seconds is None else round(seconds * 1000, 1)
