"""One call of a plain service, retried at other upstreams where that is safe."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import TYPE_CHECKING

from returns.result import Failure, Success

from sardineyard.core.clock import remaining
from sardineyard.core.errors import ErrorKind, RequestError
from sardineyard.core.mailbox import Mailbox
from sardineyard.core.requests import CallFailed, ServiceResponse
from sardineyard.entry.messages import AttemptEnded, CancelRequest, StartRequest
from sardineyard.entry.router_client import MAX_ATTEMPTS

if TYPE_CHECKING:
    from returns.result import Result

    from sardineyard.core.clock import Clock
    from sardineyard.core.ids import UpstreamId
    from sardineyard.core.requests import CallEvent, ServiceCall
    from sardineyard.entry.messages import PickedUpstream
    from sardineyard.entry.router_client import RouterClient


class ServiceRun:
    """One call of a plain service and its attempts."""

    def __init__(
        self, request: ServiceCall, router: RouterClient, clock: Clock
    ) -> None:
        self._request = request
        self._router = router
        self._clock = clock

    async def result(self) -> Result[ServiceResponse, RequestError]:
        """Run the call; return the response or the error of the last attempt."""
        excluded: frozenset[UpstreamId] = frozenset()
        last_result: Result[ServiceResponse, RequestError] = Failure(
            RequestError(ErrorKind.NO_UPSTREAM)
        )
        for _ in range(MAX_ATTEMPTS):
            match await self._router.pick(self._request, excluded):
                case Success(pick):
                    last_result = await self.attempt(pick)
                case Failure(error):
                    return last_result if excluded else Failure(error)
            match last_result:
                case Failure(error) if await self._may_retry(error):
                    excluded |= {pick.upstream}
                case _:
                    break
        return last_result

    async def attempt(
        self, pick: PickedUpstream
    ) -> Result[ServiceResponse, RequestError]:
        """Run one attempt at the picked upstream."""
        request = replace(self._request, incarnation=pick.incarnation)
        events: Mailbox[CallEvent] = Mailbox()
        started_at = self._clock.now()
        pick.link.post(StartRequest(request, events))
        error: RequestError | None = RequestError(ErrorKind.CANCELLED)
        try:
            async with asyncio.timeout(remaining(self._clock, request.deadline)):
                event = await events.receive()
            if isinstance(event, ServiceResponse):
                error = None
                return Success(event)
            if isinstance(event, CallFailed):
                error = event.error
            else:
                error = RequestError(ErrorKind.UPSTREAM_PROTOCOL)
        except TimeoutError:
            error = RequestError(ErrorKind.DEADLINE_EXCEEDED)
        finally:
            if error is not None:
                pick.link.offer(CancelRequest(request.request_id))
            duration_s = self._clock.now() - started_at
            self._router.report_attempt(
                AttemptEnded(
                    pick.upstream, request, error, service_s=duration_s, tokens=1
                )
            )
        return Failure(error)

    async def _may_retry(self, error: RequestError) -> bool:
        request = self._request
        return await self._router.may_retry(
            error, request.deadline, repeatable=request.repeatable
        )
