"""Tests of the outcome that an entry reports for all attempts of a keyed call."""

import asyncio
from random import Random

import pytest
from returns.result import Failure, Success

from sardineyard.core.clock import Deadline, SystemClock, deadline_after
from sardineyard.core.errors import ErrorKind, Outcome, RequestError
from sardineyard.core.ids import (
    Fingerprint,
    Incarnation,
    PriorityName,
    RequestId,
    ServiceName,
    TeamId,
    UpstreamId,
)
from sardineyard.core.mailbox import Mailbox
from sardineyard.core.requests import CallFailed, ServiceCall
from sardineyard.entry.keyed_run import KeyedRun
from sardineyard.entry.messages import PickedUpstream, StartRequest

_LOST = ErrorKind.UPSTREAM_LOST
_FORGOTTEN = ErrorKind.KEY_FORGOTTEN
_QUARANTINED = ErrorKind.QUARANTINED


class _Router:
    """Stub router: refuses picks, or picks an owner that fails with the given kinds."""

    def __init__(self, kinds: list[ErrorKind], refuses: bool) -> None:
        self._kinds = iter(kinds)
        self._refuses = refuses
        self.link: Mailbox[object] = Mailbox()

    async def pick(self, request, excluded):
        if self._refuses:
            return Failure(RequestError(next(self._kinds)))
        return Success(PickedUpstream(UpstreamId("a"), Incarnation(1), self.link))

    async def acquire_retry(self, cause: RequestError) -> bool:
        return True

    def report_attempt(self, attempt) -> None:
        pass

    async def serve_owner(self) -> None:
        while True:
            message = await self.link.receive()
            if isinstance(message, StartRequest):
                error = RequestError(next(self._kinds))
                message.events.offer(CallFailed(RequestId("r"), error))


def _call(deadline: Deadline, first: bool) -> ServiceCall:
    return ServiceCall(
        RequestId("r"),
        TeamId("team"),
        PriorityName("urgent"),
        ServiceName("booking"),
        "POST",
        "/",
        b"",
        deadline,
        Fingerprint("f"),
        repeatable=False,
        idempotency_key="key",
        first_attempt=first,
    )


@pytest.mark.parametrize(
    ("kinds", "refuses", "first", "expected"),
    [
        ([_FORGOTTEN], False, False, Outcome.UNKNOWN),
        ([_FORGOTTEN], False, True, Outcome.NOT_RUN),
        # The first attempt of this entry may still reach the owner and run.
        ([_LOST, _FORGOTTEN], False, True, Outcome.UNKNOWN),
        (
            [_LOST, ErrorKind.STALE_INCARNATION, _QUARANTINED],
            False,
            True,
            Outcome.UNKNOWN,
        ),
        ([_QUARANTINED], True, False, Outcome.UNKNOWN),
        ([_QUARANTINED], True, True, Outcome.NOT_RUN),
    ],
)
def test_not_run_is_reported_only_when_no_attempt_can_have_run(
    kinds, refuses, first, expected
) -> None:
    """Guards against reporting "not run" for a key that an attempt may have run."""

    async def scenario() -> RequestError:
        clock = SystemClock()
        router = _Router(kinds, refuses)
        owner = asyncio.create_task(router.serve_owner())
        call = _call(deadline_after(clock, 5.0), first)
        result = await KeyedRun(call, router, clock, Random(0)).result()
        owner.cancel()
        return result.failure()

    assert asyncio.run(scenario()).outcome is expected
