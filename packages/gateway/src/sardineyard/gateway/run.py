"""The calls to upstreams that one request of a caller needs."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

from sardineyard.core.clock import remaining
from sardineyard.core.errors import ErrorKind, RequestError
from sardineyard.core.mailbox import Mailbox, Reply
from sardineyard.forwarding.events import EventSequence
from sardineyard.forwarding.messages import ForwardOrders
from sardineyard.forwarding.place_messages import (
    RETRY_TIME_LEFT,
    Place,
    PlaceRequest,
    Refusal,
    TicketId,
)
from sardineyard.gateway.attempts import CallOutcome, Next, Progress
from sardineyard.gateway.call import UpstreamCall
from sardineyard.gateway.dispatcher import ask_repeat
from sardineyard.gateway.messages import AskPlace, ReleasePlace
from sardineyard.gateway.refusals import send_refusal
from sardineyard.httpio.fields import drop_connection_fields

if TYPE_CHECKING:
    from sardineyard.forwarding.admission import Admitted
    from sardineyard.forwarding.place_messages import Refused
    from sardineyard.gateway.call import StoredFailure
    from sardineyard.gateway.environment import Environment
    from sardineyard.gateway.messages import MoveStream
    from sardineyard.httpio.acceptor import Answer
    from sardineyard.httpio.request_reader import IncomingRequest

_logger = logging.getLogger(__name__)

_REFUSAL_KINDS = {
    Refusal.OVERLOADED: ErrorKind.OVERLOADED,
    Refusal.NO_UPSTREAM: ErrorKind.NO_UPSTREAM,
    Refusal.OUT_OF_TIME: ErrorKind.DEADLINE_UNREACHABLE,
}
# An idempotent call is given up for another upstream after this multiple of its
# target latency, or this part of the time left where that is longer.
_ATTEMPT_TARGETS = 2.0
_ATTEMPT_TIME_LEFT = 0.35
_LEAST_URGENCY = 9


class RequestRun:
    """Serve one admitted request; the owner is the task of its connection."""

    def __init__(
        self,
        request: IncomingRequest,
        answer: Answer,
        admitted: Admitted,
        environment: Environment,
    ) -> None:
        self._request = request
        self._answer = answer
        self._admitted = admitted
        self._env = environment
        route = admitted.route
        self._progress = Progress(route.repetition, route.max_upstreams)
        last = admitted.facts.last_event_id
        self._events = EventSequence(int(last) if last.isdigit() else None)
        self._tried: set[str] = set()
        self._retry_after_s: float | None = None

    async def serve(self) -> RequestError | None:
        """Answer the request and return the error with which it ended, if any."""
        try:
            async with asyncio.timeout(self._left_s):
                error = await self._call_until_answered()
        except TimeoutError:
            kind = (
                ErrorKind.DEADLINE_EXCEEDED
                if self._progress.may_have_run
                else ErrorKind.DEADLINE_UNREACHABLE
            )
            error = RequestError(kind)
        if error is not None and not self._answer.is_started:
            await self._send_error(error)
        return error

    @property
    def _left_s(self) -> float:
        return remaining(self._env.clock, self._admitted.deadline)

    async def _call_until_answered(self) -> RequestError | None:
        while True:
            ticket = TicketId(next(self._env.tickets))
            notices: Mailbox[MoveStream] = Mailbox()
            try:
                decision = await self._ask_place(ticket, notices)
                if not isinstance(decision, Place):
                    return self._refused(decision)
                call = self._new_call(decision, notices)
                outcome = await call.run(self._attempt_timeout_s())
            finally:
                self._env.dispatcher.post(ReleasePlace(ticket))
            step = self._progress.next_after(outcome)
            if step is Next.REPEAT:
                step = await self._repeat_or_end(outcome)
            if step is Next.TRY_AGAIN:
                self._env.metrics.repeated(outcome.value)
                continue
            if step is Next.PASS_FAILURE and call.failure is not None:
                await self._pass_failure(call.failure)
                return None
            if outcome is CallOutcome.DELIVERED:
                return None
            return self._progress.error_after(outcome)

    async def _repeat_or_end(self, outcome: CallOutcome) -> Next:
        allowed = await ask_repeat(self._env.dispatcher, self._admitted.service)
        _logger.info(
            "a further call was decided on",
            extra={
                "event": "repeat_decided",
                "request_id": self._admitted.facts.request_id,
                "after": outcome.value,
                "sent": self._progress.sent,
                "allowed": allowed,
            },
        )
        return Next.TRY_AGAIN if allowed else self._progress.otherwise(outcome)

    async def _ask_place(
        self, ticket: TicketId, notices: Mailbox[MoveStream]
    ) -> Place | Refused:
        admitted = self._admitted
        reply: Reply[Place | Refused] = Reply()
        request = PlaceRequest(
            ticket,
            admitted.service,
            admitted.priority,
            self._request.arrived,
            admitted.deadline,
            admitted.route.target_latency_s,
            admitted.route.target_pause_s if admitted.route.is_stream else 0.0,
            admitted.waited_before_s,
            frozenset(self._tried),
            self._progress.is_started,
        )
        self._env.dispatcher.post(
            AskPlace(admitted.facts.request_id, request, reply, notices)
        )
        return await reply.wait()

    def _refused(self, decision: Refused) -> RequestError:
        if self._progress.may_have_run:
            return RequestError(ErrorKind.UPSTREAM_LOST, decision.reason.value)
        self._retry_after_s = decision.retry_after_s
        return RequestError(_REFUSAL_KINDS[decision.reason])

    def _new_call(self, place: Place, notices: Mailbox[MoveStream]) -> UpstreamCall:
        self._tried.add(place.upstream.id)
        admitted = self._admitted
        resumes = self._progress.is_started and self._events.last is not None
        orders = ForwardOrders(
            upstream_id=place.upstream.id,
            time_left_s=self._left_s,
            team=admitted.team,
            urgency=min(_LEAST_URGENCY, admitted.priority),
            resume_after=str(self._events.last) if resumes else "",
        )
        return UpstreamCall(
            place.upstream,
            self._request,
            self._answer,
            admitted,
            self._env.codec.forwarded_headers(self._request.headers, orders),
            self._progress,
            self._events,
            self._env,
            notices,
        )

    def _attempt_timeout_s(self) -> float | None:
        """Return the time for the head of the answer; None without another call."""
        progress, route = self._progress, self._admitted.route
        is_last = progress.sent + 1 >= progress.max_upstreams
        if route.is_stream or is_last or not progress.is_repeatable:
            return None
        return max(
            _ATTEMPT_TARGETS * route.target_latency_s, _ATTEMPT_TIME_LEFT * self._left_s
        )

    async def _pass_failure(self, failure: StoredFailure) -> None:
        headers = drop_connection_fields(failure.headers)
        await self._answer.send(failure.status, headers, failure.body)

    async def _send_error(self, error: RequestError) -> None:
        retry_after_s = self._retry_after_s
        if retry_after_s is None and not self._progress.may_have_run:
            retry_after_s = self._left_s * RETRY_TIME_LEFT
        promises = error.answer.retry_after_s is not None
        headers = self._env.codec.refusal_headers(
            self._admitted.facts.request_id, retry_after_s if promises else None
        )
        await send_refusal(self._answer, error, headers)
