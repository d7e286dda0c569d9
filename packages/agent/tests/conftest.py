"""Fixtures of the agent tests."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import pytest

from sardineyard.agent.messages import SessionId, Submit
from sardineyard.agent.scheduler import Scheduler
from sardineyard.core.clock import Deadline, SystemClock
from sardineyard.core.ids import (
    Fingerprint,
    Incarnation,
    ModelName,
    PriorityName,
    RequestId,
    TeamId,
    UpstreamId,
)
from sardineyard.core.requests import Generation, GenerationEnd
from sardineyard.core.states import FinishReason
from sardineyard.runner.kinds import execute
from sardineyard.telemetry.metrics import AgentMetrics

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator

    from sardineyard.core.requests import CallEvent


@dataclass
class HeldRunner:
    """Keep every call open until the test lets it end."""

    release: asyncio.Event = field(default_factory=asyncio.Event)
    started: list[str] = field(default_factory=list)


@execute.register(HeldRunner)
async def _execute(
    runner: HeldRunner, request: Generation
) -> AsyncGenerator[CallEvent, None]:
    runner.started.append(request.request_id)
    await runner.release.wait()
    yield GenerationEnd(request.request_id, 0, FinishReason.STOP)


@dataclass
class Bench:
    """Hold a scheduler, its runner and the events of its calls."""

    scheduler: Scheduler
    runner: HeldRunner
    events: asyncio.Queue[CallEvent]

    def offer(self, message: CallEvent) -> bool:
        """Take an event of a call."""
        self.events.put_nowait(message)
        return True

    def submit(self, name: str, timeout_s: float = 60.0) -> None:
        """Submit one generation."""
        request = Generation(
            RequestId(name),
            TeamId("a"),
            PriorityName("urgent"),
            ModelName("m"),
            "p",
            5,
            Deadline(SystemClock().now() + timeout_s),
            Fingerprint(name),
        )
        self.scheduler.mailbox.post(Submit(request, self, SessionId(1)))


@pytest.fixture
def make_bench() -> type[Bench]:
    """Return a function that creates a scheduler; call it inside a loop."""

    def make() -> Bench:
        runner = HeldRunner()
        scheduler = Scheduler(
            UpstreamId("u"),
            Incarnation(1),
            runner,  # type: ignore[arg-type]
            SystemClock(),
            AgentMetrics("agent"),
        )
        return Bench(scheduler, runner, asyncio.Queue())

    return make  # type: ignore[return-value]
