"""Tests of orders that reach the ranks of a large group through a few of them."""

from __future__ import annotations

import asyncio
from random import Random
from typing import TYPE_CHECKING, Any

import msgspec
import pytest

from sardineyard.core.clock import SystemClock
from sardineyard.core.ids import FailureDomain, FencingNumber, RankIndex, ServiceName
from sardineyard.experts.leveling import GroupShape, first_layout
from sardineyard.experts.maps import MapVersion
from sardineyard.experts.switch import MapSwitch, SwitchResult
from sardineyard.forwarding.config import UpstreamEntry, UpstreamPhase
from sardineyard.rebalancer import members as members_module
from sardineyard.rebalancer.members import GroupMembers, Member
from sardineyard.rebalancer.messages import OrderReply, RelayReply
from sardineyard.standins.lockstep_group import FakeGroup, FakeRunner

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from sardineyard.core.address import Address
    from sardineyard.experts.group import RankReport
    from sardineyard.rebalancer.messages import (
        GatherRequest,
        OrderRequest,
        RelayRequest,
    )

# The largest group of the deployments, on VMs with a link of 4 Mbit/s.
SHAPE = GroupShape(72, 12, 144, 3, 2, 0.016)
LINK_BYTES_PER_S = 4e6 / 8
MANY = 28
HOT = [40.0, 30.0, 20.0] + [1.0] * (2 * MANY - 3)


class CountingChannel:
    """Reach one rank of a fake group and count the bytes that are sent for it."""

    group: FakeGroup
    sent = 0
    relayed: dict[int, int]

    def __init__(self, address: Address) -> None:
        self._rank = RankIndex(int(address.host))

    async def gather(self, request: GatherRequest) -> Any:
        """Return the report of the rank."""
        CountingChannel.sent += len(msgspec.msgpack.encode(request))
        report: RankReport = self.group.report(self._rank)
        return members_module.GatherReply(request.fence, report)

    async def order(self, request: OrderRequest) -> OrderReply:
        """Give an order to the rank."""
        CountingChannel.sent += len(msgspec.msgpack.encode(request))
        return await self._give(self._rank, request)

    async def relay(self, request: RelayRequest) -> RelayReply:
        """Give an order to the rank and to others behind it."""
        CountingChannel.sent += len(msgspec.msgpack.encode(request))
        passed_on = len(msgspec.msgpack.encode(request.order)) * len(request.hosts)
        self.relayed[self._rank] = self.relayed.get(self._rank, 0) + passed_on
        ranks = [request.rank, *request.hosts]
        replies = await asyncio.gather(*(self._give(r, request.order) for r in ranks))
        return RelayReply(dict(zip(ranks, replies, strict=True)))

    def close(self) -> None:
        """Close nothing."""

    async def _give(self, rank: RankIndex, request: OrderRequest) -> OrderReply:
        result = await self.group.give(rank, request.order, 1, request.fence)
        return OrderReply(result, request.fence)


@pytest.fixture
def members(monkeypatch: pytest.MonkeyPatch) -> GroupMembers:
    """Return a way to all ranks of a large fake group that counts bytes."""
    monkeypatch.setattr(members_module, "RankChannel", CountingChannel)
    clock = SystemClock()
    group = FakeGroup(Random(1), clock, SHAPE.ranks)
    monkeypatch.setattr(CountingChannel, "group", group, raising=False)
    monkeypatch.setattr(CountingChannel, "sent", 0)
    monkeypatch.setattr(CountingChannel, "relayed", {}, raising=False)
    ways = {}
    for rank in map(RankIndex, range(SHAPE.ranks)):
        domain = FailureDomain("abc"[rank // 24])
        entry = UpstreamEntry(
            f"u{rank}",
            ServiceName("llm"),
            str(rank),
            80,
            domain,
            5,
            UpstreamPhase.READY,
        )
        ways[rank] = Member(entry, 1, lambda _: FakeRunner(group, RankIndex(0)), clock)
    return GroupMembers(ways, 1, FencingNumber(1))


def test_a_map_for_a_large_group_needs_a_tenth_of_a_second_of_a_link(members) -> None:
    """Guards against maps that arrive after the popularity that they are made for."""
    layout = first_layout(SHAPE)
    group = CountingChannel.group

    async def play() -> SwitchResult:
        switch = MapSwitch(members, SystemClock(), 1, Random(1))
        steps = asyncio.ensure_future(group.run())
        try:
            return await switch.change(MapVersion(1), layout, layout, RankIndex(0), 0.3)
        finally:
            steps.cancel()

    assert asyncio.run(play()) is SwitchResult.SWITCHED
    assert group.mixed_steps == 0
    assert CountingChannel.sent < 0.1 * LINK_BYTES_PER_S
    assert max(CountingChannel.relayed.values()) < 0.1 * LINK_BYTES_PER_S


@pytest.fixture
def level(skew, until) -> Callable[[FakeGroup], Awaitable[None]]:
    """Return a function that waits until the map of a group is clearly more level."""

    async def wait(group: FakeGroup) -> None:
        before = skew(group)
        await until(lambda: skew(group) < 0.7 * before, 10.0)

    return wait


def test_a_large_group_is_levelled_through_relays(
    run_group: Callable[..., None], level
) -> None:
    """Guards against ranks behind a relay that miss a map."""

    async def test(group: FakeGroup, rebalancers: list) -> None:
        await level(group)
        assert len({rank.in_use for rank in group.ranks}) == 1

    run_group(test, HOT)


def test_ranks_behind_a_dead_relay_get_the_map_directly(
    run_group: Callable[..., None], level
) -> None:
    """Guards against a group that stays unlevel because one rebalancer is gone."""

    async def test(group: FakeGroup, rebalancers: list) -> None:
        await level(group)
        leading = next(r for r in rebalancers if r.coordinator.is_coordinator)
        others = [r for r in rebalancers if r is not leading]
        # Blocks of ranks begin at every sixth one, so some of these relay.
        for rebalancer in others[:8]:
            await rebalancer.kill()
        group.popularity = HOT[::-1]
        await level(group)

    run_group(test, HOT)
