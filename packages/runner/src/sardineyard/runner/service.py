"""Protocol of plain services: one HTTP exchange for each call."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from sardineyard.core.requests import ServiceResponse
from sardineyard.httpio.client import ResponseError
from sardineyard.httpio.messages import HttpRequest
from sardineyard.runner.execution import (
    NotPermittedError,
    NotSentError,
    RunnerError,
    always_permit,
    execute,
)

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator

    from sardineyard.core.requests import CallEvent, ServiceCall
    from sardineyard.httpio.pool import ConnectionPool
    from sardineyard.runner.execution import Permit

_MAX_RESPONSE_BYTES = 4_194_304


@dataclass(frozen=True, slots=True)
class PlainService:
    """Upstream that is a plain HTTP service, reached through a pool of connections."""

    pool: ConnectionPool


@execute.register(PlainService)
async def execute_call(
    runner: PlainService, request: ServiceCall, permit: Permit = always_permit
) -> AsyncGenerator[CallEvent, None]:
    """Run one call on a plain service."""
    try:
        connection = await runner.pool.acquire(fresh=not request.repeatable)
    except (OSError, TimeoutError) as error:
        raise NotSentError(f"cannot connect to the service: {error}") from error
    try:
        refusal = await permit()
        if refusal is not None:
            raise NotPermittedError(refusal)
        await connection.send(_encode_request(request))
        head = await connection.receive_head()
        body = bytearray()
        async for chunk in connection.receive_body():
            body += chunk
            if len(body) > _MAX_RESPONSE_BYTES:
                raise RunnerError("the answer of the service is too large")
        yield ServiceResponse(
            request_id=request.request_id,
            status=head.status,
            content_type=head.headers.get("content-type", "application/octet-stream"),
            body=bytes(body),
        )
    except (OSError, TimeoutError, ResponseError) as error:
        raise RunnerError(f"the connection to the service failed: {error}") from error
    finally:
        runner.pool.release(connection)


def _encode_request(request: ServiceCall) -> HttpRequest:
    headers = {"content-type": request.content_type, "x-request-id": request.request_id}
    if request.idempotency_key is not None:
        headers["idempotency-key"] = request.idempotency_key
    return HttpRequest(request.method, request.path, headers, request.body)
