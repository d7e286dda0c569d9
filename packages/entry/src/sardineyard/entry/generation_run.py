"""One generation, resumed at another upstream when an attempt fails."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from returns.result import Failure, Success

from sardineyard.core.clock import remaining
from sardineyard.core.errors import ErrorKind, RequestError
from sardineyard.core.mailbox import Mailbox
from sardineyard.core.requests import (
    CallEvent,
    CallFailed,
    GenerationEnd,
    ServiceResponse,
    TokenBatch,
)
from sardineyard.core.states import FinishReason
from sardineyard.entry.assembler import AssemblyState, ResponseAssembler
from sardineyard.entry.messages import AttemptEnded, CancelRequest, StartRequest
from sardineyard.entry.router_client import MAX_ATTEMPTS

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator

    from sardineyard.core.clock import Clock
    from sardineyard.core.ids import UpstreamId
    from sardineyard.core.requests import Generation
    from sardineyard.entry.messages import PickedUpstream
    from sardineyard.entry.router_client import RouterClient

# An attempt fails when a missing token does not arrive within this time.
_GAP_TIMEOUT_S = 2.0
_EVENTS_CAPACITY = 4_096


@dataclass(frozen=True, slots=True)
class Tokens:
    """The next tokens of the response, in order."""

    tokens: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Finished:
    """The end of the generation: all tokens were delivered."""

    end: GenerationEnd


GenerationUpdate = Tokens | Finished | RequestError


@dataclass(frozen=True, slots=True)
class _TimerExpired:
    """The deadline or the wait for a missing token of an attempt expired."""

    error: RequestError


_AttemptEvent = CallEvent | _TimerExpired

_DEADLINE_EXPIRED = _TimerExpired(RequestError(ErrorKind.DEADLINE_EXCEEDED))
_GAP_EXPIRED = _TimerExpired(
    RequestError(ErrorKind.UPSTREAM_PROTOCOL, "tokens are missing")
)


class GenerationRun:
    """One generation and its attempts; each continues after the delivered tokens."""

    def __init__(self, request: Generation, router: RouterClient, clock: Clock) -> None:
        self._request = request
        self._router = router
        self._clock = clock
        self._assembler = ResponseAssembler()
        self._delivered: list[str] = []
        self._excluded: frozenset[UpstreamId] = frozenset()
        self._error = RequestError(ErrorKind.NO_UPSTREAM)
        self._end = GenerationEnd(request.request_id, 0, FinishReason.STOP)

    async def updates(self) -> AsyncGenerator[GenerationUpdate, None]:
        """Run the generation; yield its tokens, then its end or an error."""
        for _ in range(MAX_ATTEMPTS):
            match await self._router.pick(self._request, self._excluded):
                case Success(pick):
                    pass
                case Failure(error):
                    yield self._error if self._excluded else error
                    return
            async for update in self._attempt(pick):
                yield update
                if isinstance(update, Finished):
                    return
            self._excluded |= {pick.upstream}
            # A generation has no side effects, so a retry is always safe.
            if not await self._router.may_retry(
                self._error, self._request.deadline, repeatable=True
            ):
                break
        yield self._error

    async def _attempt(
        self, pick: PickedUpstream
    ) -> AsyncGenerator[Tokens | Finished, None]:
        self._assembler.restart()
        self._error = RequestError(ErrorKind.CANCELLED)
        attempt_request = replace(self._request, resume_tokens=tuple(self._delivered))
        events: Mailbox[_AttemptEvent] = Mailbox(_EVENTS_CAPACITY)
        timers = _Timers(events, remaining(self._clock, self._request.deadline))
        started_at = self._clock.now()
        first_token_s: float | None = None
        pick.link.post(StartRequest(attempt_request, events))
        try:
            while self._assembler.state is AssemblyState.OPEN:
                ready_tokens = self._process_event(await events.receive())
                if ready_tokens is None:
                    return
                timers.watch_gap(has_gap=self._assembler.has_gap)
                if ready_tokens:
                    if first_token_s is None:
                        first_token_s = self._clock.now() - started_at
                    self._delivered.extend(ready_tokens)
                    yield Tokens(tuple(ready_tokens))
            if self._is_complete:
                yield Finished(self._end)
            else:
                self._error = RequestError(
                    ErrorKind.UPSTREAM_PROTOCOL, "tokens beyond the end"
                )
        finally:
            timers.cancel()
            if not self._is_complete:
                pick.link.offer(CancelRequest(self._request.request_id))
            error = None if self._is_complete else self._error
            first_token_wait_s = first_token_s or 0.0
            self._router.report_attempt(
                AttemptEnded(
                    pick.upstream,
                    self._request,
                    error,
                    first_token_s,
                    service_s=self._clock.now() - started_at - first_token_wait_s,
                    tokens=len(self._delivered) - len(attempt_request.resume_tokens),
                )
            )

    @property
    def _is_complete(self) -> bool:
        return self._assembler.state is AssemblyState.WHOLE

    def _process_event(self, event: _AttemptEvent) -> list[str] | None:
        """Return the tokens that are ready, or None if the attempt failed."""
        if isinstance(event, TokenBatch):
            return self._assembler.add(event)
        if isinstance(event, GenerationEnd):
            self._end = event
            self._assembler.end(event)
            return []
        if isinstance(event, ServiceResponse):
            self._error = RequestError(ErrorKind.UPSTREAM_PROTOCOL)
        elif isinstance(event, CallFailed | _TimerExpired):
            self._error = event.error
        return None


class _Timers:
    """Timers that post the expiry of the deadline or of a gap to an attempt's mailbox.

    They replace a timeout around each wait for an event: setting up a timeout for
    each token took a sixth of the CPU time of an entry.
    """

    def __init__(self, events: Mailbox[_AttemptEvent], timeout_s: float) -> None:
        self._events = events
        self._loop = asyncio.get_running_loop()
        self._deadline_timer = self._loop.call_later(
            timeout_s, events.offer, _DEADLINE_EXPIRED
        )
        self._gap_timer: asyncio.TimerHandle | None = None

    def watch_gap(self, *, has_gap: bool) -> None:
        """Start or stop the timer for a missing token."""
        if has_gap and self._gap_timer is None:
            self._gap_timer = self._loop.call_later(
                _GAP_TIMEOUT_S, self._events.offer, _GAP_EXPIRED
            )
        elif not has_gap and self._gap_timer is not None:
            self._gap_timer.cancel()
            self._gap_timer = None

    def cancel(self) -> None:
        """Cancel both timers."""
        self._deadline_timer.cancel()
        if self._gap_timer is not None:
            self._gap_timer.cancel()
