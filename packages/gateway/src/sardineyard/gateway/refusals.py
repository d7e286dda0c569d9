"""Error responses that the gateway generates itself."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from sardineyard.httpio.fields import find

if TYPE_CHECKING:
    from sardineyard.core.errors import RequestError
    from sardineyard.httpio.acceptor import ResponseWriter
    from sardineyard.httpio.fields import HeaderList


async def send_error_response(
    response_writer: ResponseWriter, error: RequestError, headers: HeaderList
) -> None:
    """Send a problem document with the status that the error table gives."""
    body = msgspec.json.encode(
        {
            "kind": error.kind.value,
            "outcome": error.outcome.value,
            "title": error.response.title,
            "detail": error.detail,
        }
    )
    fields = [*headers, (b"content-type", b"application/problem+json")]
    default_retry_after_s = error.response.retry_after_s
    if default_retry_after_s is not None and not find(headers, b"retry-after"):
        fields.append((b"retry-after", b"%d" % default_retry_after_s))
    await response_writer.send(error.response.status.value, fields, body)
