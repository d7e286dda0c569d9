"""Calls of plain services."""

from __future__ import annotations

from typing import TYPE_CHECKING

from returns.result import Failure, Success

from sardineyard.core.errors import ErrorKind, RequestError
from sardineyard.core.ids import ServiceName
from sardineyard.core.requests import ServiceCall
from sardineyard.entry.completions import fingerprint_of
from sardineyard.idempotency.keys import parse_key

if TYPE_CHECKING:
    from sardineyard.entry.admission import Admitted
    from sardineyard.entry.attempts import Attempts
    from sardineyard.entry.directory import Directory
    from sardineyard.entry.observe import RequestObserver
    from sardineyard.httpio.exchange import Exchange
    from sardineyard.httpio.messages import HttpRequest

# The number of an attempt with a key; 1 says that the key was never sent before.
ATTEMPT_HEADER = "x-attempt"
_PREFIX = "/services/"


class ServiceFront:
    """Answer calls of plain services."""

    def __init__(self, attempts: Attempts) -> None:
        self._attempts = attempts

    async def handle(
        self,
        request: HttpRequest,
        exchange: Exchange,
        observer: RequestObserver,
        admitted: Admitted,
        directory: Directory,
    ) -> RequestError | None:
        """Run one call; return an error that was not sent yet."""
        name, _, rest = request.target.removeprefix(_PREFIX).partition("/")
        match directory.service(name):
            case Success(service):
                pass
            case Failure(error):
                return error
        repeatable = request.method in service.repeatable_methods
        header = request.headers.get("idempotency-key")
        if not repeatable and not header:
            return RequestError(ErrorKind.KEY_REQUIRED)
        match parse_key(header) if header and not repeatable else Success(None):
            case Success(key):
                pass
            case Failure(error):
                return error
        call = ServiceCall(
            request_id=observer.request_id,
            team=admitted.team.id,
            priority=admitted.priority.name,
            service=ServiceName(name),
            method=request.method,
            path=f"/{rest}",
            body=request.body,
            content_type=request.headers.get("content-type", "application/json"),
            deadline=admitted.deadline,
            fingerprint=fingerprint_of(
                admitted.team.id, f"{request.method} {request.target}", request.body
            ),
            repeatable=repeatable,
            idempotency_key=key.text if key else None,
            first_attempt=request.headers.get(ATTEMPT_HEADER) == "1",
        )
        match await self._attempts.call(call):
            case Success(answer):
                headers = {"content-type": answer.content_type}
                if answer.replayed:
                    headers["idempotency-replayed"] = "true"
                await exchange.send(answer.status, headers, answer.body)
                observer.completed()
            case Failure(error):
                return error
        return None
