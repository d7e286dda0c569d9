"""Tests of the task beside one runner."""

from __future__ import annotations

import asyncio
import socket
from random import Random
from typing import TYPE_CHECKING

from sardineyard.catalog.beacons import Beacons, UpstreamSlow
from sardineyard.core.address import Address
from sardineyard.core.clock import SystemClock
from sardineyard.core.ids import FencingNumber, RankIndex
from sardineyard.core.mailbox import Mailbox, Reply
from sardineyard.core.tasks import TaskSet
from sardineyard.rebalancer.counts import CountsSocket, counts_pause_s
from sardineyard.rebalancer.local_rank import LocalRank
from sardineyard.rebalancer.messages import GatherAsked, GatherRequest
from sardineyard.standins.lockstep_group import FakeGroup, FakeRunner

if TYPE_CHECKING:
    from sardineyard.rebalancer.messages import GatherReply

GATEWAY, OWN = "127.0.0.31", "127.0.0.32"


def free_port() -> int:
    """Return a port that nobody listens on."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


def test_gateways_hear_of_a_slow_rank() -> None:
    """Guards against prompts for a rank on which the whole group waits."""

    async def play() -> list[object]:
        clock, tasks, port = SystemClock(), TaskSet(), free_port()
        heard: Mailbox[object] = Mailbox()
        beacons = Beacons(
            Address(GATEWAY, 1),
            Address(GATEWAY, port),
            clock,
            list,
            dict,
            lambda: (0, 0),
            lambda _: None,
        )
        beacons.subscribe(heard)
        counts = CountsSocket(Address(OWN, port), Mailbox(), lambda: [f"{GATEWAY}:1"])
        group = FakeGroup(Random(1), clock, 2)
        group.ranks[1].slowdown = 5.0
        runner = FakeRunner(group, RankIndex(1))
        local = LocalRank(runner, Address(OWN, 80), clock, counts)
        await counts.start()
        tasks.start("beacons", beacons.run())
        tasks.start("local", local.run())
        await asyncio.sleep(0.1)
        reply: Reply[GatherReply] = Reply()
        local.mailbox.post(GatherAsked(GatherRequest(FencingNumber(1)), reply))
        await reply.wait()
        await asyncio.sleep(0.1)
        counts.close()
        await tasks.cancel_all()
        messages = []
        while (message := heard.take()) is not None:
            messages.append(message)
        return messages

    assert UpstreamSlow(OWN, 80, 5.0) in asyncio.run(play())


def test_counts_of_a_large_group_come_less_often() -> None:
    """Guards against a coordinator whose link the counts of its group fill."""
    assert counts_pause_s(16, 4 * 64) == 0.1
    pause_s = counts_pause_s(72, 12 * 144)
    assert 72 * 12 * 144 * 3 / pause_s < 4e6 / 8 / 2
    assert pause_s < 4.0
