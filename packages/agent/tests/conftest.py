"""Fixtures for the tests of the agent."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from random import Random
from typing import TYPE_CHECKING, Any

import pytest

from sardineyard.agent.group_wire import order_to_wire, reply_from_wire
from sardineyard.agent.messages import SessionId, Submit
from sardineyard.agent.scheduler import Scheduler
from sardineyard.core.clock import Deadline, SystemClock
from sardineyard.core.ids import (
    Fingerprint,
    GroupId,
    Incarnation,
    ModelName,
    PriorityName,
    ProcessId,
    RequestId,
    StepNumber,
    TeamId,
    UpstreamId,
)
from sardineyard.core.requests import Generation, GenerationEnd
from sardineyard.core.states import FinishReason, ProcessRole
from sardineyard.experts.coordinator import Coordinator, Phase
from sardineyard.experts.orders import OrderReply, Refusal
from sardineyard.runner.execution import execute
from sardineyard.standins.fleet import FLEET_KEY
from sardineyard.standins.group_fleet import GROUP, GroupFleet
from sardineyard.telemetry.metrics import AgentMetrics
from sardineyard.wire.credentials import Caller, Credentials
from sardineyard.wire.dialer import Dialer
from sardineyard.wire.session_grpc import AgentStub

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator, Awaitable, Callable
    from pathlib import Path

    from sardineyard.core.requests import CallEvent
    from sardineyard.standins.group_fleet import GroupSpec


@dataclass
class BlockedRunner:
    """Runner whose calls do not end until the test releases them."""

    release: asyncio.Event = field(default_factory=asyncio.Event)
    started: list[str] = field(default_factory=list)


@execute.register(BlockedRunner)
async def _execute(
    runner: BlockedRunner, request: Generation
) -> AsyncGenerator[CallEvent, None]:
    runner.started.append(request.request_id)
    await runner.release.wait()
    yield GenerationEnd(request.request_id, 0, FinishReason.STOP)


@dataclass
class SchedulerHarness:
    """Scheduler with a blocked runner; records the events of all calls."""

    scheduler: Scheduler
    runner: BlockedRunner
    events: asyncio.Queue[CallEvent]

    def offer(self, message: CallEvent) -> bool:
        """Record an event of a call."""
        self.events.put_nowait(message)
        return True

    def submit(self, name: str, timeout_s: float = 60.0) -> None:
        """Submit one generation request."""
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
def make_harness() -> type[SchedulerHarness]:
    """Return a function that creates a harness inside a running event loop."""

    def make() -> SchedulerHarness:
        runner = BlockedRunner()
        scheduler = Scheduler(
            UpstreamId("u"),
            Incarnation(1),
            runner,  # type: ignore[arg-type]
            SystemClock(),
            AgentMetrics("agent"),
        )
        return SchedulerHarness(scheduler, runner, asyncio.Queue())

    return make  # type: ignore[return-value]


@pytest.fixture
def run_group(tmp_path: Path) -> Callable[..., Any]:
    """Return a function that runs a scenario on a group and returns the ranks' record.

    It fails if any step ran with two different maps.
    """

    def run(
        spec: GroupSpec, scenario: Callable[[GroupFleet], Awaitable[Any]]
    ) -> dict[str, Any]:
        async def start_and_run() -> dict[str, Any]:
            async with asyncio.timeout(60.0), GroupFleet(spec, tmp_path) as fleet:
                await fleet.wait_for_record(lambda record: record["steps"] > 0)
                await fleet.control(**spec.control)
                await scenario(fleet)
                return await fleet.ranks(last=300)

        record = asyncio.run(start_and_run())
        assert record["two_maps"] == []
        return record

    return run


@pytest.fixture
def competing_coordinator() -> Callable[..., Awaitable[int]]:
    """Return a function that runs a second coordinator, which proposes rotated maps.

    It returns the number of maps that it committed.
    """

    async def run(fleet: GroupFleet, sender: str, rounds: int) -> int:
        members = [UpstreamId(name) for name in fleet.model_upstreams]
        addresses = [fleet.ports[name].peer for name in fleet.agents]
        caller = Caller(ProcessId("rival"), ProcessRole.AGENT)
        dialer = Dialer(Credentials(caller, FLEET_KEY), SystemClock())
        channels = {
            member: dialer.open(address)
            for member, address in zip(members, addresses, strict=True)
        }
        coordinator = Coordinator(members, Random(1))

        async def send(member: UpstreamId, order: Any) -> OrderReply:
            message = order_to_wire(order, GroupId(GROUP), UpstreamId(sender))
            reply = await AgentStub(channels[member]).Order(message, timeout=5.0)
            refusal, report = reply_from_wire(reply)
            assert refusal is not Refusal.NOT_A_MEMBER, refusal.value
            return OrderReply(order, refusal, report and report.state)

        async def exchange(orders: dict[UpstreamId, Any]) -> None:
            while orders:
                replies = await asyncio.gather(
                    *(send(member, order) for member, order in orders.items())
                )
                sent, orders = orders, {}
                for member, reply in zip(sent, replies, strict=True):
                    orders |= coordinator.receive(member, reply)

        committed = 0
        for _ in range(rounds):
            await exchange(coordinator.begin())
            states = coordinator.states.values()
            if coordinator.phase is not Phase.READY or any(s.decided for s in states):
                continue
            ranks = next(s.in_use.ranks for s in states if s.in_use is not None)
            step = StepNumber(max(state.step for state in states) + 3)
            await exchange(coordinator.propose((*ranks[1:], ranks[0]), step))
            committed += coordinator.phase is Phase.COMMITTED
        for channel in channels.values():
            channel.close()
        return committed

    return run
