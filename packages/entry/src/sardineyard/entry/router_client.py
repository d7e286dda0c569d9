"""Questions of a request to the router."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from sardineyard.core.errors import ErrorKind
from sardineyard.core.mailbox import Reply
from sardineyard.entry.messages import AskRetry, PickUpstream

if TYPE_CHECKING:
    from returns.result import Result

    from sardineyard.core.errors import RequestError
    from sardineyard.core.ids import UpstreamId
    from sardineyard.core.mailbox import Mailbox
    from sardineyard.core.requests import Generation, ServiceCall
    from sardineyard.entry.messages import AttemptEnded, Pick
    from sardineyard.telemetry.metrics import EntryMetrics

MAX_ATTEMPTS = 4

# Another upstream may answer these although this one did not.
OTHER_UPSTREAM_MAY_HELP = frozenset(
    {
        ErrorKind.NO_UPSTREAM,
        ErrorKind.DRAINING,
        ErrorKind.OVERLOADED,
        ErrorKind.DEADLINE_UNREACHABLE,
        ErrorKind.STALE_INCARNATION,
        ErrorKind.UPSTREAM_LOST,
        ErrorKind.UPSTREAM_PROTOCOL,
    }
)


class RouterClient:
    """Ask the router by messages and wait for its replies."""

    def __init__(self, mailbox: Mailbox[Any], metrics: EntryMetrics) -> None:
        self._mailbox = mailbox
        self._metrics = metrics

    async def pick(
        self, request: Generation | ServiceCall, excluded: frozenset[UpstreamId]
    ) -> Result[Pick, RequestError]:
        """Return the upstream for one attempt."""
        reply: Reply[Result[Pick, RequestError]] = Reply()
        self._mailbox.post(PickUpstream(request, reply, excluded))
        return await reply.wait()

    async def may_retry(self, cause: RequestError) -> bool:
        """Return whether the retry budget allows another attempt after an error."""
        reply: Reply[bool] = Reply()
        self._mailbox.post(AskRetry(reply))
        allowed = await reply.wait()
        if allowed:
            self._metrics.retried(cause.kind)
        return allowed

    def ended(self, attempt: AttemptEnded) -> None:
        """Report how an attempt ended."""
        self._mailbox.offer(attempt)
