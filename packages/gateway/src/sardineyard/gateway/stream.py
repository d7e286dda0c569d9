"""Forwarding of an event stream from one upstream to the caller."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from sardineyard.core.clock import deadline_after, remaining
from sardineyard.forwarding.events import EventParser
from sardineyard.gateway.context import deliver
from sardineyard.gateway.dispatcher import acquire_retry
from sardineyard.gateway.messages import (
    EventGapMeasured,
    FirstEventMeasured,
    RequestStarted,
)
from sardineyard.httpio.call import InvalidResponseError
from sardineyard.httpio.fields import drop_connection_fields

if TYPE_CHECKING:
    from sardineyard.core.clock import Deadline
    from sardineyard.forwarding.events import StreamEvent
    from sardineyard.gateway.context import RequestContext
    from sardineyard.gateway.slot_holder import SlotHolder
    from sardineyard.httpio.call import CallConnection, ResponseHead

# Time without a new complete event after which a stream is retried at another upstream.
# A group that loses a rank stalls for 1.5 s; callers abandon a stream after 2 s.
_STREAM_IDLE_TIMEOUT_S = 1.7


class StreamMovedError(Exception):
    """The stream is to be continued at another upstream."""


class StreamStalledError(StreamMovedError):
    """The stream is to be continued elsewhere because its upstream sends no events."""


class StreamForwarder:
    """Forwards the events of one call, as long as they are new to the caller."""

    def __init__(
        self,
        context: RequestContext,
        connection: CallConnection,
        slots: SlotHolder,
        started_at: float,
    ) -> None:
        self._context = context
        self._connection = connection
        self._slots = slots
        self._started_at = started_at
        self._clock = context.environment.clock
        self._parser = EventParser()
        self._last_event_at: float | None = None
        # Runs from the first bytes of the body and restarts with new complete events.
        # Further bytes of an incomplete event do not extend it.
        self._idle_deadline: Deadline | None = None
        # Complete events that the upstream sent, duplicates included.
        self.event_count = 0
        self.first_event_s: float | None = None
        self.max_event_gap_s = 0.0

    async def forward(self, head: ResponseHead) -> None:
        """Forward the stream to its end.

        Raise StreamMovedError, OSError, InvalidResponseError or MalformedStreamError.
        """
        while (chunk := await self._receive_chunk()) is not None:
            if self._idle_deadline is None:
                self._restart_idle_timeout()
            if events := self._accept(self._parser.feed(chunk)):
                await self._forward_events(head, events)
                await self._move_if_requested()
        if self._parser.has_partial_event:
            raise InvalidResponseError("the stream ended with an incomplete event")
        if self.event_count == 0 and not self._connection.is_response_framed:
            # A stream that ends with its connection and has no event has broken off.
            raise InvalidResponseError("the connection ended before the first event")
        await self._start_response(head)
        await deliver(self._context.response_writer.finish())

    async def _receive_chunk(self) -> bytes | None:
        idle_deadline = self._idle_deadline
        idle_s = (
            None if idle_deadline is None else remaining(self._clock, idle_deadline)
        )
        try:
            async with asyncio.timeout(idle_s):
                return await self._connection.receive_chunk()
        except TimeoutError:
            pass
        if self._context.progress.may_retry:
            return await self._receive_or_move()
        # No other upstream may continue the stream. It may be slow and sound, so only
        # the deadline of the request ends it.
        return await self._connection.receive_chunk()

    async def _receive_or_move(self) -> bytes | None:
        """Return the next chunk; raise StreamStalledError if a slot is free earlier."""
        deadline = self._context.admitted.deadline
        receive = asyncio.create_task(self._connection.receive_chunk())
        reserve = asyncio.create_task(self._slots.reserve(deadline))
        is_moving = False
        try:
            await asyncio.wait({receive, reserve}, return_when=asyncio.FIRST_COMPLETED)
            if not receive.done():
                is_moving = await self._may_move(is_reserved=await reserve)
            if is_moving:
                raise StreamStalledError(
                    "no complete event within the stream idle timeout"
                )
            return await receive
        finally:
            receive.cancel()
            reserve.cancel()
            await asyncio.gather(receive, reserve, return_exceptions=True)
            if not is_moving:
                self._slots.release_reserved()

    async def _may_move(self, *, is_reserved: bool) -> bool:
        """Return whether the stream may move to a reserved slot, or release that."""
        context = self._context
        # The slot and the retry are acquired before the call is ended: without them,
        # the stream stays at this upstream.
        if not is_reserved:
            return False
        if await acquire_retry(
            context.environment.dispatcher, context.admitted.service
        ):
            return True
        self._slots.release_reserved()
        return False

    def _restart_idle_timeout(self) -> None:
        self._idle_deadline = deadline_after(self._clock, _STREAM_IDLE_TIMEOUT_S)

    def _accept(self, received: list[StreamEvent]) -> list[StreamEvent]:
        """Count the events and return those that are new to the caller."""
        if received and self.event_count == 0:
            context = self._context
            context.environment.quarantine.offer(RequestStarted(context.traits))
        self.event_count += len(received)
        return [event for event in received if self._context.events.accept(event)]

    async def _forward_events(
        self, head: ResponseHead, events: list[StreamEvent]
    ) -> None:
        now = self._clock.now()
        if self._last_event_at is None:
            await self._start_response(head)
        else:
            self._record_event_gap(now - self._last_event_at)
        self._last_event_at = now
        self._restart_idle_timeout()
        context = self._context
        context.progress.can_resume = context.events.last is not None
        await deliver(context.response_writer.write(b"".join(e.raw for e in events)))

    async def _move_if_requested(self) -> None:
        move_request = self._slots.move_requests.receive_nowait()
        context = self._context
        if (
            move_request is None
            or self._parser.has_partial_event
            or not context.progress.can_move
        ):
            return
        # Events wait meanwhile, so only a slot that is free at once is of use.
        at_once = deadline_after(self._clock, 0.0)
        if await self._may_move(is_reserved=await self._slots.reserve(at_once)):
            raise StreamMovedError(move_request.reason)

    async def _start_response(self, head: ResponseHead) -> None:
        context = self._context
        if context.response_writer.is_started:
            return
        context.record_first_byte()
        seconds = self.first_event_s = self._clock.now() - self._started_at
        context.environment.dispatcher.offer(
            FirstEventMeasured(context.admitted.service, seconds)
        )
        context.progress.has_stream_started = True
        await deliver(
            context.response_writer.start(
                head.status, drop_connection_fields(head.headers)
            )
        )

    def _record_event_gap(self, seconds: float) -> None:
        context = self._context
        self.max_event_gap_s = max(self.max_event_gap_s, seconds)
        context.environment.metrics.record_event_gap(context.admitted.priority, seconds)
        context.environment.dispatcher.offer(
            EventGapMeasured(context.admitted.service, seconds)
        )
