"""Completions: from the caller's body to the whole or streamed answer."""

from __future__ import annotations

import logging
from contextlib import aclosing
from typing import TYPE_CHECKING

import msgspec
import xxhash
from returns.result import Failure, Success

from sardineyard.core.errors import ErrorKind, RequestError
from sardineyard.core.ids import Fingerprint, ModelName
from sardineyard.core.requests import Generation
from sardineyard.entry.generation_run import Finished, Tokens
from sardineyard.entry.openai import (
    DONE_EVENT,
    ChatBody,
    Renderer,
    error_event,
    parse_completion,
)
from sardineyard.entry.problems import problem

if TYPE_CHECKING:
    from sardineyard.core.clock import Clock
    from sardineyard.core.ids import TeamId
    from sardineyard.entry.admission import Admitted
    from sardineyard.entry.attempts import Attempts
    from sardineyard.entry.directory import Directory
    from sardineyard.entry.observe import RequestObserver
    from sardineyard.entry.openai import Completion
    from sardineyard.httpio.exchange import Exchange
    from sardineyard.httpio.messages import HttpRequest

_logger = logging.getLogger(__name__)

_EVENT_STREAM = {"content-type": "text/event-stream", "cache-control": "no-store"}


class CompletionFront:
    """Answer completions."""

    def __init__(self, attempts: Attempts, clock: Clock) -> None:
        self._attempts = attempts
        self._clock = clock

    async def handle(
        self,
        request: HttpRequest,
        exchange: Exchange,
        observer: RequestObserver,
        admitted: Admitted,
        directory: Directory,
        kind: type[Completion],
    ) -> RequestError | None:
        """Run one completion; return an error that was not sent yet."""
        match parse_completion(request.body, kind):
            case Success(completion):
                pass
            case Failure(error):
                return error
        if completion.model not in directory.models:
            return RequestError(ErrorKind.NOT_FOUND, f"no model {completion.model!r}")
        generation = Generation(
            request_id=observer.request_id,
            team=admitted.team.id,
            priority=admitted.priority.name,
            model=ModelName(completion.model),
            prompt=completion.prompt,
            max_tokens=completion.max_tokens,
            deadline=admitted.deadline,
            fingerprint=fingerprint_of(admitted.team.id, request.path, request.body),
        )
        renderer = Renderer(
            observer.request_id,
            completion.model,
            int(self._clock.wall()),
            is_chat=isinstance(completion, ChatBody),
        )
        if completion.stream:
            return await self._stream(generation, renderer, exchange, observer)
        return await self._whole(generation, renderer, exchange, observer)

    async def _whole(
        self,
        generation: Generation,
        renderer: Renderer,
        exchange: Exchange,
        observer: RequestObserver,
    ) -> RequestError | None:
        tokens: list[str] = []
        async with aclosing(self._attempts.generate(generation)) as steps:
            async for step in steps:
                if isinstance(step, Tokens):
                    tokens.extend(step.tokens)
                    observer.tokens(len(step.tokens))
                elif isinstance(step, Finished):
                    body = renderer.whole(
                        "".join(tokens), step.end.reason.value, len(tokens)
                    )
                    headers = {"content-type": "application/json"}
                    await exchange.send(200, headers, body)
                    observer.completed()
                else:
                    return step
        return None

    async def _stream(
        self,
        generation: Generation,
        renderer: Renderer,
        exchange: Exchange,
        observer: RequestObserver,
    ) -> RequestError | None:
        async with aclosing(self._attempts.generate(generation)) as steps:
            async for step in steps:
                if isinstance(step, RequestError) and not exchange.started:
                    return step
                if not exchange.started:
                    await exchange.start(200, _EVENT_STREAM)
                if isinstance(step, Tokens):
                    await exchange.write(renderer.chunk("".join(step.tokens)))
                    observer.tokens(len(step.tokens))
                elif isinstance(step, Finished):
                    last = renderer.chunk("", step.end.reason.value)
                    await exchange.write(last + DONE_EVENT)
                    await exchange.finish()
                    observer.completed()
                else:
                    observer.failed(step)
                    await self._break_off(step, generation, exchange)
        return None

    async def _break_off(
        self, error: RequestError, generation: Generation, exchange: Exchange
    ) -> None:
        # The body is left without its end, so that no client takes it for whole.
        _logger.warning(
            "stream ended with an error",
            extra={
                "event": "stream_broken",
                "request_id": generation.request_id,
                "error_kind": error.kind.value,
            },
        )
        body = msgspec.json.encode(problem(error, generation.request_id))
        await exchange.write(error_event(body))


def fingerprint_of(team: TeamId, path: str, body: bytes) -> Fingerprint:
    """Return the hash by which processes recognise the same request."""
    head = f"{team}\0{path}\0".encode()
    return Fingerprint(xxhash.xxh3_128_hexdigest(head + body))
