"""Tests of the scheduler's slots and deadlines."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from sardineyard.agent.messages import CancelRequest, ReadLoad
from sardineyard.core.errors import ErrorKind
from sardineyard.core.ids import RequestId
from sardineyard.core.mailbox import Reply
from sardineyard.core.requests import CallFailed

if TYPE_CHECKING:
    from collections.abc import Callable

    from sardineyard.core.requests import LoadReport


async def read_load(scheduler: Any) -> LoadReport:
    """Return the load once all earlier messages have been handled."""
    reply: Reply[LoadReport] = Reply()
    scheduler.mailbox.post(ReadLoad(reply))
    return await reply.wait()


def test_call_cancelled_before_its_task_starts_frees_slot(
    make_harness: Callable[[], Any],
) -> None:
    """Guards against a slot that is never released.

    A task that is cancelled before it starts does not run its finally blocks.
    """

    async def run() -> None:
        harness = make_harness()
        for number in range(40):
            harness.submit(f"r{number}")
            # Both messages are queued, so the task is cancelled before it starts.
            harness.scheduler.mailbox.post(CancelRequest(RequestId(f"r{number}")))
        task = asyncio.create_task(harness.scheduler.run())
        await read_load(harness.scheduler)
        await asyncio.sleep(0)
        harness.submit("last")
        await read_load(harness.scheduler)
        load = await read_load(harness.scheduler)
        assert (load.running, load.queued) == (1, 0)
        task.cancel()

    asyncio.run(run())


def test_queued_work_is_refused_when_its_deadline_passes(
    make_harness: Callable[[], Any],
) -> None:
    """Guards against callers that wait for work that can no longer finish in time."""

    async def run() -> None:
        harness = make_harness()
        for number in range(32):
            harness.submit(f"r{number}")
        harness.submit("late", timeout_s=0.05)
        task = asyncio.create_task(harness.scheduler.run())
        async with asyncio.timeout(5.0):
            event = await harness.events.get()
        assert isinstance(event, CallFailed)
        assert event.request_id == "late"
        assert event.error.kind is ErrorKind.DEADLINE_UNREACHABLE
        assert "late" not in harness.runner.started
        task.cancel()

    asyncio.run(run())
