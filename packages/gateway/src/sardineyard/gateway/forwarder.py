"""Handling of one request of a caller, from its arrival to the final response."""

from __future__ import annotations

import logging
from itertools import count
from typing import TYPE_CHECKING

from returns.result import Failure, Success

from sardineyard.core.clock import NO_DEADLINE
from sardineyard.core.errors import ErrorKind, RequestError
from sardineyard.forwarding.admission import EarlierAttemptEstimator, resolve
from sardineyard.forwarding.config import RetryPolicy
from sardineyard.gateway.context import ResponseDeliveryError
from sardineyard.gateway.messages import RequestArrived
from sardineyard.gateway.refusals import send_error_response
from sardineyard.gateway.run import RequestHandler
from sardineyard.httpio.fields import find

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from returns.result import Result

    from sardineyard.core.clock import Deadline
    from sardineyard.core.ids import RequestId
    from sardineyard.forwarding.admission import Admitted
    from sardineyard.forwarding.config import ForwardingConfig
    from sardineyard.forwarding.messages import RequestMetadata
    from sardineyard.gateway.environment import Environment
    from sardineyard.httpio.acceptor import ResponseWriter
    from sardineyard.httpio.fields import HeaderList
    from sardineyard.httpio.request_reader import IncomingRequest

_logger = logging.getLogger(__name__)

# Retry-After in seconds while this process has no configuration.
_NOT_READY_RETRY_S = 0.5
# Retry-After in seconds while this process stops: other gateways serve the retry.
_STOPPING_RETRY_S = 0.05
# Retry-After in seconds if connections or the memory for bodies are used up, and the
# fraction of it by which callers return later, so that they do not all return at once.
# An upload of the largest size takes about as long while others share the link.
_EXHAUSTED_RETRY_S = 1.0
_RETURN_SPREAD = 0.5
_RETRY_AFTER_S = {
    ErrorKind.NOT_READY: _NOT_READY_RETRY_S,
    ErrorKind.DRAINING: _STOPPING_RETRY_S,
}


class Forwarder:
    """Handles requests of callers: resolves each and forwards it to an upstream."""

    def __init__(
        self,
        config: Callable[[], ForwardingConfig | None],
        environment: Environment,
        rng: Random,
    ) -> None:
        self._config = config
        self._env = environment
        self._rng = rng
        self._earlier_attempts = EarlierAttemptEstimator()
        self._request_numbers = count(1)
        self._open_requests: dict[int, RequestId] = {}
        self._handlers: set[RequestHandler] = set()
        self._stop_deadline = NO_DEADLINE

    @property
    def open_requests(self) -> list[RequestId]:
        """Return the ids of the requests in progress."""
        return sorted(self._open_requests.values())

    def end_requests_by(self, deadline: Deadline) -> None:
        """Answer all requests by a deadline, which a stop of this process sets."""
        self._stop_deadline = deadline
        for handler in self._handlers:
            handler.end_by(deadline)

    async def handle(
        self, request: IncomingRequest, response_writer: ResponseWriter
    ) -> None:
        """Handle one request and send its response."""
        request_metadata = self._env.codec.read_request(request.headers)
        number = next(self._request_numbers)
        self._open_requests[number] = request_metadata.request_id
        self._env.metrics.request_started()
        error: RequestError | None = RequestError(ErrorKind.CANCELLED)
        priority = None
        try:
            match self._resolve(request, request_metadata):
                case Success(admitted):
                    priority = admitted.priority
                    error = await self._run(request, response_writer, admitted)
                case Failure(refusal):
                    error = refusal
                    await self._refuse(response_writer, request_metadata, refusal)
        except ResponseDeliveryError as delivery_error:
            error = RequestError(ErrorKind.CANCELLED, str(delivery_error))
        finally:
            del self._open_requests[number]
            self._env.metrics.request_ended(priority, error.kind if error else None)
            self._log_end(request, request_metadata, error)

    async def refuse(
        self,
        kind: ErrorKind,
        detail: str,
        headers: HeaderList,
        response_writer: ResponseWriter,
    ) -> None:
        """Send the error response for a request that could not be read."""
        self._env.metrics.request_started()
        self._env.metrics.request_ended(None, kind)
        request_metadata = self._env.codec.read_request(headers)
        _logger.warning(
            "request could not be read",
            extra={
                "event": "request_unreadable",
                "request_id": request_metadata.request_id,
                "error_kind": kind.value,
                "reason": detail,
            },
        )
        await self._refuse(
            response_writer, request_metadata, RequestError(kind, detail)
        )

    def _resolve(
        self, request: IncomingRequest, request_metadata: RequestMetadata
    ) -> Result[Admitted, RequestError]:
        host = find(request.headers, b"host").decode("latin-1")
        return resolve(
            self._config(),
            host,
            request.path,
            request_metadata,
            request.arrived,
            self._rng,
            self._earlier_attempts,
        )

    async def _run(
        self,
        request: IncomingRequest,
        response_writer: ResponseWriter,
        admitted: Admitted,
    ) -> RequestError | None:
        if self._is_too_late(admitted):
            error = RequestError(ErrorKind.DRAINING)
            await self._refuse(response_writer, admitted.metadata, error)
            return error
        self._env.dispatcher.post(RequestArrived(admitted.service))
        handler = RequestHandler(request, response_writer, admitted, self._env)
        handler.end_by(self._stop_deadline)
        self._handlers.add(handler)
        try:
            return await handler.serve()
        finally:
            self._handlers.discard(handler)

    def _is_too_late(self, admitted: Admitted) -> bool:
        """Return whether a stop could cut a request that must not be repeated."""
        is_at_most_once = admitted.route.retry_policy is RetryPolicy.AT_MOST_ONCE
        return is_at_most_once and admitted.deadline > self._stop_deadline

    async def _refuse(
        self,
        response_writer: ResponseWriter,
        request_metadata: RequestMetadata,
        error: RequestError,
    ) -> None:
        retry_after_s = _RETRY_AFTER_S.get(error.kind)
        if error.kind is ErrorKind.OVERLOADED:
            spread = 1.0 + _RETURN_SPREAD * self._rng.random()
            retry_after_s = _EXHAUSTED_RETRY_S * spread
        headers = self._env.codec.refusal_headers(
            request_metadata.request_id, retry_after_s
        )
        await send_error_response(response_writer, error, headers)

    def _log_end(
        self,
        request: IncomingRequest,
        request_metadata: RequestMetadata,
        error: RequestError | None,
    ) -> None:
        config = self._config()
        level = logging.INFO if error is None else logging.WARNING
        _logger.log(
            level,
            "request ended",
            extra={
                "event": "request_ended" if error is None else "request_failed",
                "request_id": request_metadata.request_id,
                "error_kind": error.kind.value if error else None,
                "detail": error.detail if error else "",
                "path": request.path,
                "config_version": config.version if config else None,
                "total_ms": round((self._env.clock.now() - request.arrived) * 1000, 1),
            },
        )
