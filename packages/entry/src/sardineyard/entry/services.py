"""Calls of plain services."""

from __future__ import annotations

from typing import TYPE_CHECKING

from returns.result import Failure, Success

from sardineyard.core.errors import ErrorKind, RequestError
from sardineyard.core.ids import ServiceName
from sardineyard.core.requests import ServiceCall
from sardineyard.entry.completions import fingerprint_of

if TYPE_CHECKING:
    from sardineyard.entry.admission import Admitted
    from sardineyard.entry.attempts import Attempts
    from sardineyard.entry.directory import Directory
    from sardineyard.entry.observe import RequestObserver
    from sardineyard.httpio.exchange import Exchange
    from sardineyard.httpio.messages import HttpRequest

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
        key = request.headers.get("idempotency-key")
        if not repeatable and not key:
            return RequestError(ErrorKind.KEY_REQUIRED)
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
            idempotency_key=None if repeatable else key,
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
