"""Client of the router task, used by the runs of requests."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from sardineyard.core.mailbox import Reply
from sardineyard.entry.messages import AcquireRetry, PickUpstream
from sardineyard.routing.retries import is_retryable

if TYPE_CHECKING:
    from returns.result import Result

    from sardineyard.core.clock import Clock, Deadline
    from sardineyard.core.errors import RequestError
    from sardineyard.core.ids import UpstreamId
    from sardineyard.core.mailbox import Mailbox
    from sardineyard.core.requests import Generation, ServiceCall
    from sardineyard.entry.messages import AttemptEnded, PickedUpstream
    from sardineyard.telemetry.metrics import EntryMetrics

MAX_ATTEMPTS = 4


class RouterClient:
    """Sends queries to the router and waits for the replies."""

    def __init__(
        self, mailbox: Mailbox[Any], clock: Clock, metrics: EntryMetrics
    ) -> None:
        self._clock = clock
        self._mailbox = mailbox
        self._metrics = metrics

    async def pick(
        self, request: Generation | ServiceCall, excluded: frozenset[UpstreamId]
    ) -> Result[PickedUpstream, RequestError]:
        """Query the upstream for one attempt."""
        reply: Reply[Result[PickedUpstream, RequestError]] = Reply()
        self._mailbox.post(PickUpstream(request, reply, excluded))
        return await reply.wait()

    async def may_retry(
        self, cause: RequestError, deadline: Deadline, *, repeatable: bool
    ) -> bool:
        """Acquire a retry if another attempt is safe and useful; return the result."""
        if not is_retryable(
            cause, repeatable=repeatable, clock=self._clock, deadline=deadline
        ):
            return False
        return await self.acquire_retry(cause)

    async def acquire_retry(self, cause: RequestError) -> bool:
        """Acquire one retry from the retry budget; return whether it was granted."""
        reply: Reply[bool] = Reply()
        self._mailbox.post(AcquireRetry(cause, reply))
        granted = await reply.wait()
        if granted:
            self._metrics.count_retry(cause.kind)
        return granted

    def report_attempt(self, attempt: AttemptEnded) -> None:
        """Report the end of an attempt."""
        self._mailbox.offer(attempt)
