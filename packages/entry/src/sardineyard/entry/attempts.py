"""Running of callers' requests, free of HTTP."""

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
    from sardineyard.core.requests import Generation, ServiceAnswer, ServiceCall
    from sardineyard.entry.generation_run import GenerationStep
    from sardineyard.telemetry.metrics import EntryMetrics


class Attempts:
    """Start the run of each request."""

    def __init__(
        self, router: Mailbox[Any], clock: Clock, metrics: EntryMetrics
    ) -> None:
        self._router = RouterClient(router, clock, metrics)
        self._clock = clock
        self._random = Random()

    def generate(self, request: Generation) -> AsyncGenerator[GenerationStep, None]:
        """Return the steps of an answer: tokens, then the end or an error."""
        return GenerationRun(request, self._router, self._clock).steps()

    async def call(self, request: ServiceCall) -> Result[ServiceAnswer, RequestError]:
        """Run one call of a plain service."""
        if request.idempotency_key is not None:
            run = KeyedRun(request, self._router, self._clock, self._random)
            return await run.result()
        return await ServiceRun(request, self._router, self._clock).result()
