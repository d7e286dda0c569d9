"""Tests of the scheduler."""

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
    """Return the load after all earlier messages were handled."""
    reply: Reply[LoadReport] = Reply()
    scheduler.mailbox.post(ReadLoad(reply))
    return await reply.wait()


def test_a_call_cancelled_before_its_first_step_frees_its_slot(
    make_bench: Callable[[], Any],
) -> None:
    """Guards against slots that stay taken, since such a task runs no finally block."""

    async def run() -> None:
        bench = make_bench()
        for number in range(40):
            bench.submit(f"r{number}")
            # Both messages wait, so the task has not run when it is cancelled.
            bench.scheduler.mailbox.post(CancelRequest(RequestId(f"r{number}")))
        task = asyncio.create_task(bench.scheduler.run())
        await read_load(bench.scheduler)
        await asyncio.sleep(0)
        bench.submit("last")
        await read_load(bench.scheduler)
        load = await read_load(bench.scheduler)
        assert (load.running, load.queued) == (1, 0)
        task.cancel()

    asyncio.run(run())


def test_queued_work_is_refused_when_its_deadline_passes(
    make_bench: Callable[[], Any],
) -> None:
    """Guards against callers that wait for work which can no longer be of use."""

    async def run() -> None:
        bench = make_bench()
        for number in range(32):
            bench.submit(f"r{number}")
        bench.submit("late", timeout_s=0.05)
        task = asyncio.create_task(bench.scheduler.run())
        async with asyncio.timeout(5.0):
            event = await bench.events.get()
        assert isinstance(event, CallFailed)
        assert event.request_id == "late"
        assert event.error.kind is ErrorKind.DEADLINE_UNREACHABLE
        assert "late" not in bench.runner.started
        task.cancel()

    asyncio.run(run())
