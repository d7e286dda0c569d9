"""Communication of the coordinator with the ranks of its group."""

from __future__ import annotations

import asyncio
import logging
from math import ceil, sqrt
from typing import TYPE_CHECKING

from sardineyard.core.address import Address
from sardineyard.core.clock import Deadline, deadline_after
from sardineyard.core.mailbox import Reply
from sardineyard.experts.group import OrderResult, PrepareMap
from sardineyard.experts.rank_orders import FencedError
from sardineyard.rebalancer.messages import (
    GatherCall,
    GatherReply,
    GatherRequest,
    OrderCall,
    OrderRequest,
    RelayRequest,
)
from sardineyard.rebalancer.service import RankChannel

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from sardineyard.core.clock import Clock
    from sardineyard.core.ids import FencingNumber, RankIndex
    from sardineyard.experts.group import MapOrder, RankReport, RankRunner
    from sardineyard.forwarding.config import UpstreamEntry
    from sardineyard.rebalancer.local_rank import LocalRank
    from sardineyard.rebalancer.messages import (
        OrderReply,
    )

_logger = logging.getLogger(__name__)

# Time for which the runner is called directly after its rebalancer did not reply. Calls
# from another VM to a runner are billed, so the rebalancer is soon retried.
_BYPASS_PERIOD_S = 1.0
# Largest group whose ranks the coordinator calls without relays: orders to 16 ranks
# take 12 to 31 ms, and a map for 24 ranks occupies a link of 4 Mbit/s for 60 ms.
_MAX_DIRECT_RANKS = 24
# Time for a rank to load the expert copies of a map change: 0.25 s, and more on a slow
# VM.
_LOAD_TIMEOUT_S = 0.6

# A rank that relays orders, and the ranks that it forwards them to.
_RelayBlock = tuple["RankIndex", list["RankIndex"]]


class RemoteMember:
    """Client of another rank, through its rebalancer or directly to its runner."""

    def __init__(
        self,
        entry: UpstreamEntry,
        group_port: int,
        open_runner: Callable[[Address], RankRunner],
        clock: Clock,
    ) -> None:
        self.entry = entry
        self._clock = clock
        self._channel = RankChannel(Address(entry.host, group_port))
        self._runner = open_runner(Address(entry.host, entry.port))
        self._bypass_until = Deadline(0.0)

    @property
    def is_reachable(self) -> bool:
        """Return whether the rebalancer is treated as reachable."""
        return self._clock.now() >= self._bypass_until

    async def gather(self, request: GatherRequest) -> GatherReply:
        """Return the state of the rank; raise FencedError."""
        if self.is_reachable:
            reply = await self._channel.gather(request)
            if reply is not None:
                if reply.known_fence > request.fence:
                    raise FencedError(str(reply.known_fence))
                return reply
            self._bypass_rebalancer()
        return GatherReply(
            request.fence,
            await self._runner.report(),
            await self._runner.counts() if request.with_counts else None,
            await self._runner.experts() if request.with_experts else None,
        )

    async def order(self, request: OrderRequest) -> OrderResult:
        """Send an order and return its result; raise FencedError."""
        if self.is_reachable:
            reply = await self._channel.order(request)
            if reply is not None:
                return _result(request, reply)
            self._bypass_rebalancer()
            return OrderResult.UNANSWERED
        return await self._runner.order(request.order, request.epoch, request.fence)

    async def relay(self, request: RelayRequest) -> dict[RankIndex, OrderResult]:
        """Send an order to several ranks; return the results of those that replied.

        Raise FencedError.
        """
        reply = await self._channel.relay(request)
        if reply is None:
            self._bypass_rebalancer()
            return {}
        return {
            rank: _result(request.order, rank_reply)
            for rank, rank_reply in reply.replies.items()
        }

    def close(self) -> None:
        """Close the connections to the rebalancer and the runner."""
        self._channel.close()
        self._runner.close()

    def _bypass_rebalancer(self) -> None:
        self._bypass_until = deadline_after(self._clock, _BYPASS_PERIOD_S)
        _logger.info(
            "rebalancer did not reply; calling its runner directly",
            extra={"event": "rank_direct", "upstream": self.entry.id},
        )


class LocalMember:
    """Client of the rank on the VM of this process."""

    def __init__(self, entry: UpstreamEntry, local: LocalRank) -> None:
        self.entry = entry
        self._local = local

    async def gather(self, request: GatherRequest) -> GatherReply:
        """Return the state of the rank; raise FencedError."""
        reply: Reply[GatherReply] = Reply()
        self._local.mailbox.post(GatherCall(request, reply))
        received = await reply.wait()
        if received.known_fence > request.fence:
            raise FencedError(str(received.known_fence))
        return received

    async def order(self, request: OrderRequest) -> OrderResult:
        """Send an order and return its result; raise FencedError."""
        reply: Reply[OrderReply] = Reply()
        self._local.mailbox.post(OrderCall(request, reply))
        return _result(request, await reply.wait())

    def close(self) -> None:
        """Do nothing: the task of the local rank closes the runner connection."""


class GroupMembers:
    """Send orders to all ranks of one group in one epoch; implements GroupTransport."""

    def __init__(
        self,
        members: dict[RankIndex, RemoteMember | LocalMember],
        epoch: int,
        fence: FencingNumber,
    ) -> None:
        self._members = members
        self._epoch = epoch
        self._fence = fence

    @property
    def ranks(self) -> Sequence[RankIndex]:
        """Return the ranks of the group."""
        return sorted(self._members)

    async def order(self, rank: RankIndex, order: MapOrder) -> OrderResult:
        """Send an order to one rank and return its result."""
        request = OrderRequest(self._fence, self._epoch, order)
        return await self._members[rank].order(request)

    async def broadcast(self, order: MapOrder) -> dict[RankIndex, OrderResult]:
        """Send an order to all ranks and return the result of each."""
        wait_s = _LOAD_TIMEOUT_S if isinstance(order, PrepareMap) else 0.0
        request = OrderRequest(self._fence, self._epoch, order, wait_s)
        direct, relayed = self._split_ranks()
        results = dict.fromkeys(self._members, OrderResult.UNANSWERED)
        partial_results = await asyncio.gather(
            *(self._order_one(rank, request) for rank in direct),
            *(
                self._relay(relay_rank, forward_ranks, request)
                for relay_rank, forward_ranks in relayed
            ),
        )
        for partial in partial_results:
            results |= partial
        return results

    async def report(self, rank: RankIndex) -> RankReport | None:
        """Return the report of one rank, or None if it did not reply."""
        return (await self._members[rank].gather(GatherRequest(self._fence))).report

    def _split_ranks(self) -> tuple[list[RankIndex], list[_RelayBlock]]:
        """Return the ranks to call directly, and the blocks to reach through relays."""
        if len(self._members) <= _MAX_DIRECT_RANKS:
            return list(self._members), []
        remote = [r for r, m in self._members.items() if isinstance(m, RemoteMember)]
        reachable = [rank for rank in remote if self._remote_member(rank).is_reachable]
        # Sorted by failure domain, so that relays send most bytes within their own.
        reachable.sort(
            key=lambda rank: (self._remote_member(rank).entry.failure_domain, rank)
        )
        # While no other rebalancer is reachable, all ranks are called directly.
        size = max(1, ceil(sqrt(len(reachable))))
        blocks = [reachable[i : i + size] for i in range(0, len(reachable), size)]
        direct = [rank for rank in self._members if rank not in set(reachable)]
        return direct, [(block[0], block[1:]) for block in blocks]

    def _remote_member(self, rank: RankIndex) -> RemoteMember:
        member = self._members[rank]
        assert isinstance(member, RemoteMember)
        return member

    async def _order_one(
        self, rank: RankIndex, request: OrderRequest
    ) -> dict[RankIndex, OrderResult]:
        return {rank: await self._members[rank].order(request)}

    async def _relay(
        self,
        relay_rank: RankIndex,
        forward_ranks: list[RankIndex],
        request: OrderRequest,
    ) -> dict[RankIndex, OrderResult]:
        hosts = {rank: self._remote_member(rank).entry.host for rank in forward_ranks}
        return await self._remote_member(relay_rank).relay(
            RelayRequest(relay_rank, request, hosts)
        )


def _result(request: OrderRequest, reply: OrderReply) -> OrderResult:
    if reply.known_fence > request.fence:
        raise FencedError(str(reply.known_fence))
    return reply.result
