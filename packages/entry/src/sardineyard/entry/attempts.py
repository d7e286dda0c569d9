"""Attempts of one request, over several upstreams where that is allowed."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Any

from returns.result import Failure, Success

from sardineyard.core.clock import remaining
from sardineyard.core.errors import ErrorKind, Outcome, RequestError
from sardineyard.core.mailbox import Mailbox, Reply
from sardineyard.core.requests import (
    CallFailed,
    GenerationEnd,
    ServiceAnswer,
    TokenBatch,
)
from sardineyard.core.states import FinishReason
from sardineyard.entry.assembler import AnswerAssembler, AssemblyState
from sardineyard.entry.messages import (
    AskRetry,
    AttemptEnded,
    CancelRequest,
    PickUpstream,
    StartRequest,
)

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator

    from returns.result import Result

    from sardineyard.core.clock import Clock
    from sardineyard.core.ids import UpstreamId
    from sardineyard.core.requests import CallEvent, Generation, ServiceCall
    from sardineyard.entry.messages import (
        Pick,
    )

_MAX_ATTEMPTS = 4
# A missing token is waited for this long before the upstream counts as failed.
_GAP_TIMEOUT_S = 2.0
_EVENTS_CAPACITY = 4_096

# Another upstream may answer these although this one did not.
_OTHER_UPSTREAM_MAY_HELP = frozenset(
    {
        ErrorKind.NO_UPSTREAM,
        ErrorKind.DRAINING,
        ErrorKind.OVERLOADED,
        ErrorKind.DEADLINE_UNREACHABLE,
        ErrorKind.STALE_INCARNATION,
        ErrorKind.UPSTREAM_LOST,
        ErrorKind.UPSTREAM_PROTOCOL,
    }
)


@dataclass(frozen=True, slots=True)
class Tokens:
    """Hand on tokens of the answer in order."""

    tokens: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Finished:
    """Say that the whole answer was handed on."""

    end: GenerationEnd


GenerationStep = Tokens | Finished | RequestError


class Attempts:
    """Run requests through the router and the links, with retries."""

    def __init__(self, router: Mailbox[Any], clock: Clock) -> None:
        self._router = router
        self._clock = clock

    async def generate(
        self, request: Generation
    ) -> AsyncGenerator[GenerationStep, None]:
        """Yield the tokens of an answer, then its end or an error."""
        run = _GenerationRun(request, self._router, self._clock)
        async for step in run.steps():
            yield step

    async def call(self, request: ServiceCall) -> Result[ServiceAnswer, RequestError]:
        """Run one call of a plain service."""
        excluded: frozenset[UpstreamId] = frozenset()
        error = RequestError(ErrorKind.NO_UPSTREAM)
        for _ in range(_MAX_ATTEMPTS):
            picked = await _pick(self._router, request, excluded)
            if isinstance(picked, RequestError):
                return Failure(picked)
            answer = await self._call_once(request, picked)
            if not isinstance(answer, RequestError):
                return Success(answer)
            error = answer
            if not await self._may_retry(request, answer):
                break
            excluded |= {picked.upstream}
        return Failure(error)

    async def _call_once(
        self, request: ServiceCall, pick: Pick
    ) -> ServiceAnswer | RequestError:
        attempt = replace(request, incarnation=pick.incarnation)
        events: Mailbox[CallEvent] = Mailbox(_EVENTS_CAPACITY)
        pick.link.post(StartRequest(attempt, events))
        result: ServiceAnswer | RequestError = RequestError(ErrorKind.CANCELLED)
        try:
            async with asyncio.timeout(remaining(self._clock, request.deadline)):
                event = await events.receive()
            if isinstance(event, ServiceAnswer):
                result = event
            elif isinstance(event, CallFailed):
                result = event.error
            else:
                result = RequestError(ErrorKind.UPSTREAM_PROTOCOL)
        except TimeoutError:
            result = RequestError(ErrorKind.DEADLINE_EXCEEDED)
        finally:
            if isinstance(result, RequestError):
                pick.link.offer(CancelRequest(request.request_id))
            error = result if isinstance(result, RequestError) else None
            self._router.offer(AttemptEnded(pick.upstream, request, error))
        return result

    async def _may_retry(self, request: ServiceCall, error: RequestError) -> bool:
        safe = error.outcome is Outcome.NOT_RUN or request.repeatable
        if not safe or error.kind not in _OTHER_UPSTREAM_MAY_HELP:
            return False
        return await _ask_retry(self._router)


class _GenerationRun:
    """Hold the state of one generation over its attempts."""

    def __init__(self, request: Generation, router: Mailbox[Any], clock: Clock) -> None:
        self._request = request
        self._router = router
        self._clock = clock
        self._assembler = AnswerAssembler()
        self._delivered: list[str] = []
        self._excluded: frozenset[UpstreamId] = frozenset()
        self._error = RequestError(ErrorKind.NO_UPSTREAM)
        self._end = GenerationEnd(request.request_id, 0, FinishReason.STOP)

    async def steps(self) -> AsyncGenerator[GenerationStep, None]:
        for _ in range(_MAX_ATTEMPTS):
            picked = await _pick(self._router, self._request, self._excluded)
            if isinstance(picked, RequestError):
                yield self._error if self._excluded else picked
                return
            async for step in self._attempt(picked):
                yield step
                if isinstance(step, Finished):
                    return
            self._excluded |= {picked.upstream}
            if self._error.kind not in _OTHER_UPSTREAM_MAY_HELP:
                break
            if not await _ask_retry(self._router):
                break
        yield self._error

    async def _attempt(self, pick: Pick) -> AsyncGenerator[Tokens | Finished, None]:
        self._assembler.restart()
        attempt = replace(self._request, resume_tokens=tuple(self._delivered))
        events: Mailbox[CallEvent] = Mailbox(_EVENTS_CAPACITY)
        started = self._clock.now()
        first_token_s: float | None = None
        ended = False
        pick.link.post(StartRequest(attempt, events))
        try:
            while not ended:
                event = await self._next(events)
                if isinstance(event, RequestError):
                    self._error = event
                    return
                if isinstance(event, TokenBatch):
                    ready = self._assembler.add(event)
                    if ready:
                        if first_token_s is None:
                            first_token_s = self._clock.now() - started
                        self._delivered.extend(ready)
                        yield Tokens(tuple(ready))
                else:
                    self._end = event
                    self._assembler.end(event)
                if self._assembler.state is AssemblyState.BROKEN:
                    self._error = RequestError(
                        ErrorKind.UPSTREAM_PROTOCOL, "tokens beyond the end"
                    )
                    return
                if self._assembler.state is AssemblyState.WHOLE:
                    ended = True
                    yield Finished(self._end)
        finally:
            if not ended:
                pick.link.offer(CancelRequest(self._request.request_id))
            error = None if ended else self._error
            self._router.offer(
                AttemptEnded(pick.upstream, self._request, error, first_token_s)
            )

    async def _next(
        self, events: Mailbox[CallEvent]
    ) -> TokenBatch | GenerationEnd | RequestError:
        timeout = remaining(self._clock, self._request.deadline)
        if self._assembler.has_gap:
            timeout = min(timeout, _GAP_TIMEOUT_S)
        try:
            async with asyncio.timeout(timeout):
                event = await events.receive()
        except TimeoutError:
            if remaining(self._clock, self._request.deadline) > 0:
                return RequestError(ErrorKind.UPSTREAM_PROTOCOL, "tokens are missing")
            return RequestError(ErrorKind.DEADLINE_EXCEEDED)
        if isinstance(event, CallFailed):
            return event.error
        if isinstance(event, ServiceAnswer):
            return RequestError(ErrorKind.UPSTREAM_PROTOCOL)
        return event


async def _pick(
    router: Mailbox[Any],
    request: Generation | ServiceCall,
    excluded: frozenset[UpstreamId],
) -> Pick | RequestError:
    reply: Reply[Result[Pick, RequestError]] = Reply()
    router.post(PickUpstream(request, reply, excluded))
    match await reply.wait():
        case Success(pick):
            return pick
        case Failure(error):
            return error
    return RequestError(ErrorKind.INTERNAL)


async def _ask_retry(router: Mailbox[Any]) -> bool:
    reply: Reply[bool] = Reply()
    router.post(AskRetry(reply))
    return await reply.wait()
