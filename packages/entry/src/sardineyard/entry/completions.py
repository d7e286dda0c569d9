"""Completion requests: decodes the body and sends a complete or streamed response."""

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
    ResponseEncoder,
    error_event,
    parse_completion,
)
from sardineyard.entry.problems import problem

if TYPE_CHECKING:
    from sardineyard.core.clock import Clock
    from sardineyard.core.ids import TeamId
    from sardineyard.entry.admission import AdmittedRequest
    from sardineyard.entry.document_index import DocumentIndex
    from sardineyard.entry.observe import RequestObserver
    from sardineyard.entry.openai import Completion
    from sardineyard.entry.request_executor import RequestExecutor
    from sardineyard.httpio.exchange import Exchange
    from sardineyard.httpio.messages import HttpRequest

_logger = logging.getLogger(__name__)

_EVENT_STREAM = {"content-type": "text/event-stream", "cache-control": "no-store"}


class CompletionHandler:
    """HTTP handler for chat and text completions."""

    def __init__(self, executor: RequestExecutor, clock: Clock) -> None:
        self._executor = executor
        self._clock = clock

    async def handle(
        self,
        request: HttpRequest,
        exchange: Exchange,
        observer: RequestObserver,
        admitted: AdmittedRequest,
        document_index: DocumentIndex,
        body_type: type[Completion],
    ) -> RequestError | None:
        """Serve one completion; return an error that is still to be sent."""
        match parse_completion(request.body, body_type):
            case Success(completion):
                pass
            case Failure(error):
                return error
        if completion.model not in document_index.models:
            return RequestError(ErrorKind.NOT_FOUND, f"no model {completion.model!r}")
        generation = Generation(
            request_id=observer.request_id,
            team=admitted.team.id,
            priority=admitted.priority.name,
            model=ModelName(completion.model),
            prompt=completion.prompt,
            max_tokens=completion.max_tokens,
            deadline=admitted.deadline,
            fingerprint=request_fingerprint(
                admitted.team.id, request.path, request.body
            ),
        )
        encoder = ResponseEncoder(
            observer.request_id,
            completion.model,
            int(self._clock.wall()),
            is_chat=isinstance(completion, ChatBody),
        )
        if completion.stream:
            return await self._send_stream(generation, encoder, exchange, observer)
        return await self._send_complete(generation, encoder, exchange, observer)

    async def _send_complete(
        self,
        generation: Generation,
        encoder: ResponseEncoder,
        exchange: Exchange,
        observer: RequestObserver,
    ) -> RequestError | None:
        tokens: list[str] = []
        async with aclosing(self._executor.generate(generation)) as updates:
            async for update in updates:
                if isinstance(update, Tokens):
                    tokens.extend(update.tokens)
                    observer.record_tokens(len(update.tokens))
                elif isinstance(update, Finished):
                    body = encoder.complete_body(
                        "".join(tokens), update.end.reason.value, len(tokens)
                    )
                    headers = {"content-type": "application/json"}
                    await exchange.send(200, headers, body)
                    observer.record_completion()
                else:
                    return update
        return None

    async def _send_stream(
        self,
        generation: Generation,
        encoder: ResponseEncoder,
        exchange: Exchange,
        observer: RequestObserver,
    ) -> RequestError | None:
        async with aclosing(self._executor.generate(generation)) as updates:
            async for update in updates:
                if isinstance(update, RequestError) and not exchange.started:
                    return update
                if not exchange.started:
                    await exchange.start(200, _EVENT_STREAM)
                if isinstance(update, Tokens):
                    await exchange.write(encoder.chunk("".join(update.tokens)))
                    observer.record_tokens(len(update.tokens))
                elif isinstance(update, Finished):
                    final_chunk = encoder.chunk("", update.end.reason.value)
                    await exchange.write(final_chunk + DONE_EVENT)
                    await exchange.finish()
                    observer.record_completion()
                else:
                    observer.record_error(update)
                    await self._send_stream_error(update, generation, exchange)
        return None

    async def _send_stream_error(
        self, error: RequestError, generation: Generation, exchange: Exchange
    ) -> None:
        # The terminating HTTP chunk is not sent, so that no client treats the
        # stream as complete.
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


def request_fingerprint(team: TeamId, path: str, body: bytes) -> Fingerprint:
    """Return the hash that identifies equal requests in all processes."""
    prefix = f"{team}\0{path}\0".encode()
    return Fingerprint(xxhash.xxh3_128_hexdigest(prefix + body))
