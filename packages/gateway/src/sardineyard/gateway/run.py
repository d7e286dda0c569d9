"""Execution of one admitted request: slots, calls to upstreams and retries."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

from sardineyard.core.clock import remaining
from sardineyard.core.errors import ErrorKind, RequestError
from sardineyard.core.mailbox import Reply
from sardineyard.forwarding.config import RetryPolicy
from sardineyard.forwarding.crashes import QUARANTINE_S
from sardineyard.forwarding.events import EventDeduplicator
from sardineyard.forwarding.messages import ForwardedMetadata
from sardineyard.forwarding.slot_messages import (
    RETRY_AFTER_FRACTION,
    QuarantineRefusal,
    RefusalReason,
    SlotGrant,
)
from sardineyard.forwarding.traits import traits_of
from sardineyard.gateway.attempts import CallOutcome, NextAction, Progress
from sardineyard.gateway.call import UpstreamCall
from sardineyard.gateway.context import RequestContext
from sardineyard.gateway.dispatcher import acquire_retry
from sardineyard.gateway.messages import FindResumption
from sardineyard.gateway.refusals import send_error_response
from sardineyard.gateway.slot_holder import SlotHolder
from sardineyard.httpio.fields import drop_connection_fields

if TYPE_CHECKING:
    from sardineyard.core.clock import Deadline
    from sardineyard.forwarding.admission import Admitted
    from sardineyard.forwarding.slot_messages import SlotRefusal
    from sardineyard.gateway.call import BufferedFailure
    from sardineyard.gateway.environment import Environment
    from sardineyard.httpio.acceptor import ResponseWriter
    from sardineyard.httpio.request_reader import IncomingRequest

_logger = logging.getLogger(__name__)

_REFUSAL_KINDS = {
    RefusalReason.OVERLOADED: ErrorKind.OVERLOADED,
    RefusalReason.NO_UPSTREAM: ErrorKind.NO_UPSTREAM,
    RefusalReason.PAUSED: ErrorKind.OVERLOADED,
    RefusalReason.OUT_OF_TIME: ErrorKind.DEADLINE_UNREACHABLE,
}
# Timeout for the response head of an attempt that may be retried at another upstream:
# this multiple of the target latency, or this fraction of the remaining time if longer.
_ATTEMPT_TARGET_LATENCIES = 2.0
_ATTEMPT_TIME_FRACTION = 0.35
# Maximum urgency value that is sent to upstreams; 0 is the most urgent.
_MAX_URGENCY = 9


class RequestHandler:
    """Handler of one admitted request; runs in the task of the caller's connection."""

    def __init__(
        self,
        request: IncomingRequest,
        response_writer: ResponseWriter,
        admitted: Admitted,
        environment: Environment,
    ) -> None:
        self._request = request
        self._response_writer = response_writer
        self._admitted = admitted
        self._env = environment
        route = admitted.route
        self._progress = Progress(route.retry_policy, route.max_upstreams)
        last_id = admitted.metadata.last_event_id
        self._events = EventDeduplicator(int(last_id) if last_id.isdigit() else None)
        self._context = RequestContext(
            request,
            response_writer,
            admitted,
            traits_of(
                admitted.service,
                admitted.team,
                request.method,
                request.target,
                request.body,
                admitted.metadata.shared_prompt_parts,
            ),
            self._progress,
            self._events,
            environment,
        )
        self._slots = SlotHolder(self._context)
        self._retry_after_s: float | None = None
        self._end_by = admitted.deadline
        # Timeout of the calls; None before these and once they have ended.
        self._timeout: asyncio.Timeout | None = None

    def end_by(self, deadline: Deadline) -> None:
        """End the request at a deadline if its own is later."""
        self._end_by = min(self._end_by, deadline)
        # A timeout that has expired cannot be moved; the request is ending already.
        if self._timeout is not None and not self._timeout.expired():
            left_s = remaining(self._env.clock, self._end_by)
            self._timeout.reschedule(asyncio.get_running_loop().time() + left_s)

    async def serve(self) -> RequestError | None:
        """Send the final response and return the error of the request, if any."""
        try:
            left_s = remaining(self._env.clock, self._end_by)
            async with asyncio.timeout(left_s) as self._timeout:
                error = await self._call_until_finished()
        except TimeoutError:
            kind = (
                ErrorKind.DEADLINE_EXCEEDED
                if self._progress.may_have_run
                else ErrorKind.DEADLINE_UNREACHABLE
            )
            error = RequestError(kind)
        finally:
            self._slots.release_reserved()
        self._timeout = None
        if error is not None and not self._response_writer.is_started:
            await self._send_error(error)
        return error

    @property
    def _remaining_s(self) -> float:
        return remaining(self._env.clock, self._admitted.deadline)

    async def _call_until_finished(self) -> RequestError | None:
        while True:
            try:
                decision = await self._slots.acquire()
                if not isinstance(decision, SlotGrant):
                    return self._refusal_error(decision)
                call = self._new_call(decision)
                outcome = await call.run(self._attempt_timeout_s())
            finally:
                self._slots.release()
            if outcome is CallOutcome.NOT_RUN:
                self._slots.record_rejection(decision.upstream.id)
            action = self._progress.next_action(outcome)
            if action is NextAction.RETRY_IF_IN_BUDGET:
                action = await self._retry_or_end(outcome)
            if action is NextAction.RETRY:
                self._env.metrics.count_retry(outcome.value)
                continue
            if action is NextAction.FORWARD_FAILURE and call.failure is not None:
                await self._forward_failure(call.failure)
                return None
            if outcome is CallOutcome.DELIVERED:
                return None
            if outcome is CallOutcome.NOT_RUN:
                self._retry_after_s = await self._pause_left_s()
            return self._progress.final_error(outcome)

    async def _retry_or_end(self, outcome: CallOutcome) -> NextAction:
        allowed = await acquire_retry(self._env.dispatcher, self._admitted.service)
        _logger.info(
            "checked retry budget",
            extra={
                "event": "repeat_decided",
                "request_id": self._admitted.metadata.request_id,
                "after": outcome.value,
                "sent": self._progress.sent_attempts,
                "allowed": allowed,
            },
        )
        return (
            NextAction.RETRY
            if allowed
            else self._progress.action_without_retry(outcome)
        )

    def _refusal_error(self, decision: SlotRefusal | QuarantineRefusal) -> RequestError:
        if isinstance(decision, QuarantineRefusal):
            if self._progress.may_have_run:
                return RequestError(ErrorKind.UPSTREAM_LOST, "quarantined")
            self._retry_after_s = QUARANTINE_S
            return RequestError(ErrorKind.QUARANTINED)
        if self._progress.may_have_run:
            return RequestError(ErrorKind.UPSTREAM_LOST, decision.reason.value)
        self._retry_after_s = decision.retry_after_s
        return RequestError(_REFUSAL_KINDS[decision.reason])

    def _new_call(self, slot: SlotGrant) -> UpstreamCall:
        admitted = self._admitted
        is_resuming = (
            self._progress.has_stream_started and self._events.last is not None
        )
        forwarded = ForwardedMetadata(
            upstream_id=slot.upstream.id,
            time_left_s=self._remaining_s,
            team=admitted.team,
            urgency=min(_MAX_URGENCY, admitted.priority),
            resume_after=str(self._events.last) if is_resuming else "",
        )
        return UpstreamCall(
            slot.upstream,
            self._context,
            self._env.codec.forwarded_headers(self._request.headers, forwarded),
            self._slots,
        )

    def _attempt_timeout_s(self) -> float | None:
        """Return the timeout for the response head; None if no retry could follow."""
        progress, route = self._progress, self._admitted.route
        is_last = progress.sent_attempts + 1 >= progress.max_upstreams
        is_at_most_once = route.retry_policy is RetryPolicy.AT_MOST_ONCE
        if route.is_stream or is_last or is_at_most_once:
            return None
        return max(
            _ATTEMPT_TARGET_LATENCIES * route.target_latency_s,
            _ATTEMPT_TIME_FRACTION * self._remaining_s,
        )

    async def _forward_failure(self, failure: BufferedFailure) -> None:
        headers = drop_connection_fields(failure.headers)
        await self._response_writer.send(failure.status, headers, failure.body)

    async def _pause_left_s(self) -> float | None:
        """Return the time to the end of the first pause, if all upstreams pause."""
        reply: Reply[Deadline | None] = Reply()
        self._env.dispatcher.post(FindResumption(self._admitted.service, reply))
        resumes_at = await reply.wait()
        return None if resumes_at is None else remaining(self._env.clock, resumes_at)

    async def _send_error(self, error: RequestError) -> None:
        retry_after_s = self._retry_after_s
        if retry_after_s is None and not self._progress.may_have_run:
            retry_after_s = self._remaining_s * RETRY_AFTER_FRACTION
        has_retry_after = error.response.retry_after_s is not None
        headers = self._env.codec.refusal_headers(
            self._admitted.metadata.request_id,
            retry_after_s if has_retry_after else None,
        )
        await send_error_response(self._response_writer, error, headers)
