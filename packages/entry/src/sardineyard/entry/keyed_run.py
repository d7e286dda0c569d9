"""One call with an idempotency key: only its owner is asked, again where it helps."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from returns.result import Failure, Success

from sardineyard.core.clock import deadline_after, remaining
from sardineyard.core.errors import ErrorKind, Outcome, RequestError
from sardineyard.entry.service_run import ServiceRun

if TYPE_CHECKING:
    from random import Random

    from returns.result import Result

    from sardineyard.core.clock import Clock
    from sardineyard.core.requests import ServiceAnswer, ServiceCall
    from sardineyard.entry.router_client import RouterClient

# An owner that is away for longer has lost its table, and the floor of its successor
# lies above the key, so more waiting would not make the answer more certain.
_OWNER_WAIT_S = 2.0
_FIRST_PAUSE_S = 0.1
_MAX_ATTEMPTS = 6

# The owner may know more when it is asked again; its table prevents a second run.
_ASK_AGAIN = frozenset(
    {
        ErrorKind.NO_UPSTREAM,
        ErrorKind.NOT_OWNER,
        ErrorKind.OWNER_UNAVAILABLE,
        ErrorKind.OWNER_UNCERTAIN,
        ErrorKind.STALE_INCARNATION,
        ErrorKind.LEASE_EXPIRED,
        ErrorKind.UPSTREAM_LOST,
    }
)


class KeyedRun:
    """Run one call with a key at the owner of the key."""

    def __init__(
        self, request: ServiceCall, router: RouterClient, clock: Clock, random: Random
    ) -> None:
        self._request = request
        self._router = router
        self._clock = clock
        self._random = random
        self._run = ServiceRun(request, router, clock)

    async def result(self) -> Result[ServiceAnswer, RequestError]:
        """Return the answer, or an error that is true of every attempt so far."""
        uncertain: RequestError | None = None
        error = RequestError(ErrorKind.OWNER_UNCERTAIN)
        pause_s = _FIRST_PAUSE_S
        for _ in range(_MAX_ATTEMPTS):
            match await self._attempt():
                case Success(answer):
                    return Success(answer)
                case Failure(failed):
                    error = self._of_every_attempt(failed, uncertain)
            # An attempt with an uncertain end may still arrive and run, so a later
            # attempt that was not run says nothing about the request.
            if error.outcome is not Outcome.NOT_RUN:
                uncertain = error
            if not await self._may_ask_again(failed, pause_s):
                break
            await asyncio.sleep(self._random.uniform(pause_s / 2, pause_s))
            pause_s *= 2
        return Failure(uncertain or error)

    async def _attempt(self) -> Result[ServiceAnswer, RequestError]:
        wait_until = min(
            self._request.deadline, deadline_after(self._clock, _OWNER_WAIT_S)
        )
        try:
            async with asyncio.timeout(remaining(self._clock, wait_until)):
                picked = await self._router.pick(self._request, frozenset())
        except TimeoutError:
            return Failure(RequestError(ErrorKind.OWNER_UNAVAILABLE))
        match picked:
            case Success(pick):
                return await self._run.attempt(pick)
            case Failure(error) if error.kind is ErrorKind.OVERLOADED:
                # Said by this entry; an agent says it only when it is certain.
                return Failure(RequestError(ErrorKind.OWNER_UNAVAILABLE, error.detail))
            case Failure(error):
                return Failure(error)
        raise AssertionError("a Result is a Success or a Failure")

    async def _may_ask_again(self, error: RequestError, pause_s: float) -> bool:
        if error.kind not in _ASK_AGAIN:
            return False
        if remaining(self._clock, self._request.deadline) <= pause_s:
            return False
        return await self._router.take_retry(error)

    def _of_every_attempt(
        self, error: RequestError, uncertain: RequestError | None
    ) -> RequestError:
        # The owner did not start this attempt. An earlier one may have run, through
        # this entry or another one, unless the caller says that there was none.
        is_only = self._request.first_attempt and uncertain is None
        kinds = _KINDS_OF_ONLY_ATTEMPT if is_only else _KINDS_OF_LATER_ATTEMPT
        kind = kinds.get(error.kind, error.kind)
        return RequestError(kind, error.detail or error.kind.value)


_KINDS_OF_ONLY_ATTEMPT = {
    ErrorKind.KEY_FORGOTTEN: ErrorKind.KEY_NOT_ACCEPTED,
    ErrorKind.OWNER_UNCERTAIN: ErrorKind.OWNER_UNAVAILABLE,
    ErrorKind.NOT_OWNER: ErrorKind.OWNER_UNAVAILABLE,
}
_KINDS_OF_LATER_ATTEMPT = {
    ErrorKind.OWNER_UNAVAILABLE: ErrorKind.OWNER_UNCERTAIN,
    ErrorKind.QUARANTINED: ErrorKind.OWNER_UNCERTAIN,
}
