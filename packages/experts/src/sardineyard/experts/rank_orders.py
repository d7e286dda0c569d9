"""Orders to the ranks of one group, retried until there is a reply."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING, Protocol

from sardineyard.core.clock import deadline_after, remaining
from sardineyard.experts.group import OrderResult, ReleaseStep

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from sardineyard.core.clock import Clock, Deadline
    from sardineyard.core.ids import RankIndex, StepNumber
    from sardineyard.experts.group import MapOrder, PrepareMap, RankReport

_logger = logging.getLogger(__name__)

_RETRY_INTERVAL_S = 0.02
# Time after which an order without a reply is no longer retried, in seconds.
ORDER_RETRY_TIMEOUT_S = 2.0


class FencedError(Exception):
    """Another coordinator sends orders with a greater fencing number."""


class RefusedFenceError(FencedError):
    """A rank has seen a greater fencing number, maybe of a stopped coordinator."""


class EpochEndedError(Exception):
    """The group was re-formed, which discards every change of the map."""


class GroupTransport(Protocol):
    """Transport to all ranks of one group, with the fencing number of a coordinator."""

    @property
    def ranks(self) -> Sequence[RankIndex]:
        """Return the ranks of the group."""

    async def order(self, rank: RankIndex, order: MapOrder) -> OrderResult:
        """Send an order to one rank."""

    async def broadcast(self, order: MapOrder) -> dict[RankIndex, OrderResult]:
        """Send an order to all ranks; return a result for each of them.

        The reply to an order to prepare a map may come only after the map is loaded.
        """

    async def report(self, rank: RankIndex) -> RankReport | None:
        """Return the report of one rank, or None if it did not reply."""


class RankOrders:
    """Sends orders in one epoch; methods raise FencedError or EpochEndedError."""

    def __init__(self, transport: GroupTransport, clock: Clock, epoch: int) -> None:
        self._transport = transport
        self._clock = clock
        self._epoch = epoch
        self._unanswered = 0

    @property
    def ranks(self) -> Sequence[RankIndex]:
        """Return the ranks of the group."""
        return self._transport.ranks

    @property
    def unanswered_orders(self) -> int:
        """Return the number of orders that had no reply."""
        return self._unanswered

    async def report(self, rank: RankIndex) -> RankReport | None:
        """Return the report of one rank, or None if it did not reply."""
        report = await self._transport.report(rank)
        if report is not None and (report.epoch != self._epoch or not report.is_open):
            raise EpochEndedError(f"group is closed or in epoch {report.epoch}")
        return report

    async def all_reports(self) -> dict[RankIndex, RankReport]:
        """Return the reports of the ranks that reply."""
        ranks = list(self._transport.ranks)
        reports = await asyncio.gather(*(self.report(rank) for rank in ranks))
        return {
            rank: report
            for rank, report in zip(ranks, reports, strict=True)
            if report is not None
        }

    async def broadcast(self, order: MapOrder) -> dict[RankIndex, OrderResult]:
        """Send an order once to all ranks; return a result for each of them."""
        results = await self._transport.broadcast(order)
        for rank, result in results.items():
            await self._check_result(rank, result)
        return results

    async def send_until_answered(
        self, rank: RankIndex, order: MapOrder
    ) -> OrderResult:
        """Send an order and retry it until there is a reply or a timeout."""
        deadline = deadline_after(self._clock, ORDER_RETRY_TIMEOUT_S)
        while True:
            result = await self._send(rank, order)
            if result is not OrderResult.UNANSWERED:
                return result
            await self.report(rank)
            if self._clock.now() >= deadline:
                return result
            await asyncio.sleep(_RETRY_INTERVAL_S)

    async def prepare(
        self,
        rank: RankIndex,
        order: PrepareMap,
        ready_at: Deadline,
        deadline: Deadline,
        first: OrderResult | None = None,
    ) -> bool:
        """Load a map on a rank; return whether it is loaded before the deadline.

        Once loading has started, the rank is polled from `ready_at` on. `first` is the
        result of an order that was already sent to the rank.
        """
        was_unanswered = False
        while self._clock.now() < deadline:
            result = first or await self._send(rank, order)
            first = None
            if result is OrderResult.DONE:
                return True
            report = await self.report(rank)
            if report is not None and report.prepared == order.version:
                return True
            if result is OrderResult.REFUSED and not was_unanswered:
                _log_refused(rank, order, report)
                return False
            was_unanswered = was_unanswered or result is OrderResult.UNANSWERED
            if result is OrderResult.STARTED or was_unanswered:
                await asyncio.sleep(_RETRY_INTERVAL_S)
            if result is OrderResult.STARTED:
                await asyncio.sleep(remaining(self._clock, ready_at))
                return await self.wait_until(
                    rank, lambda report: report.prepared == order.version, deadline
                )
        return False

    async def release(self, holder: RankIndex, step: StepNumber) -> None:
        """Release the step that a rank holds; retry until the rank has released it."""
        while True:
            if (await self.send_until_answered(holder, ReleaseStep(step))).is_accepted:
                return
            report = await self.report(holder)
            if report is not None and report.held_step != step:
                return
            await asyncio.sleep(_RETRY_INTERVAL_S)

    async def wait_until(
        self,
        rank: RankIndex,
        condition: Callable[[RankReport], bool],
        deadline: Deadline,
    ) -> bool:
        """Poll a rank; return whether it meets a condition before a deadline."""
        while self._clock.now() < deadline:
            report = await self.report(rank)
            if report is not None and condition(report):
                return True
            await asyncio.sleep(_RETRY_INTERVAL_S)
        return False

    async def _send(self, rank: RankIndex, order: MapOrder) -> OrderResult:
        result = await self._transport.order(rank, order)
        await self._check_result(rank, result)
        return result

    async def _check_result(self, rank: RankIndex, result: OrderResult) -> None:
        """Count a missing reply; raise if the coordinator or epoch is superseded."""
        self._unanswered += result is OrderResult.UNANSWERED
        if result is OrderResult.FENCED:
            raise RefusedFenceError(f"rank {rank} has seen a greater fencing number")
        if result is OrderResult.REFUSED:
            # The refusal may be due to an ended epoch, which a report shows.
            await self.report(rank)


def _log_refused(rank: RankIndex, order: PrepareMap, report: RankReport | None) -> None:
    _logger.warning(
        "a rank refused to prepare an expert map",
        extra={
            "event": "map_prepare_refused",
            "rank": rank,
            "version": order.version,
            "prepared": report.prepared if report else None,
            "armed": report.armed if report else None,
            "in_use": report.version if report else None,
        },
    )
