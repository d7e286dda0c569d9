"""Ways from a coordinator to each rank of its group."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from sardineyard.core.address import Address
from sardineyard.core.clock import Deadline, deadline_after
from sardineyard.core.mailbox import Reply
from sardineyard.experts.group import OrderResult
from sardineyard.experts.rank_orders import FencedError
from sardineyard.rebalancer.messages import (
    GatherAsked,
    GatherReply,
    GatherRequest,
    OrderAsked,
    OrderRequest,
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

    async def gather(self, request: GatherRequest) -> GatherReply:
        """Return the state of the rank; raise FencedError."""
        if self._clock.now() >= self._direct_until:
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
        if self._clock.now() >= self._direct_until:
            reply = await self._channel.order(request)
            if reply is not None:
                return _result(request, reply)
            self._go_direct()
            return OrderResult.UNANSWERED
        return await self._runner.order(request.order, request.epoch, request.fence)

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


def _result(request: OrderRequest, reply: OrderReply) -> OrderResult:
    if reply.known_fence > request.fence:
        raise FencedError(str(reply.known_fence))
    return reply.result


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

    async def report(self, rank: RankIndex) -> RankReport | None:
        """Return what one rank says about itself, or None without an answer."""
        return (await self._members[rank].gather(GatherRequest(self._fence))).report
