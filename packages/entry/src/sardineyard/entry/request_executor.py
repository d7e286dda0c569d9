"""Execution of callers' requests, independent of HTTP."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING, Any

from sardineyard.entry.generation_run import GenerationRun
from sardineyard.entry.keyed_run import KeyedRun
from sardineyard.entry.router_client import RouterClient
from sardineyard.entry.service_run import ServiceRun

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator

    from returns.result import Result

    from sardineyard.core.clock import Clock
    from sardineyard.core.errors import RequestError
    from sardineyard.core.mailbox import Mailbox
    from sardineyard.core.requests import Generation, ServiceCall, ServiceResponse
    from sardineyard.entry.generation_run import GenerationUpdate
    from sardineyard.telemetry.metrics import EntryMetrics


class RequestExecutor:
    """Runs each request with the retry rules of its kind."""

    def __init__(
        self, router: Mailbox[Any], clock: Clock, metrics: EntryMetrics
    ) -> None:
        self._router_client = RouterClient(router, clock, metrics)
        self._clock = clock
        self._random = Random()

    def generate(self, request: Generation) -> AsyncGenerator[GenerationUpdate, None]:
        """Return the updates of a generation: tokens, then its end or an error."""
        return GenerationRun(request, self._router_client, self._clock).updates()

    async def call(self, request: ServiceCall) -> Result[ServiceResponse, RequestError]:
        """Run one call of a plain service, with or without an idempotency key."""
        if request.idempotency_key is not None:
            run = KeyedRun(request, self._router_client, self._clock, self._random)
            return await run.result()
        return await ServiceRun(request, self._router_client, self._clock).result()
