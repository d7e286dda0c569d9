"""Ways from a coordinator to each rank of its group."""

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
    GatherAsked,
    GatherReply,
    GatherRequest,
    OrderAsked,
    OrderRequest,
    RelayRequest,
)
from sardineyard.rebalancer.service import RankChannel

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from sardineyard.core.clock import Clock
    from sardineyard.core.ids import FencingNumber, RankIndex
    from sardineyard.experts.group import GroupRunner, MapOrder, RankReport
    from sardineyard.forwarding.config import UpstreamEntry
    from sardineyard.rebalancer.local_rank import LocalRank
    from sardineyard.rebalancer.messages import (
        OrderReply,
    )

_logger = logging.getLogger(__name__)

# Time for which the runner is called directly after its rebalancer did not answer.
# Calls from afar are paid for, so the free way is tried again soon.
_DIRECT_S = 1.0
# Largest group whose ranks the coordinator calls itself: orders to 16 ranks take 12 to
# 31 ms, and a map for 24 ranks fills a link of 4 Mbit/s for 60 ms.
_MOST_DIRECT = 24
# Time for a rank to load the copies of a change, a quarter second, on a slow VM.
_LOAD_WAIT_S = 0.6

# A rank that relays orders, and the ranks that it passes them on to.
_Block = tuple["RankIndex", list["RankIndex"]]


class Member:
    """Reach one rank: through its rebalancer, or directly where that one is away."""

    def __init__(
        self,
        entry: UpstreamEntry,
        group_port: int,
        open_runner: Callable[[Address], GroupRunner],
        clock: Clock,
    ) -> None:
        self.entry = entry
        self._clock = clock
        self._channel = RankChannel(Address(entry.host, group_port))
        self._runner = open_runner(Address(entry.host, entry.port))
        self._direct_until = Deadline(0.0)

    @property
    def is_reachable(self) -> bool:
        """Return whether the rebalancer is taken as reachable."""
        return self._clock.now() >= self._direct_until

    async def gather(self, request: GatherRequest) -> GatherReply:
        """Return the state of the rank; raise FencedError."""
        if self.is_reachable:
            reply = await self._channel.gather(request)
            if reply is not None:
                if reply.known_fence > request.fence:
                    raise FencedError(str(reply.known_fence))
                return reply
            self._go_direct()
        return GatherReply(
            request.fence,
            await self._runner.report(),
            await self._runner.counts() if request.with_counts else None,
            await self._runner.experts() if request.with_experts else None,
        )

    async def order(self, request: OrderRequest) -> OrderResult:
        """Give an order; raise FencedError."""
        if self.is_reachable:
            reply = await self._channel.order(request)
            if reply is not None:
                return _result(request, reply)
            self._go_direct()
            return OrderResult.UNANSWERED
        return await self._runner.order(request.order, request.epoch, request.fence)

    async def relay(self, request: RelayRequest) -> dict[RankIndex, OrderResult]:
        """Give an order to several ranks; return the results of those that answered.

        Raise FencedError.
        """
        reply = await self._channel.relay(request)
        if reply is None:
            self._go_direct()
            return {}
        return {r: _result(request.order, part) for r, part in reply.replies.items()}

    def close(self) -> None:
        """Close the connections."""
        self._channel.close()
        self._runner.close()

    def _go_direct(self) -> None:
        self._direct_until = deadline_after(self._clock, _DIRECT_S)
        _logger.info(
            "a rebalancer does not answer, its runner is called directly",
            extra={"event": "rank_direct", "upstream": self.entry.id},
        )


class OwnMember:
    """Reach the rank beside this process."""

    def __init__(self, entry: UpstreamEntry, local: LocalRank) -> None:
        self.entry = entry
        self._local = local

    async def gather(self, request: GatherRequest) -> GatherReply:
        """Return the state of the rank; raise FencedError."""
        reply: Reply[GatherReply] = Reply()
        self._local.mailbox.post(GatherAsked(request, reply))
        answer = await reply.wait()
        if answer.known_fence > request.fence:
            raise FencedError(str(answer.known_fence))
        return answer

    async def order(self, request: OrderRequest) -> OrderResult:
        """Give an order; raise FencedError."""
        reply: Reply[OrderReply] = Reply()
        self._local.mailbox.post(OrderAsked(request, reply))
        return _result(request, await reply.wait())

    def close(self) -> None:
        """Keep the runner's connection, which its owner closes."""


class GroupMembers:
    """Reach the ranks of one group in one epoch; implements GroupPort."""

    def __init__(
        self,
        members: dict[RankIndex, Member | OwnMember],
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
        """Give an order to one rank."""
        request = OrderRequest(self._fence, self._epoch, order)
        return await self._members[rank].order(request)

    async def spread(self, order: MapOrder) -> dict[RankIndex, OrderResult]:
        """Give an order to all ranks."""
        wait_s = _LOAD_WAIT_S if isinstance(order, PrepareMap) else 0.0
        request = OrderRequest(self._fence, self._epoch, order, wait_s)
        direct, relayed = self._split()
        results = dict.fromkeys(self._members, OrderResult.UNANSWERED)
        answers = await asyncio.gather(
            *(self._order_one(rank, request) for rank in direct),
            *(self._relay(head, others, request) for head, others in relayed),
        )
        for answer in answers:
            results |= answer
        return results

    async def report(self, rank: RankIndex) -> RankReport | None:
        """Return what one rank says about itself, or None without an answer."""
        return (await self._members[rank].gather(GatherRequest(self._fence))).report

    def _split(self) -> tuple[list[RankIndex], list[_Block]]:
        """Return the ranks to call, and those that relay with the ranks behind them."""
        if len(self._members) <= _MOST_DIRECT:
            return list(self._members), []
        remote = [r for r, m in self._members.items() if isinstance(m, Member)]
        reachable = [rank for rank in remote if self._remote(rank).is_reachable]
        # Ranks of one failure domain stand together, so that most bytes stay in it.
        reachable.sort(key=lambda rank: (self._remote(rank).entry.failure_domain, rank))
        size = ceil(sqrt(len(reachable)))
        blocks = [reachable[i : i + size] for i in range(0, len(reachable), size)]
        direct = [rank for rank in self._members if rank not in set(reachable)]
        return direct, [(block[0], block[1:]) for block in blocks]

    def _remote(self, rank: RankIndex) -> Member:
        member = self._members[rank]
        assert isinstance(member, Member)
        return member

    async def _order_one(
        self, rank: RankIndex, request: OrderRequest
    ) -> dict[RankIndex, OrderResult]:
        return {rank: await self._members[rank].order(request)}

    async def _relay(
        self, head: RankIndex, others: list[RankIndex], request: OrderRequest
    ) -> dict[RankIndex, OrderResult]:
        hosts = {rank: self._remote(rank).entry.host for rank in others}
        return await self._remote(head).relay(RelayRequest(head, request, hosts))


def _result(request: OrderRequest, reply: OrderReply) -> OrderResult:
    if reply.known_fence > request.fence:
        raise FencedError(str(reply.known_fence))
    return reply.result
