"""Questions of a request to the router."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from sardineyard.core.mailbox import Reply
from sardineyard.entry.messages import AskRetry, PickUpstream
from sardineyard.routing.retries import is_retryable

if TYPE_CHECKING:
    from returns.result import Result

    from sardineyard.core.clock import Clock, Deadline
    from sardineyard.core.errors import RequestError
    from sardineyard.core.ids import UpstreamId
    from sardineyard.core.mailbox import Mailbox
    from sardineyard.core.requests import Generation, ServiceCall
    from sardineyard.entry.messages import AttemptEnded, Pick
    from sardineyard.telemetry.metrics import EntryMetrics

MAX_ATTEMPTS = 4


class RouterClient:
    """Ask the router by messages and wait for its replies."""

    def __init__(
        self, mailbox: Mailbox[Any], clock: Clock, metrics: EntryMetrics
    ) -> None:
        self._clock = clock
        self._mailbox = mailbox
        self._metrics = metrics

    async def pick(
        self, request: Generation | ServiceCall, excluded: frozenset[UpstreamId]
    ) -> Result[Pick, RequestError]:
        """Return the upstream for one attempt."""
        reply: Reply[Result[Pick, RequestError]] = Reply()
        self._mailbox.post(PickUpstream(request, reply, excluded))
        return await reply.wait()

    async def may_retry(
        self, cause: RequestError, deadline: Deadline, *, repeatable: bool
    ) -> bool:
        """Return whether another attempt is safe, useful and in the budget."""
        if not is_retryable(
            cause, repeatable=repeatable, clock=self._clock, deadline=deadline
        ):
            return False
        return await self.take_retry(cause)

    async def take_retry(self, cause: RequestError) -> bool:
        """Take one attempt out of the retry budget; return whether there was one."""
        reply: Reply[bool] = Reply()
        self._mailbox.post(AskRetry(cause, reply))
        allowed = await reply.wait()
        if allowed:
            self._metrics.retried(cause.kind)
        return allowed

    def ended(self, attempt: AttemptEnded) -> None:
        """Report how an attempt ended."""
        self._mailbox.offer(attempt)
