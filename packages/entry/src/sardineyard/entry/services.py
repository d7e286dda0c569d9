"""Calls of plain services: checks the idempotency key and sends the response."""

from __future__ import annotations

from typing import TYPE_CHECKING

from returns.result import Failure, Success

from sardineyard.core.errors import ErrorKind, RequestError
from sardineyard.core.ids import ServiceName
from sardineyard.core.requests import ServiceCall
from sardineyard.entry.completions import request_fingerprint
from sardineyard.idempotency.keys import parse_key

if TYPE_CHECKING:
    from sardineyard.entry.admission import AdmittedRequest
    from sardineyard.entry.document_index import DocumentIndex
    from sardineyard.entry.observe import RequestObserver
    from sardineyard.entry.request_executor import RequestExecutor
    from sardineyard.httpio.exchange import Exchange
    from sardineyard.httpio.messages import HttpRequest

# Attempt number of a call with an idempotency key; 1 means that the key is new.
ATTEMPT_HEADER = "x-attempt"
_PREFIX = "/services/"


class ServiceHandler:
    """HTTP handler for calls of plain services."""

    def __init__(self, executor: RequestExecutor) -> None:
        self._executor = executor

    async def handle(
        self,
        request: HttpRequest,
        exchange: Exchange,
        observer: RequestObserver,
        admitted: AdmittedRequest,
        document_index: DocumentIndex,
    ) -> RequestError | None:
        """Serve one call; return an error that is still to be sent."""
        name, _, rest = request.target.removeprefix(_PREFIX).partition("/")
        match document_index.service(name):
            case Success(service):
                pass
            case Failure(error):
                return error
        repeatable = request.method in service.repeatable_methods
        key_header = request.headers.get("idempotency-key")
        if not repeatable and not key_header:
            return RequestError(ErrorKind.KEY_REQUIRED)
        match parse_key(key_header) if key_header and not repeatable else Success(None):
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
            fingerprint=request_fingerprint(
                admitted.team.id, f"{request.method} {request.target}", request.body
            ),
            repeatable=repeatable,
            idempotency_key=key.text if key else None,
            first_attempt=request.headers.get(ATTEMPT_HEADER) == "1",
        )
        match await self._executor.call(call):
            case Success(response):
                headers = {"content-type": response.content_type}
                if response.replayed:
                    headers["idempotency-replayed"] = "true"
                await exchange.send(response.status, headers, response.body)
                observer.record_completion()
            case Failure(error):
                return error
        return None
