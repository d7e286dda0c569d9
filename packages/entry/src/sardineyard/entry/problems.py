"""Encoding of errors as problem details (RFC 9457)."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from sardineyard.core.errors import RequestError
    from sardineyard.core.ids import RequestId
    from sardineyard.httpio.exchange import Exchange


class Problem(msgspec.Struct, omit_defaults=True):
    """JSON body of an error response."""

    title: str
    status: int
    kind: str
    outcome: str
    request_id: str = ""
    detail: str = ""


def problem(error: RequestError, request_id: RequestId | None = None) -> Problem:
    """Return the problem details of an error."""
    response = error.response
    return Problem(
        title=response.title,
        status=response.status.value,
        kind=error.kind.value,
        outcome=response.outcome.value,
        request_id=request_id or "",
        detail=error.detail,
    )


async def send_problem(
    exchange: Exchange, error: RequestError, request_id: RequestId | None = None
) -> None:
    """Send an error as a complete response."""
    headers = {"content-type": "application/problem+json"}
    if error.response.retry_after_s is not None:
        headers["retry-after"] = str(error.response.retry_after_s)
    body = msgspec.json.encode(problem(error, request_id))
    await exchange.send(error.response.status.value, headers, body)
