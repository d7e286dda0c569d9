"""Protocol of model runners: completions over HTTP as server-sent events."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec

from sardineyard.core.requests import GenerationEnd, TokenBatch
from sardineyard.core.states import FinishReason
from sardineyard.httpio.client import ResponseError
from sardineyard.httpio.messages import HttpRequest
from sardineyard.runner.execution import (
    MalformedResponseError,
    NotSentError,
    RunnerError,
    execute,
)

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator, AsyncIterator

    from sardineyard.core.requests import CallEvent, Generation
    from sardineyard.httpio.client import ClientConnection
    from sardineyard.httpio.pool import ConnectionPool

_MAX_LINE_BYTES = 1_048_576


class CompletionBody(msgspec.Struct, omit_defaults=True):
    """Body of a completion request to a model runner."""

    request_id: str
    model: str
    prompt: str
    max_tokens: int
    priority: str
    adapter: str = ""
    # Tokens that the caller already has; the runner continues after them.
    resume_tokens: tuple[str, ...] = ()


class CompletionEvent(msgspec.Struct):
    """One event of a completion: tokens at an index, the end, or an error."""

    index: int = 0
    tokens: tuple[str, ...] = ()
    finish: str | None = None
    error: str | None = None


_decoder = msgspec.json.Decoder(CompletionEvent)


@dataclass(frozen=True, slots=True)
class ModelRunner:
    """Upstream that runs a model, reached through a pool of connections."""

    pool: ConnectionPool


@execute.register(ModelRunner)
async def execute_generation(
    runner: ModelRunner, request: Generation
) -> AsyncGenerator[CallEvent, None]:
    """Run a generation on a model runner."""
    try:
        connection = await runner.pool.acquire()
    except (OSError, TimeoutError) as error:
        raise NotSentError(f"cannot connect to the runner: {error}") from error
    try:
        await connection.send(_encode_request(request))
        head = await connection.receive_head()
        if head.status != 200:
            raise RunnerError(f"the runner answered with status {head.status}")
        async for event in _read_events(connection):
            yield _to_call_event(request, event)
    except (OSError, TimeoutError, ResponseError) as error:
        raise RunnerError(f"the connection to the runner failed: {error}") from error
    finally:
        runner.pool.release(connection)


def _encode_request(request: Generation) -> HttpRequest:
    body = CompletionBody(
        request_id=request.request_id,
        model=request.model,
        prompt=request.prompt,
        max_tokens=request.max_tokens,
        priority=request.priority,
        adapter=request.adapter,
        resume_tokens=request.resume_tokens,
    )
    return HttpRequest(
        "POST",
        "/v1/completions",
        {"content-type": "application/json"},
        msgspec.json.encode(body),
    )


async def _read_events(connection: ClientConnection) -> AsyncIterator[CompletionEvent]:
    buffer = b""
    async for chunk in connection.receive_body():
        lines = (buffer + chunk).split(b"\n")
        buffer = lines.pop()
        if len(buffer) > _MAX_LINE_BYTES:
            raise MalformedResponseError("an event of the runner is too long")
        for line in lines:
            if line.startswith(b"data: "):
                try:
                    yield _decoder.decode(line[6:])
                except msgspec.MsgspecError as error:
                    raise MalformedResponseError(
                        f"an event of the runner is malformed: {error}"
                    ) from error


def _to_call_event(request: Generation, event: CompletionEvent) -> CallEvent:
    if event.error is not None:
        raise RunnerError(f"the runner failed: {event.error}")
    if event.finish is None:
        return TokenBatch(request.request_id, event.index, event.tokens)
    try:
        reason = FinishReason(event.finish)
    except ValueError:
        raise MalformedResponseError(
            f"unknown reason for the end: {event.finish}"
        ) from None
    return GenerationEnd(request.request_id, event.index, reason)
