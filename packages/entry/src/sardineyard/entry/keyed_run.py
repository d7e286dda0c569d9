"""One call with an idempotency key, sent to and retried at the owner of the key."""

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
    from sardineyard.core.requests import ServiceCall, ServiceResponse
    from sardineyard.entry.router_client import RouterClient

# Time to wait for an unavailable owner. One that is unavailable for longer has lost its
# key table, and the history cutoff of its successor is later than the key, so waiting
# longer would not make the outcome more certain.
_OWNER_WAIT_S = 2.0
_INITIAL_BACKOFF_S = 0.1
_MAX_ATTEMPTS = 6

# A retry at the owner may give a certain outcome; the owner's key table prevents a
# second run.
_RETRYABLE_KINDS = frozenset(
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
    """One call with an idempotency key and its attempts at the owner of the key."""

    def __init__(
        self, request: ServiceCall, router: RouterClient, clock: Clock, random: Random
    ) -> None:
        self._request = request
        self._router = router
        self._clock = clock
        self._random = random
        self._run = ServiceRun(request, router, clock)

    async def result(self) -> Result[ServiceResponse, RequestError]:
        """Run the call; return the response or an error valid for all its attempts."""
        uncertain: RequestError | None = None
        error = RequestError(ErrorKind.OWNER_UNCERTAIN)
        backoff_s = _INITIAL_BACKOFF_S
        for _ in range(_MAX_ATTEMPTS):
            match await self._attempt():
                case Success(response):
                    return Success(response)
                case Failure(attempt_error):
                    error = self._error_for_all_attempts(attempt_error, uncertain)
            # An attempt with an unknown outcome may still reach the owner and run, so
            # "not run" of a later attempt does not apply to the whole call.
            if error.outcome is not Outcome.NOT_RUN:
                uncertain = error
            if not await self._may_retry(attempt_error, backoff_s):
                break
            await asyncio.sleep(self._random.uniform(backoff_s / 2, backoff_s))
            backoff_s *= 2
        return Failure(uncertain or error)

    async def _attempt(self) -> Result[ServiceResponse, RequestError]:
        wait_until = min(
            self._request.deadline, deadline_after(self._clock, _OWNER_WAIT_S)
        )
        try:
            async with asyncio.timeout(remaining(self._clock, wait_until)):
                pick_result = await self._router.pick(self._request, frozenset())
        except TimeoutError:
            return Failure(RequestError(ErrorKind.OWNER_UNAVAILABLE))
        match pick_result:
            case Success(pick):
                return await self._run.attempt(pick)
            case Failure(error) if error.kind is ErrorKind.OVERLOADED:
                # Refused by this entry without a call to the owner. Only a refusal by
                # the agent proves that the call was not run.
                return Failure(RequestError(ErrorKind.OWNER_UNAVAILABLE, error.detail))
            case Failure(error):
                return Failure(error)
        raise AssertionError("a Result is a Success or a Failure")

    async def _may_retry(self, error: RequestError, backoff_s: float) -> bool:
        if error.kind not in _RETRYABLE_KINDS:
            return False
        if remaining(self._clock, self._request.deadline) <= backoff_s:
            return False
        return await self._router.acquire_retry(error)

    def _error_for_all_attempts(
        self, error: RequestError, uncertain: RequestError | None
    ) -> RequestError:
        # "Not run" covers this attempt only. An earlier attempt may have run, through
        # this entry or another one, unless the caller states that there was none.
        is_only_attempt = self._request.first_attempt and uncertain is None
        kinds = (
            _KINDS_FOR_ONLY_ATTEMPT if is_only_attempt else _KINDS_FOR_LATER_ATTEMPTS
        )
        kind = kinds.get(error.kind, error.kind)
        return RequestError(kind, error.detail or error.kind.value)


_KINDS_FOR_ONLY_ATTEMPT = {
    ErrorKind.KEY_FORGOTTEN: ErrorKind.KEY_NOT_ACCEPTED,
    ErrorKind.OWNER_UNCERTAIN: ErrorKind.OWNER_UNAVAILABLE,
    ErrorKind.NOT_OWNER: ErrorKind.OWNER_UNAVAILABLE,
}
_KINDS_FOR_LATER_ATTEMPTS = {
    ErrorKind.OWNER_UNAVAILABLE: ErrorKind.OWNER_UNCERTAIN,
    ErrorKind.QUARANTINED: ErrorKind.OWNER_UNCERTAIN,
}
