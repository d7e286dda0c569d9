"""Shared fixtures: rebalancers on loopback addresses for the ranks of a fake group."""

from __future__ import annotations

import asyncio
import socket
from random import Random
from typing import TYPE_CHECKING

import pytest
from grpclib.server import Server

from sardineyard.catalog.messages import CatalogChanged
from sardineyard.catalog.peers import MessagePackCodec
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
from sardineyard.forwarding.store import BEGINNING
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
# Expert slots of each rank: two for its experts in the first map, one to spare.
EXPERT_SLOTS_PER_RANK = 3


class SkippingClock(SystemClock):
    """System clock that can skip time, as if the process had been blocked meanwhile."""

    def __init__(self) -> None:
        super().__init__()
        self._skipped_s = 0.0

    def skip(self, seconds: float) -> None:
        """Move the clock forward by the given number of seconds."""
        self._skipped_s += seconds

    def now(self) -> float:
        """Return the time in seconds."""
        return super().now() + self._skipped_s


class Rebalancer:
    """Tasks of one rebalancer, for one rank of the fake group."""

    def __init__(
        self, group: FakeGroup, rank: int, port: int, clock: SystemClock
    ) -> None:
        self.tasks = TaskSet()
        host = host_of(rank)
        updates: Mailbox[object] = Mailbox()
        self._counts = CountsSocket(Address(host, port), updates, lambda: [])
        runner = FakeRunner(group, RankIndex(rank))
        local = LocalRank(runner, Address(host, 80), clock, self._counts)
        self._address = Address(host, port)
        self._local = local
        self._relay = OrderRelay(local.mailbox, port)
        service = RankService(local.mailbox, self._relay.mailbox)
        self._server = Server([service], codec=MessagePackCodec())
        self.coordinator = Coordinator(
            updates,
            SERVICE,
            host,
            port,
            local,
            lambda address: FakeRunner(group, rank_of(address.host)),
            clock,
            Random(rank),
            RebalancerMetrics(f"rebalancer-{rank}"),
        )
        updates.post(catalog_update(len(group.ranks)))

    async def start(self) -> None:
        """Start the server, the socket and the tasks."""
        await self._server.start(self._address.host, self._address.port)
        await self._counts.start()
        self.tasks.start("local", self._local.run())
        self.tasks.start("relay", self._relay.run())
        self.tasks.start("coordinator", self.coordinator.run())

    async def kill(self) -> None:
        """Stop the rebalancer without draining."""
        self._server.close()
        self._counts.close()
        await self.tasks.cancel_all()


def host_of(rank: int) -> str:
    """Return the loopback address of a rank."""
    return f"127.0.0.{10 + rank}"


def rank_of(host: str) -> RankIndex:
    """Return the rank at a loopback address."""
    return RankIndex(int(host.rpartition(".")[2]) - 10)


def catalog_update(ranks: int) -> CatalogChanged:
    """Return a catalog update that lists the runners of all ranks."""
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
        6, 4, 4.5, 1.8, 0.04, 800, 100, 1, 2 * ranks, EXPERT_SLOTS_PER_RANK, 1, 0.85
    )
    profile = ServiceProfile(SERVICE, 10, engine)
    config = ForwardingConfig(1, (), {SERVICE: profile}, ())
    return CatalogChanged(config, {SERVICE: entries}, BEGINNING)


@pytest.fixture
def skew() -> Callable[[FakeGroup], float]:
    """Return a function that measures the skew of the expert map in use by a group."""

    def measure(group: FakeGroup) -> float:
        placement = group.ranks[0].in_use[1][0]
        return step_skew(placement, group.popularity, [1.0] * len(group.ranks))

    return measure


@pytest.fixture
def until() -> Callable[[Callable[[], bool], float], Awaitable[None]]:
    """Return a function that waits until a condition holds, with a timeout."""

    async def wait(condition: Callable[[], bool], timeout_s: float) -> None:
        async with asyncio.timeout(timeout_s):
            while not condition():  # noqa: ASYNC110
                await asyncio.sleep(0.05)

    return wait


@pytest.fixture
def clock() -> SkippingClock:
    """Return the clock that all rebalancers of a test share."""
    return SkippingClock()


@pytest.fixture
def run_group(clock: SkippingClock) -> Callable[..., None]:
    """Return a function that runs a test with one rebalancer for each rank.

    The popularity has one number for each expert; each rank holds two experts.
    """

    def run(test: Callable[..., Awaitable[None]], popularity: list[float]) -> None:
        async def run_test() -> None:
            with socket.socket() as probe_socket:
                probe_socket.bind(("127.0.0.1", 0))
                port = int(probe_socket.getsockname()[1])
            ranks = len(popularity) // 2
            group = FakeGroup(Random(3), clock, ranks)
            group.popularity = popularity
            rebalancers = [
                Rebalancer(group, rank, port, clock) for rank in range(ranks)
            ]
            for rebalancer in rebalancers:
                await rebalancer.start()
            step_task = asyncio.ensure_future(group.run())
            try:
                await test(group, rebalancers)
            finally:
                step_task.cancel()
                for rebalancer in rebalancers:
                    await rebalancer.kill()
            assert group.mixed_steps == 0

        asyncio.run(run_test())

    return run
