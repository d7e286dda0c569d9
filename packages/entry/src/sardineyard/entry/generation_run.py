"""One generation, continued at another upstream when one is lost."""

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
    ServiceAnswer,
    TokenBatch,
)
from sardineyard.core.states import FinishReason
from sardineyard.entry.assembler import AnswerAssembler, AssemblyState
from sardineyard.entry.messages import AttemptEnded, CancelRequest, StartRequest
from sardineyard.entry.router_client import MAX_ATTEMPTS

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator

    from sardineyard.core.clock import Clock
    from sardineyard.core.ids import UpstreamId
    from sardineyard.core.requests import Generation
    from sardineyard.entry.messages import Pick
    from sardineyard.entry.router_client import RouterClient

# A missing token is waited for this long before the upstream counts as failed.
_GAP_TIMEOUT_S = 2.0
_EVENTS_CAPACITY = 4_096


@dataclass(frozen=True, slots=True)
class Tokens:
    """Hand on tokens of the answer in order."""

    tokens: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Finished:
    """Say that the whole answer was handed on."""

    end: GenerationEnd


GenerationStep = Tokens | Finished | RequestError


@dataclass(frozen=True, slots=True)
class _TimerExpired:
    """Tell an attempt that its deadline or the wait for a missing token ended."""

    error: RequestError


_AttemptEvent = CallEvent | _TimerExpired

_DEADLINE = _TimerExpired(RequestError(ErrorKind.DEADLINE_EXCEEDED))
_GAP = _TimerExpired(RequestError(ErrorKind.UPSTREAM_PROTOCOL, "tokens are missing"))


class GenerationRun:
    """Hold the state of one generation over its attempts."""

    def __init__(self, request: Generation, router: RouterClient, clock: Clock) -> None:
        self._request = request
        self._router = router
        self._clock = clock
        self._assembler = AnswerAssembler()
        self._delivered: list[str] = []
        self._excluded: frozenset[UpstreamId] = frozenset()
        self._error = RequestError(ErrorKind.NO_UPSTREAM)
        self._end = GenerationEnd(request.request_id, 0, FinishReason.STOP)

    async def steps(self) -> AsyncGenerator[GenerationStep, None]:
        """Yield the tokens of the answer, then its end or an error."""
        for _ in range(MAX_ATTEMPTS):
            match await self._router.pick(self._request, self._excluded):
                case Success(pick):
                    pass
                case Failure(error):
                    yield self._error if self._excluded else error
                    return
            async for step in self._attempt(pick):
                yield step
                if isinstance(step, Finished):
                    return
            self._excluded |= {pick.upstream}
            # A generation has no effect but its tokens, so it may be repeated.
            if not await self._router.may_retry(
                self._error, self._request.deadline, repeatable=True
            ):
                break
        yield self._error

    async def _attempt(self, pick: Pick) -> AsyncGenerator[Tokens | Finished, None]:
        self._assembler.restart()
        self._error = RequestError(ErrorKind.CANCELLED)
        attempt = replace(self._request, resume_tokens=tuple(self._delivered))
        events: Mailbox[_AttemptEvent] = Mailbox(_EVENTS_CAPACITY)
        timers = _Timers(events, remaining(self._clock, self._request.deadline))
        started = self._clock.now()
        first_token_s: float | None = None
        pick.link.post(StartRequest(attempt, events))
        try:
            while self._assembler.state is AssemblyState.OPEN:
                ready = self._take(await events.receive())
                if ready is None:
                    return
                timers.watch_gap(has_gap=self._assembler.has_gap)
                if ready:
                    if first_token_s is None:
                        first_token_s = self._clock.now() - started
                    self._delivered.extend(ready)
                    yield Tokens(tuple(ready))
            if self._is_whole:
                yield Finished(self._end)
            else:
                self._error = RequestError(
                    ErrorKind.UPSTREAM_PROTOCOL, "tokens beyond the end"
                )
        finally:
            timers.cancel()
            if not self._is_whole:
                pick.link.offer(CancelRequest(self._request.request_id))
            error = None if self._is_whole else self._error
            waited = first_token_s or 0.0
            self._router.ended(
                AttemptEnded(
                    pick.upstream,
                    self._request,
                    error,
                    first_token_s,
                    service_s=self._clock.now() - started - waited,
                    tokens=len(self._delivered) - len(attempt.resume_tokens),
                )
            )

    @property
    def _is_whole(self) -> bool:
        return self._assembler.state is AssemblyState.WHOLE

    def _take(self, event: _AttemptEvent) -> list[str] | None:
        """Return the tokens that are ready, or None when the attempt failed."""
        if isinstance(event, TokenBatch):
            return self._assembler.add(event)
        if isinstance(event, GenerationEnd):
            self._end = event
            self._assembler.end(event)
            return []
        if isinstance(event, ServiceAnswer):
            self._error = RequestError(ErrorKind.UPSTREAM_PROTOCOL)
        elif isinstance(event, CallFailed | _TimerExpired):
            self._error = event.error
        return None


class _Timers:
    """Send the expiry of the deadline and of a gap to the mailbox of an attempt.

    One timer for the attempt instead of a timeout around each wait: setting up
    a timeout for each token took a sixth of the processor time of an entry.
    """

    def __init__(self, events: Mailbox[_AttemptEvent], timeout_s: float) -> None:
        self._events = events
        self._loop = asyncio.get_running_loop()
        self._deadline = self._loop.call_later(timeout_s, events.offer, _DEADLINE)
        self._gap: asyncio.TimerHandle | None = None

    def watch_gap(self, *, has_gap: bool) -> None:
        """Start or end the wait for a missing token."""
        if has_gap and self._gap is None:
            self._gap = self._loop.call_later(_GAP_TIMEOUT_S, self._events.offer, _GAP)
        elif not has_gap and self._gap is not None:
            self._gap.cancel()
            self._gap = None

    def cancel(self) -> None:
        """Cancel both timers."""
        self._deadline.cancel()
        if self._gap is not None:
            self._gap.cancel()
