"""Running of callers' requests, free of HTTP."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from sardineyard.entry.generation_run import GenerationRun
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
        self._router = RouterClient(router, metrics)
        self._clock = clock

    def generate(self, request: Generation) -> AsyncGenerator[GenerationStep, None]:
        """Return the steps of an answer: tokens, then the end or an error."""
        return GenerationRun(request, self._router, self._clock).steps()

    async def call(self, request: ServiceCall) -> Result[ServiceAnswer, RequestError]:
        """Run one call of a plain service."""
        return await ServiceRun(request, self._router, self._clock).result()
