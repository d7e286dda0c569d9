"""One request of a caller: from its arrival to its final answer."""

from __future__ import annotations

import logging
from itertools import count
from typing import TYPE_CHECKING

from returns.result import Failure, Success

from sardineyard.core.errors import ErrorKind, RequestError
from sardineyard.core.ids import RequestId
from sardineyard.forwarding.admission import Patience, resolve
from sardineyard.forwarding.messages import RequestFacts
from sardineyard.gateway.call import CallerGoneError
from sardineyard.gateway.messages import RequestArrived
from sardineyard.gateway.refusals import send_refusal
from sardineyard.gateway.run import RequestRun
from sardineyard.httpio.fields import find

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from returns.result import Result

    from sardineyard.forwarding.admission import Admitted
    from sardineyard.forwarding.config import ForwardingConfig
    from sardineyard.gateway.environment import Environment
    from sardineyard.httpio.acceptor import Answer
    from sardineyard.httpio.request_reader import IncomingRequest

_logger = logging.getLogger(__name__)

# Seconds after which a caller may come back when this process has no configuration.
_NOT_READY_RETRY_S = 0.5


class Forwarder:
    """Answer the requests of callers."""

    def __init__(
        self,
        config: Callable[[], ForwardingConfig | None],
        environment: Environment,
        rng: Random,
    ) -> None:
        self._config = config
        self._env = environment
        self._rng = rng
        self._patience = Patience()
        self._numbers = count(1)
        self._open: dict[int, RequestId] = {}

    @property
    def open_requests(self) -> list[RequestId]:
        """Return the ids of the requests in progress."""
        return sorted(self._open.values())

    async def handle(self, request: IncomingRequest, answer: Answer) -> None:
        """Answer one request."""
        facts = self._env.codec.read_request(request.headers)
        number = next(self._numbers)
        self._open[number] = facts.request_id
        self._env.metrics.request_started()
        error: RequestError | None = RequestError(ErrorKind.CANCELLED)
        priority = None
        try:
            match self._resolve(request, facts):
                case Success(admitted):
                    priority = admitted.priority
                    error = await self._run(request, answer, admitted)
                case Failure(refusal):
                    error = refusal
                    await self._refuse(answer, facts, refusal)
        except CallerGoneError as gone:
            error = RequestError(ErrorKind.CANCELLED, str(gone))
        finally:
            del self._open[number]
            self._env.metrics.request_ended(priority, error.kind if error else None)
            self._log_end(request, facts, error)

    async def refuse(self, kind: ErrorKind, detail: str, answer: Answer) -> None:
        """Answer a request that could not be read."""
        self._env.metrics.request_started()
        self._env.metrics.request_ended(None, kind)
        facts = RequestFacts(RequestId(""))
        _logger.warning(
            "a request could not be read",
            extra={
                "event": "request_unreadable",
                "error_kind": kind.value,
                "reason": detail,
            },
        )
        await self._refuse(answer, facts, RequestError(kind, detail))

    def _resolve(
        self, request: IncomingRequest, facts: RequestFacts
    ) -> Result[Admitted, RequestError]:
        host = find(request.headers, b"host").decode("latin-1")
        return resolve(
            self._config(),
            host,
            request.path,
            facts,
            request.arrived,
            self._rng,
            self._patience,
        )

    async def _run(
        self, request: IncomingRequest, answer: Answer, admitted: Admitted
    ) -> RequestError | None:
        self._env.dispatcher.post(RequestArrived(admitted.service))
        run = RequestRun(request, answer, admitted, self._env)
        return await run.serve()

    async def _refuse(
        self, answer: Answer, facts: RequestFacts, error: RequestError
    ) -> None:
        retry_after_s = (
            _NOT_READY_RETRY_S if error.kind is ErrorKind.NOT_READY else None
        )
        headers = self._env.codec.refusal_headers(facts.request_id, retry_after_s)
        await send_refusal(answer, error, headers)

    def _log_end(
        self,
        request: IncomingRequest,
        facts: RequestFacts,
        error: RequestError | None,
    ) -> None:
        config = self._config()
        level = logging.INFO if error is None else logging.WARNING
        _logger.log(
            level,
            "a request ended",
            extra={
                "event": "request_ended" if error is None else "request_failed",
                "request_id": facts.request_id,
                "error_kind": error.kind.value if error else None,
                "detail": error.detail if error else "",
                "path": request.path,
                "config_version": config.version if config else None,
                "total_ms": round((self._env.clock.now() - request.arrived) * 1000, 1),
            },
        )
