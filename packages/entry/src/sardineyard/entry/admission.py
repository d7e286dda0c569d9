"""Authentication of callers' requests; their team, priority and deadline."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from returns.result import Failure, Success

from sardineyard.core.clock import deadline_after
from sardineyard.core.errors import ErrorKind, RequestError

if TYPE_CHECKING:
    from returns.result import Result

    from sardineyard.core.clock import Clock, Deadline
    from sardineyard.document.model import Priority, Team
    from sardineyard.entry.document_index import DocumentIndex
    from sardineyard.httpio.messages import HttpRequest

_MAX_TIMEOUT_MS = 3_600_000


@dataclass(frozen=True, slots=True)
class AdmittedRequest:
    """Team, priority and deadline of an authenticated request."""

    team: Team
    priority: Priority
    deadline: Deadline


def admit(
    request: HttpRequest, document_index: DocumentIndex, clock: Clock
) -> Result[AdmittedRequest, RequestError]:
    """Authenticate a request and determine its priority and deadline."""
    match document_index.team(request.headers.get("authorization", "")):
        case Success(team):
            pass
        case Failure(error):
            return Failure(error)
    name = request.headers.get("x-priority", team.default_priority)
    match document_index.priority(name):
        case Success(priority):
            pass
        case Failure(error):
            return Failure(error)
    match _timeout_s(request, priority.default_timeout_s):
        case Success(timeout_s):
            return Success(
                AdmittedRequest(team, priority, deadline_after(clock, timeout_s))
            )
        case Failure(error):
            return Failure(error)
    raise AssertionError("a Result is a Success or a Failure")


def _timeout_s(request: HttpRequest, default_s: float) -> Result[float, RequestError]:
    text = request.headers.get("x-timeout-ms")
    if text is None:
        return Success(default_s)
    if not (text.isascii() and text.isdigit() and 0 < int(text) <= _MAX_TIMEOUT_MS):
        detail = f"X-Timeout-Ms must be between 1 and {_MAX_TIMEOUT_MS}"
        return Failure(RequestError(ErrorKind.BAD_REQUEST, detail))
    return Success(int(text) / 1000)
