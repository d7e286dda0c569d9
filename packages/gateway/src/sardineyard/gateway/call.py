"""One call to an upstream: connection, answer and events."""

from __future__ import annotations

import asyncio
import logging
from dataclasses import dataclass
from typing import TYPE_CHECKING

from sardineyard.core.clock import deadline_after, remaining
from sardineyard.forwarding.config import Repetition
from sardineyard.forwarding.events import EventParser, MalformedStreamError
from sardineyard.gateway.attempts import CallOutcome
from sardineyard.gateway.dispatcher import ask_repeat
from sardineyard.gateway.messages import (
    CallEnded,
    CallResult,
    FirstEventSeen,
    PauseSeen,
)
from sardineyard.httpio.call import CONNECT_TIMEOUT_S, BrokenAnswerError
from sardineyard.httpio.fields import drop_connection_fields

if TYPE_CHECKING:
    from sardineyard.core.clock import Deadline
    from sardineyard.core.mailbox import Mailbox
    from sardineyard.forwarding.admission import Admitted
    from sardineyard.forwarding.config import UpstreamEntry
    from sardineyard.forwarding.events import EventSequence
    from sardineyard.forwarding.messages import AnswerFacts
    from sardineyard.gateway.attempts import Progress
    from sardineyard.gateway.environment import Environment
    from sardineyard.gateway.messages import MoveStream
    from sardineyard.httpio.acceptor import Answer
    from sardineyard.httpio.call import AnswerHead, CallConnection
    from sardineyard.httpio.fields import HeaderList
    from sardineyard.httpio.request_reader import IncomingRequest

_logger = logging.getLogger(__name__)

# Answers of earlier requests that may lie in front of the expected one.
_MAX_STRAY_ANSWERS = 2
# A stream that is silent for longer is given up for another upstream. A group whose
# rank is lost stalls for 1.5 s; callers give a stream up after 2 s.
_SILENT_STREAM_S = 1.7
# Bytes and time for the body of an answer that is not passed on; its head says enough.
_MAX_SKIPPED_BYTES = 65_536
_SKIP_TIMEOUT_S = 0.1
_EVENTS = {
    CallResult.ANSWERED: "call_answered",
    CallResult.MOVED: "call_moved",
}
_BROKEN = (OSError, BrokenAnswerError, MalformedStreamError)


class StreamMovedError(Exception):
    """Report that the stream is to go on at another upstream."""


class CallerGoneError(Exception):
    """Report that the answer cannot be delivered to the caller."""


@dataclass(frozen=True, slots=True)
class StoredFailure:
    """Hold a whole failure of an upstream, to be passed on unchanged."""

    status: int
    headers: HeaderList
    body: bytes


class UpstreamCall:
    """Send a request to one upstream and pass its answer on."""

    def __init__(
        self,
        upstream: UpstreamEntry,
        request: IncomingRequest,
        answer: Answer,
        admitted: Admitted,
        headers: HeaderList,
        progress: Progress,
        events: EventSequence,
        environment: Environment,
        notices: Mailbox[MoveStream],
    ) -> None:
        self._notices = notices
        self._upstream = upstream
        self._request = request
        self._answer = answer
        self._admitted = admitted
        self._headers = headers
        self._progress = progress
        self._events = events
        self._env = environment
        self._clock = environment.clock
        self._result = CallResult.ABANDONED
        self._facts: AnswerFacts | None = None
        self._began = environment.clock.now()
        self._first_event_s: float | None = None
        self._longest_pause_s = 0.0
        self._reason = ""
        self.failure: StoredFailure | None = None

    async def run(self, head_timeout_s: float | None) -> CallOutcome:
        """Make the call and return what is known about the request afterwards."""
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
                self._env.connections.give_back(self._upstream, connection)
            self._report(outcome, self._clock.now() - self._began)
        return outcome

    async def _connect(self) -> CallConnection | None:
        # An idle connection may have been closed by the upstream, which shows only
        # after sending; calls that must not be repeated take a new one.
        if self._admitted.route.repetition is not Repetition.AT_MOST_ONCE:
            idle = self._env.connections.take_idle(self._upstream)
            if idle is not None:
                return idle
        try:
            return await self._env.connections.open(self._upstream, CONNECT_TIMEOUT_S)
        except (OSError, TimeoutError) as error:
            self._progress.unreachable += 1
            self._ended(CallResult.UNREACHABLE, repr(error))
            return None

    async def _exchange(
        self, connection: CallConnection, head_timeout_s: float | None
    ) -> CallOutcome:
        request = self._request
        try:
            connection.send(request.method, request.target, self._headers, request.body)
        except OSError as error:
            # The connection was closed before anything was written.
            self._progress.unreachable += 1
            self._ended(CallResult.BROKEN, repr(error))
            return CallOutcome.NOT_SENT
        progress = self._progress
        progress.sent += 1
        could_have_run = progress.may_have_run
        progress.may_have_run = True
        try:
            async with asyncio.timeout(head_timeout_s):
                head, facts = await self._receive_head(connection)
        except TimeoutError:
            connection.close()
            self._ended(CallResult.TIMED_OUT, "no answer in time")
            return CallOutcome.UNKNOWN
        except _BROKEN as error:
            connection.close()
            self._ended(CallResult.BROKEN, repr(error))
            return CallOutcome.UNKNOWN
        self._facts = facts
        if facts.is_not_run:
            progress.may_have_run = could_have_run
            await self._skip_body(connection)
            is_other = facts.status == 421
            self._ended(CallResult.MISDIRECTED if is_other else CallResult.REJECTED)
            return CallOutcome.NOT_RUN
        try:
            return await self._pass_on(connection, head, facts)
        except TimeoutError:
            connection.close()
            self._ended(CallResult.TIMED_OUT, "the stream is silent")
        except StreamMovedError as moved:
            connection.close()
            self._ended(CallResult.MOVED, str(moved))
            return CallOutcome.MOVED
        except _BROKEN as error:
            connection.close()
            self._ended(CallResult.BROKEN, repr(error))
        return CallOutcome.UNKNOWN

    async def _receive_head(
        self, connection: CallConnection
    ) -> tuple[AnswerHead, AnswerFacts]:
        expected = self._admitted.facts.request_id
        for _ in range(_MAX_STRAY_ANSWERS + 1):
            head = await connection.receive_head()
            facts = self._env.codec.read_answer(head.status, head.headers)
            if facts.request_id in (expected, ""):
                return head, facts
            await connection.receive_body(_MAX_SKIPPED_BYTES)
            connection.expect_another_answer()
        raise BrokenAnswerError("only answers of other requests")

    async def _pass_on(
        self, connection: CallConnection, head: AnswerHead, facts: AnswerFacts
    ) -> CallOutcome:
        if not facts.is_success:
            body = await connection.receive_body()
            self._ended(CallResult.FAILED, f"status {facts.status}")
            if not facts.is_sealed:
                return CallOutcome.UNKNOWN
            self.failure = StoredFailure(facts.status, head.headers, body)
            return CallOutcome.FAILED
        if not facts.is_sealed or facts.is_encoded or not facts.request_id:
            raise BrokenAnswerError("a success that is not the upstream's own")
        if self._admitted.route.is_stream:
            await self._pass_stream(connection, head)
        else:
            body = await connection.receive_body()
            self._first_byte()
            await self._to_caller(
                self._answer.send(
                    head.status, drop_connection_fields(head.headers), body
                )
            )
        self._ended(CallResult.ANSWERED)
        return CallOutcome.DELIVERED

    async def _pass_stream(self, connection: CallConnection, head: AnswerHead) -> None:
        parser = EventParser()
        last_at = None
        # Whole events, and the first bytes of one, are progress; more bytes are not.
        silent_at: Deadline | None = None
        while True:
            async with asyncio.timeout(self._left_s(silent_at)):
                piece = await connection.receive_piece()
            if piece is None:
                break
            if silent_at is None:
                silent_at = deadline_after(self._clock, _SILENT_STREAM_S)
            events = [e for e in parser.feed(piece) if self._events.accept(e)]
            if not events:
                continue
            now = self._clock.now()
            if last_at is None:
                await self._start_stream(head)
            else:
                self._pause(now - last_at)
            last_at = now
            silent_at = deadline_after(self._clock, _SILENT_STREAM_S)
            self._progress.can_resume = self._events.last is not None
            await self._to_caller(self._answer.write(b"".join(e.raw for e in events)))
            await self._move_if_asked(parser)
        if parser.has_partial_event:
            raise BrokenAnswerError("the stream ended inside an event")
        await self._start_stream(head)
        await self._to_caller(self._answer.finish())

    def _left_s(self, until: Deadline | None) -> float | None:
        return None if until is None else remaining(self._clock, until)

    async def _move_if_asked(self, parser: EventParser) -> None:
        notice = self._notices.take()
        if notice is None or parser.has_partial_event or not self._progress.can_move:
            return
        # Asked before the call is given up: without a repeat the stream stays.
        if await ask_repeat(self._env.dispatcher, self._admitted.service):
            raise StreamMovedError(notice.reason)

    async def _start_stream(self, head: AnswerHead) -> None:
        if self._answer.is_started:
            return
        self._first_byte()
        seconds = self._first_event_s = self._clock.now() - self._began
        self._env.dispatcher.offer(FirstEventSeen(self._admitted.service, seconds))
        self._progress.is_started = True
        await self._to_caller(
            self._answer.start(head.status, drop_connection_fields(head.headers))
        )

    def _first_byte(self) -> None:
        waited_s = self._clock.now() - self._request.arrived
        self._env.metrics.first_byte(self._admitted.priority, waited_s)

    def _pause(self, seconds: float) -> None:
        self._env.metrics.pause(self._admitted.priority, seconds)
        self._longest_pause_s = max(self._longest_pause_s, seconds)
        self._env.dispatcher.offer(PauseSeen(self._admitted.service, seconds))

    async def _to_caller(self, writing: object) -> None:
        try:
            await writing  # type: ignore[misc]
        except (OSError, TimeoutError) as error:
            raise CallerGoneError(repr(error)) from None

    async def _skip_body(self, connection: CallConnection) -> None:
        try:
            async with asyncio.timeout(_SKIP_TIMEOUT_S):
                await connection.receive_body(_MAX_SKIPPED_BYTES)
        except (*_BROKEN, TimeoutError):
            # The head alone carries the promise; the connection is of no more use.
            connection.close()

    def _ended(self, result: CallResult, reason: str = "") -> None:
        self._result, self._reason = result, reason

    def _report(self, outcome: CallOutcome, seconds: float) -> None:
        facts = self._facts
        self._env.dispatcher.offer(
            CallEnded(self._admitted.service, self._upstream.id, self._result)
        )
        event = _EVENTS.get(self._result, "call_failed")
        _logger.log(
            logging.WARNING if event == "call_failed" else logging.INFO,
            "a call to an upstream ended",
            extra={
                "event": event,
                "request_id": self._admitted.facts.request_id,
                "upstream": self._upstream.id,
                "result": self._result.value,
                "outcome": outcome.value,
                "status": facts.status if facts else None,
                "faulty_upstream": facts.faulty_upstream if facts else "",
                "events": self._events.count,
                "first_event_ms": _ms(self._first_event_s),
                "longest_pause_ms": _ms(self._longest_pause_s),
                "reason": self._reason,
                "config_version": self._admitted.config_version,
                "call_ms": _ms(seconds),
            },
        )


def _ms(seconds: float | None) -> float | None:
    return None if seconds is None else round(seconds * 1000, 1)
