"""Answers that the gateway makes itself."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from sardineyard.httpio.fields import find

if TYPE_CHECKING:
    from sardineyard.core.errors import RequestError
    from sardineyard.httpio.acceptor import Answer
    from sardineyard.httpio.fields import HeaderList


async def send_refusal(
    answer: Answer, error: RequestError, headers: HeaderList
) -> None:
    """Send the answer that the table of errors gives for a kind."""
    body = msgspec.json.encode(
        {
            "kind": error.kind.value,
            "outcome": error.outcome.value,
            "title": error.answer.title,
            "detail": error.detail,
        }
    )
    fields = [*headers, (b"content-type", b"application/problem+json")]
    usual_s = error.answer.retry_after_s
    if usual_s is not None and not find(headers, b"retry-after"):
        fields.append((b"retry-after", b"%d" % usual_s))
    await answer.send(error.answer.status.value, fields, body)
