"""Tests of orders that are relayed to the ranks of a large group."""

from __future__ import annotations

import asyncio
from random import Random
from typing import TYPE_CHECKING, Any

import msgspec
import pytest

from sardineyard.core.clock import SystemClock
from sardineyard.core.ids import (
    FailureDomain,
    FencingNumber,
    RankIndex,
    ServiceName,
    StepNumber,
)
from sardineyard.experts.group import HoldStep
from sardineyard.experts.layout_plan import GroupShape, first_layout
from sardineyard.experts.maps import MapVersion
from sardineyard.experts.switch import MapSwitch, SwitchResult
from sardineyard.forwarding.config import UpstreamEntry, UpstreamPhase
from sardineyard.rebalancer import members as members_module
from sardineyard.rebalancer.members import GroupMembers, RemoteMember
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

# The largest deployed group; its VMs have links of 4 Mbit/s.
SHAPE = GroupShape(72, 12, 144, 3, 2, 0.016)
LINK_BYTES_PER_S = 4e6 / 8
LARGE_GROUP_RANKS = 28
FIRST_EXPERTS_POPULAR = [40.0, 30.0, 20.0] + [1.0] * (2 * LARGE_GROUP_RANKS - 3)


class ByteCountingChannel:
    """Channel to one rank of a fake group that counts the bytes of its requests."""

    group: FakeGroup
    sent_bytes = 0
    relayed_bytes: dict[int, int]

    def __init__(self, address: Address) -> None:
        self._rank = RankIndex(int(address.host))

    async def gather(self, request: GatherRequest) -> Any:
        """Return the report of the rank."""
        ByteCountingChannel.sent_bytes += len(msgspec.msgpack.encode(request))
        report: RankReport = self.group.report(self._rank)
        return members_module.GatherReply(request.fence, report)

    async def order(self, request: OrderRequest) -> OrderReply:
        """Apply an order to the rank."""
        ByteCountingChannel.sent_bytes += len(msgspec.msgpack.encode(request))
        return await self._apply_order(self._rank, request)

    async def relay(self, request: RelayRequest) -> RelayReply:
        """Apply an order to the rank and to those that it forwards the order to."""
        ByteCountingChannel.sent_bytes += len(msgspec.msgpack.encode(request))
        forwarded = len(msgspec.msgpack.encode(request.order)) * len(request.hosts)
        self.relayed_bytes[self._rank] = (
            self.relayed_bytes.get(self._rank, 0) + forwarded
        )
        ranks = [request.rank, *request.hosts]
        replies = await asyncio.gather(
            *(self._apply_order(r, request.order) for r in ranks)
        )
        return RelayReply(dict(zip(ranks, replies, strict=True)))

    def close(self) -> None:
        """Do nothing, as there is no connection."""

    async def _apply_order(self, rank: RankIndex, request: OrderRequest) -> OrderReply:
        result = await self.group.deliver(rank, request.order, 1, request.fence)
        return OrderReply(result, request.fence)


@pytest.fixture
def members(monkeypatch: pytest.MonkeyPatch) -> GroupMembers:
    """Return the members of a large fake group, with channels that count bytes."""
    monkeypatch.setattr(members_module, "RankChannel", ByteCountingChannel)
    clock = SystemClock()
    group = FakeGroup(Random(1), clock, SHAPE.ranks)
    monkeypatch.setattr(ByteCountingChannel, "group", group, raising=False)
    monkeypatch.setattr(ByteCountingChannel, "sent_bytes", 0)
    monkeypatch.setattr(ByteCountingChannel, "relayed_bytes", {}, raising=False)
    members_by_rank = {}
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
        members_by_rank[rank] = RemoteMember(
            entry, 1, lambda _: FakeRunner(group, RankIndex(0)), clock
        )
    return GroupMembers(members_by_rank, 1, FencingNumber(1))


def test_a_map_for_a_large_group_occupies_each_link_for_under_0_1_s(members) -> None:
    """Guards against maps that arrive after the popularity has shifted again."""
    layout = first_layout(SHAPE)
    group = ByteCountingChannel.group

    async def run_test() -> SwitchResult:
        switch = MapSwitch(members, SystemClock(), 1, Random(1))
        step_task = asyncio.ensure_future(group.run())
        try:
            return await switch.change(MapVersion(1), layout, layout, RankIndex(0), 0.3)
        finally:
            step_task.cancel()

    assert asyncio.run(run_test()) is SwitchResult.SWITCHED
    assert group.mixed_steps == 0
    assert ByteCountingChannel.sent_bytes < 0.1 * LINK_BYTES_PER_S
    assert max(ByteCountingChannel.relayed_bytes.values()) < 0.1 * LINK_BYTES_PER_S


def test_orders_reach_a_large_group_while_no_rebalancer_is_reachable(
    members, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a rebalancer that exits because it has no rank to relay orders."""

    async def no_reply(channel: ByteCountingChannel, request: object) -> None:
        return None

    monkeypatch.setattr(ByteCountingChannel, "relay", no_reply)
    monkeypatch.setattr(ByteCountingChannel, "order", no_reply)
    monkeypatch.setattr(ByteCountingChannel, "gather", no_reply)

    async def run_test() -> None:
        results = {}
        for _ in range(2):
            # The first orders find the rebalancers unreachable, which is remembered.
            for rank in members.ranks:
                await members.report(rank)
            results = await members.broadcast(HoldStep(StepNumber(1)))
        assert set(results) == set(members.ranks)

    asyncio.run(run_test())


@pytest.fixture
def wait_until_balanced(skew, until) -> Callable[[FakeGroup], Awaitable[None]]:
    """Return a function that waits until the skew of a group falls by 30 percent."""

    async def wait(group: FakeGroup) -> None:
        before = skew(group)
        await until(lambda: skew(group) < 0.7 * before, 10.0)

    return wait


def test_a_large_group_is_rebalanced_through_relays(
    run_group: Callable[..., None], wait_until_balanced
) -> None:
    """Guards against ranks that do not receive a map from their relay."""

    async def test(group: FakeGroup, rebalancers: list) -> None:
        await wait_until_balanced(group)
        assert len({rank.in_use for rank in group.ranks}) == 1

    run_group(test, FIRST_EXPERTS_POPULAR)


def test_ranks_of_a_stopped_relay_receive_the_map_directly(
    run_group: Callable[..., None], wait_until_balanced
) -> None:
    """Guards against a group that is not rebalanced because one rebalancer is down."""

    async def test(group: FakeGroup, rebalancers: list) -> None:
        await wait_until_balanced(group)
        leader = next(r for r in rebalancers if r.coordinator.is_coordinator)
        others = [r for r in rebalancers if r is not leader]
        # Every sixth rank is the relay of a block, so some of these are relays.
        for rebalancer in others[:8]:
            await rebalancer.kill()
        group.popularity = FIRST_EXPERTS_POPULAR[::-1]
        await wait_until_balanced(group)

    run_group(test, FIRST_EXPERTS_POPULAR)
