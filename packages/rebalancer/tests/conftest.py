"""Shared fixtures: rebalancers on loopback addresses beside the ranks of a group."""

from __future__ import annotations

import asyncio
import socket
from random import Random
from typing import TYPE_CHECKING

import pytest
from grpclib.server import Server

from sardineyard.catalog.messages import CatalogChanged
from sardineyard.catalog.peers import NewsCodec
from sardineyard.core.address import Address
from sardineyard.core.clock import SystemClock
from sardineyard.core.ids import FailureDomain, RankIndex, ServiceName
from sardineyard.core.mailbox import Mailbox
from sardineyard.core.tasks import TaskSet
from sardineyard.experts.maps import step_skew
from sardineyard.forwarding.config import (
    EngineProfile,
    ForwardingConfig,
    ServiceProfile,
    UpstreamEntry,
    UpstreamPhase,
)
from sardineyard.rebalancer.coordinator import Coordinator
from sardineyard.rebalancer.counts import CountsSocket
from sardineyard.rebalancer.local_rank import LocalRank
from sardineyard.rebalancer.relay import OrderRelay
from sardineyard.rebalancer.service import RankService
from sardineyard.standins.lockstep_group import FakeGroup, FakeRunner
from sardineyard.telemetry.rebalancer_metrics import RebalancerMetrics

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

SERVICE = ServiceName("llm")
# Places on each rank, of which one holds a copy.
PLACES = 3


class LeapingClock(SystemClock):
    """Leap forward as if the processor had been busy meanwhile."""

    def __init__(self) -> None:
        super().__init__()
        self._leapt_s = 0.0

    def leap(self, seconds: float) -> None:
        """Move the time forward."""
        self._leapt_s += seconds

    def now(self) -> float:
        """Return the time in seconds."""
        return super().now() + self._leapt_s


class Rebalancer:
    """Run the tasks of one rebalancer beside a fake rank."""

    def __init__(
        self, group: FakeGroup, rank: int, port: int, clock: SystemClock
    ) -> None:
        self.tasks = TaskSet()
        host = host_of(rank)
        news: Mailbox[object] = Mailbox()
        self._counts = CountsSocket(Address(host, port), news, lambda: [])
        runner = FakeRunner(group, RankIndex(rank))
        local = LocalRank(runner, Address(host, 80), clock, self._counts)
        self._address = Address(host, port)
        self._local = local
        self._relay = OrderRelay(local.mailbox, port)
        service = RankService(local.mailbox, self._relay.mailbox)
        self._server = Server([service], codec=NewsCodec())
        self.coordinator = Coordinator(
            news,
            SERVICE,
            host,
            port,
            local,
            lambda address: FakeRunner(group, rank_of(address.host)),
            clock,
            Random(rank),
            RebalancerMetrics(f"rebalancer-{rank}"),
        )
        news.post(catalog(len(group.ranks)))

    async def start(self) -> None:
        """Start the tasks."""
        await self._server.start(self._address.host, self._address.port)
        await self._counts.start()
        self.tasks.start("local", self._local.run())
        self.tasks.start("relay", self._relay.run())
        self.tasks.start("coordinator", self.coordinator.run())

    async def kill(self) -> None:
        """End the tasks at once."""
        self._server.close()
        self._counts.close()
        await self.tasks.cancel_all()


def host_of(rank: int) -> str:
    """Return the loopback address of a rank."""
    return f"127.0.0.{10 + rank}"


def rank_of(host: str) -> RankIndex:
    """Return the rank at a loopback address."""
    return RankIndex(int(host.rpartition(".")[2]) - 10)


def catalog(ranks: int) -> CatalogChanged:
    """Return the ranks as the catalog lists them."""
    entries = tuple(
        UpstreamEntry(
            f"u{rank}",
            SERVICE,
            host_of(rank),
            80,
            FailureDomain("a"),
            6,
            UpstreamPhase.READY,
        )
        for rank in range(ranks)
    )
    engine = EngineProfile(
        6, 4, 4.5, 1.8, 0.04, 800, 100, 1, 2 * ranks, PLACES, 1, 0.85
    )
    profile = ServiceProfile(SERVICE, 10, engine)
    config = ForwardingConfig(1, (), {SERVICE: profile}, ())
    return CatalogChanged(config, {SERVICE: entries}, 1)


@pytest.fixture
def skew() -> Callable[[FakeGroup], float]:
    """Return a function that gives the skew of the map that a group uses."""

    def measure(group: FakeGroup) -> float:
        placement = group.ranks[0].in_use[1][0]
        return step_skew(placement, group.popularity, [1.0] * len(group.ranks))

    return measure


@pytest.fixture
def until() -> Callable[[Callable[[], bool], float], Awaitable[None]]:
    """Return a function that waits until something holds."""

    async def wait(is_true: Callable[[], bool], seconds: float) -> None:
        async with asyncio.timeout(seconds):
            while not is_true():  # noqa: ASYNC110
                await asyncio.sleep(0.05)

    return wait


@pytest.fixture
def clock() -> LeapingClock:
    """Return the clock of all rebalancers of a test."""
    return LeapingClock()


@pytest.fixture
def run_group(clock: LeapingClock) -> Callable[..., None]:
    """Return a function that runs a test with rebalancers and their ranks."""

    def run(test: Callable[..., Awaitable[None]], hot: list[float]) -> None:
        async def play() -> None:
            with socket.socket() as probe:
                probe.bind(("127.0.0.1", 0))
                port = int(probe.getsockname()[1])
            ranks = len(hot) // 2
            group = FakeGroup(Random(3), clock, ranks)
            group.popularity = hot
            rebalancers = [
                Rebalancer(group, rank, port, clock) for rank in range(ranks)
            ]
            for rebalancer in rebalancers:
                await rebalancer.start()
            steps = asyncio.ensure_future(group.run())
            try:
                await test(group, rebalancers)
            finally:
                steps.cancel()
                for rebalancer in rebalancers:
                    await rebalancer.kill()
            assert group.mixed_steps == 0

        asyncio.run(play())

    return run
