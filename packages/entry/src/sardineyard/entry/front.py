"""HTTP request handler for callers: authenticates, dispatches and measures."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING
from uuid import uuid4

import msgspec
from returns.result import Failure, Success

from sardineyard.core.errors import ErrorKind, RequestError
from sardineyard.core.ids import RequestId
from sardineyard.daemon.admin import serve_operator_path
from sardineyard.entry.admission import admit
from sardineyard.entry.observe import RequestObserver
from sardineyard.entry.openai import ChatBody, TextBody
from sardineyard.entry.problems import send_problem
from sardineyard.entry.services import ATTEMPT_HEADER
from sardineyard.telemetry.labels import TeamClass

if TYPE_CHECKING:
    from collections.abc import Callable

    from sardineyard.core.clock import Clock
    from sardineyard.core.ids import TeamId
    from sardineyard.daemon.admin import MetricsPage
    from sardineyard.entry.completions import CompletionHandler
    from sardineyard.entry.document_index import DocumentIndex
    from sardineyard.entry.openai import Completion
    from sardineyard.entry.services import ServiceHandler
    from sardineyard.httpio.exchange import Exchange
    from sardineyard.httpio.messages import HttpRequest
    from sardineyard.telemetry.metrics import EntryMetrics
    from sardineyard.telemetry.state import RequestView

_logger = logging.getLogger(__name__)

_COMPLETION_BODIES: dict[str, type[Completion]] = {
    "/v1/chat/completions": ChatBody,
    "/v1/completions": TextBody,
}
_SERVICES_PREFIX = "/services/"
# Method of the connection preface of HTTP/2.
_HTTP2_PREFACE_METHOD = "PRI"


class CallerHandler:
    """Root HTTP handler for the requests of callers."""

    def __init__(
        self,
        document_index: Callable[[], DocumentIndex | None],
        is_draining: Callable[[], bool],
        completions: CompletionHandler,
        services: ServiceHandler,
        metrics: EntryMetrics,
        metrics_page: MetricsPage,
        clock: Clock,
    ) -> None:
        self._document_index = document_index
        self._is_draining = is_draining
        self._completions = completions
        self._services = services
        self._metrics = metrics
        self._metrics_page = metrics_page
        self._clock = clock
        self._observers: dict[RequestId, RequestObserver] = {}
        self._idle = asyncio.Event()
        self._idle.set()

    @property
    def open_requests(self) -> list[RequestId]:
        """Return the ids of the requests in progress."""
        return sorted(self._observers)

    @property
    def request_views(self) -> tuple[RequestView, ...]:
        """Return the requests in progress for the state dump."""
        views = (observer.view() for observer in self._observers.values())
        return tuple(view for view in views if view is not None)

    async def handle(self, request: HttpRequest, exchange: Exchange) -> None:
        """Serve one request of a caller, or a health or metrics request."""
        if await serve_operator_path(
            request, exchange, self._is_ready, None, self._metrics_page
        ):
            return
        request_id = RequestId(uuid4().hex)
        observer = RequestObserver(request_id, self._metrics, self._clock)
        self._observers[request_id] = observer
        self._idle.clear()
        try:
            error = await self._dispatch(request, exchange, observer)
            if error is not None:
                observer.record_error(error)
                _logger.info(
                    "request refused",
                    extra={
                        "event": "request_refused",
                        "request_id": request_id,
                        "error_kind": error.kind.value,
                    },
                )
                await send_problem(exchange, error, request_id)
        finally:
            observer.record_end()
            del self._observers[request_id]
            if not self._observers:
                self._idle.set()

    async def wait_idle(self) -> None:
        """Wait until no request is in progress."""
        await self._idle.wait()

    async def refuse(self, kind: ErrorKind, detail: str, exchange: Exchange) -> None:
        """Respond to a request that could not be parsed."""
        error = RequestError(kind, detail)
        self._metrics.request_started()
        self._metrics.request_ended(None, TeamClass.NONE, error)
        await send_problem(exchange, error)

    def _open_count(self, team: TeamId) -> int:
        return sum(observer.team == team for observer in self._observers.values())

    def _is_ready(self) -> bool:
        return self._document_index() is not None and not self._is_draining()

    async def _dispatch(
        self, request: HttpRequest, exchange: Exchange, observer: RequestObserver
    ) -> RequestError | None:
        if request.method == _HTTP2_PREFACE_METHOD:
            return RequestError(ErrorKind.BAD_REQUEST, "use HTTP/1.1")
        document_index = self._document_index()
        if self._is_draining():
            return _local_refusal(request, ErrorKind.DRAINING)
        if document_index is None:
            return _local_refusal(request, ErrorKind.NOT_READY)
        match admit(request, document_index, self._clock):
            case Success(admitted):
                at_team_limit = (
                    self._open_count(admitted.team.id) >= admitted.team.max_in_flight
                )
                observer.record_admission(admitted)
            case Failure(error):
                return error
        if at_team_limit:
            return _local_refusal(request, ErrorKind.TOO_MANY_REQUESTS)
        path = request.path
        if path in _COMPLETION_BODIES:
            if request.method != "POST":
                return RequestError(ErrorKind.METHOD_NOT_ALLOWED, "use POST")
            return await self._completions.handle(
                request,
                exchange,
                observer,
                admitted,
                document_index,
                _COMPLETION_BODIES[path],
            )
        if path.startswith(_SERVICES_PREFIX):
            return await self._services.handle(
                request, exchange, observer, admitted, document_index
            )
        if path == "/v1/models":
            if request.method != "GET":
                return RequestError(ErrorKind.METHOD_NOT_ALLOWED, "use GET")
            await _send_models(exchange, document_index)
            observer.record_completion()
            return None
        return RequestError(ErrorKind.NOT_FOUND, path)


def _local_refusal(request: HttpRequest, kind: ErrorKind) -> RequestError:
    """Return the error for a request that this entry refuses because of its own state.

    For a retry with an idempotency key the outcome is uncertain, not "not run": an
    earlier attempt may have run the call through another entry.
    """
    is_first = request.headers.get(ATTEMPT_HEADER) == "1"
    if "idempotency-key" in request.headers and not is_first:
        return RequestError(ErrorKind.OWNER_UNCERTAIN, kind.value)
    return RequestError(kind)


async def _send_models(exchange: Exchange, document_index: DocumentIndex) -> None:
    models = [{"id": model, "object": "model"} for model in document_index.models]
    body = msgspec.json.encode({"object": "list", "data": models})
    await exchange.send(200, {"content-type": "application/json"}, body)
