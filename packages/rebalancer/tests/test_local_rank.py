"""Tests of the task of the local rank and of the counts that ranks send."""

from __future__ import annotations

import asyncio
import socket
from random import Random
from typing import TYPE_CHECKING

import msgspec
import pytest

from sardineyard.catalog.beacons import BeaconSocket, UpstreamSlow
from sardineyard.core.address import Address
from sardineyard.core.clock import ManualClock, SystemClock
from sardineyard.core.ids import FencingNumber, RankIndex
from sardineyard.core.mailbox import Mailbox, Reply
from sardineyard.core.tasks import TaskSet
from sardineyard.rebalancer.counts import CountsPushed, CountsSocket, plan_counts
from sardineyard.rebalancer.local_rank import LocalRank
from sardineyard.rebalancer.messages import GatherCall, GatherRequest
from sardineyard.rebalancer.sampling import CountsSample
from sardineyard.standins.lockstep_group import FakeGroup, FakeRunner

if TYPE_CHECKING:
    from sardineyard.rebalancer.messages import GatherReply


@pytest.fixture
def clock() -> ManualClock:
    """Return a clock that the test advances."""
    return ManualClock()


GATEWAY_HOST, LOCAL_HOST = "127.0.0.31", "127.0.0.32"


def free_port() -> int:
    """Return a UDP port that is not in use."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


def test_gateways_are_notified_of_a_slow_rank() -> None:
    """Guards against new prompts for a slow rank that delays its whole group."""

    async def run_test() -> list[object]:
        clock, tasks, port = SystemClock(), TaskSet(), free_port()
        received: Mailbox[object] = Mailbox()
        beacons = BeaconSocket(
            Address(GATEWAY_HOST, 1),
            Address(GATEWAY_HOST, port),
            clock,
            list,
            dict,
            dict,
            lambda: (0, 0),
            lambda _: None,
            tuple,
            tuple,
        )
        beacons.subscribe(received)
        counts = CountsSocket(
            Address(LOCAL_HOST, port), Mailbox(), lambda: [f"{GATEWAY_HOST}:1"]
        )
        group = FakeGroup(Random(1), clock, 2)
        group.ranks[1].slowdown = 5.0
        runner = FakeRunner(group, RankIndex(1))
        local = LocalRank(runner, Address(LOCAL_HOST, 80), clock, counts)
        await counts.start()
        tasks.start("beacons", beacons.run())
        tasks.start("local", local.run())
        await asyncio.sleep(0.1)
        reply: Reply[GatherReply] = Reply()
        local.mailbox.post(GatherCall(GatherRequest(FencingNumber(1)), reply))
        await reply.wait()
        await asyncio.sleep(0.1)
        counts.close()
        await tasks.cancel_all()
        messages = []
        while (message := received.receive_nowait()) is not None:
            messages.append(message)
        return messages

    assert UpstreamSlow(LOCAL_HOST, 80, 5.0) in asyncio.run(run_test())


@pytest.mark.parametrize(("ranks", "counts"), [(16, 256), (72, 1728), (64, 3904)])
def test_counts_of_large_groups_are_recent_and_within_the_bandwidth_limit(
    ranks: int, counts: int
) -> None:
    """Guards against maps for an outdated popularity, and against saturated links."""
    plan = plan_counts(ranks, counts)
    message = CountsPushed.of(RankIndex(ranks - 1), 1 << 20, [70_000] * counts)
    bytes_per_s = plan.ranks * len(msgspec.msgpack.encode(message)) / plan.pause_s
    assert bytes_per_s < 4e6 / 8 / 2
    assert plan.pause_s <= (0.1 if counts < 2000 else 0.2)
    assert plan.ranks >= min(ranks, 6)


def test_counts_of_one_byte_preserve_the_popularity() -> None:
    """Guards against large rounding errors when a few experts get most choices."""
    choices = [100_000, 40_000, 1_000, 300, 0, 0, 0, 0]
    sent = CountsPushed.of(RankIndex(0), 1, choices).choices
    assert sum(map(abs, map(int.__sub__, sent, choices))) < 0.01 * sum(choices)


def test_silent_ranks_are_replaced_in_the_sample(clock: ManualClock) -> None:
    """Guards against an estimate that waits for counts of unavailable ranks."""
    sample, ids = CountsSample(clock), [f"u{rank}" for rank in range(12)]
    first = sample.choose(ids, 4)
    assert len(first) == 4
    silent = min(first)
    for _ in range(20):
        clock.advance(0.1)
        for id in first - {silent}:
            sample.record_received(id)
    assert silent not in sample.active_ids
    second = sample.choose(ids, 4)
    assert len(second) == 4
    assert first - second == {silent}
    all_chosen = sample.choose(ids, 20)
    assert all_chosen == set(ids)
