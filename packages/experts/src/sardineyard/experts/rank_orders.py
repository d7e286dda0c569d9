"""Orders to the ranks of one group, repeated until they are answered."""

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

_RETRY_PAUSE_S = 0.02
# Time for which one order is repeated before another way on is looked for.
INSIST_S = 2.0


class FencedError(Exception):
    """Report that another coordinator gives orders with a greater number."""


class RefusedFenceError(FencedError):
    """Report that a rank has seen a greater number, maybe of one that is gone."""


class EpochEndedError(Exception):
    """Report that the group was formed anew, which undoes every change."""


class GroupPort(Protocol):
    """Reach all ranks of one group with the numbers of one coordinator."""

    @property
    def ranks(self) -> Sequence[RankIndex]:
        """Return the ranks of the group."""

    async def order(self, rank: RankIndex, order: MapOrder) -> OrderResult:
        """Give an order to one rank."""

    async def spread(self, order: MapOrder) -> dict[RankIndex, OrderResult]:
        """Give an order to all ranks; return a result for each of them.

        An order to prepare a map may be answered once the map is loaded.
        """

    async def report(self, rank: RankIndex) -> RankReport | None:
        """Return what one rank says about itself, or None without an answer."""


class RankOrders:
    """Give orders in one epoch; all methods raise FencedError or EpochEndedError."""

    def __init__(self, port: GroupPort, clock: Clock, epoch: int) -> None:
        self._port = port
        self._clock = clock
        self._epoch = epoch
        self._unanswered = 0

    @property
    def ranks(self) -> Sequence[RankIndex]:
        """Return the ranks of the group."""
        return self._port.ranks

    @property
    def unanswered(self) -> int:
        """Return how many orders stayed without an answer."""
        return self._unanswered

    async def report(self, rank: RankIndex) -> RankReport | None:
        """Return what one rank says about itself, or None without an answer."""
        report = await self._port.report(rank)
        if report is not None and (report.epoch != self._epoch or not report.is_open):
            raise EpochEndedError(f"epoch {report.epoch}")
        return report

    async def all_reports(self) -> dict[RankIndex, RankReport]:
        """Return the reports of the ranks that answer."""
        ranks = list(self._port.ranks)
        reports = await asyncio.gather(*(self.report(rank) for rank in ranks))
        return {
            rank: report
            for rank, report in zip(ranks, reports, strict=True)
            if report is not None
        }

    async def spread(self, order: MapOrder) -> dict[RankIndex, OrderResult]:
        """Give an order once to all ranks; return a result for each of them."""
        results = await self._port.spread(order)
        for rank, result in results.items():
            await self._check(rank, result)
        return results

    async def insist(self, rank: RankIndex, order: MapOrder) -> OrderResult:
        """Repeat an order until there is an answer or the time is over."""
        deadline = deadline_after(self._clock, INSIST_S)
        while True:
            result = await self._give(rank, order)
            if result is not OrderResult.UNANSWERED:
                return result
            await self.report(rank)
            if self._clock.now() >= deadline:
                return result
            await asyncio.sleep(_RETRY_PAUSE_S)

    async def prepare(
        self,
        rank: RankIndex,
        order: PrepareMap,
        ready_at: Deadline,
        deadline: Deadline,
        first: OrderResult | None = None,
    ) -> bool:
        """Return whether a rank has loaded a map, asked from a moment on.

        The first result is that of an order that was given to the rank already.
        """
        was_unanswered = False
        while self._clock.now() < deadline:
            result = first or await self._give(rank, order)
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
                await asyncio.sleep(_RETRY_PAUSE_S)
            if result is OrderResult.STARTED:
                await asyncio.sleep(remaining(self._clock, ready_at))
                return await self.wait_until(
                    rank, lambda report: report.prepared == order.version, deadline
                )
        return False

    async def release(self, holder: RankIndex, step: StepNumber) -> None:
        """Let the group begin a step that a rank holds."""
        while True:
            if (await self.insist(holder, ReleaseStep(step))).is_accepted:
                return
            report = await self.report(holder)
            if report is not None and report.held_step != step:
                return
            await asyncio.sleep(_RETRY_PAUSE_S)

    async def wait_until(
        self,
        rank: RankIndex,
        is_reached: Callable[[RankReport], bool],
        deadline: Deadline,
    ) -> bool:
        """Return whether a rank reports something before a deadline."""
        while self._clock.now() < deadline:
            report = await self.report(rank)
            if report is not None and is_reached(report):
                return True
            await asyncio.sleep(_RETRY_PAUSE_S)
        return False

    async def _give(self, rank: RankIndex, order: MapOrder) -> OrderResult:
        result = await self._port.order(rank, order)
        await self._check(rank, result)
        return result

    async def _check(self, rank: RankIndex, result: OrderResult) -> None:
        """Count and raise what a result says beyond this order."""
        self._unanswered += result is OrderResult.UNANSWERED
        if result is OrderResult.FENCED:
            raise RefusedFenceError(f"rank {rank}")
        if result is OrderResult.REFUSED:
            # An order of an earlier epoch is refused as well.
            await self.report(rank)


def _log_refused(rank: RankIndex, order: PrepareMap, report: RankReport | None) -> None:
    _logger.warning(
        "a rank refused to prepare a map",
        extra={
            "event": "map_prepare_refused",
            "rank": rank,
            "version": order.version,
            "prepared": report.prepared if report else None,
            "armed": report.armed if report else None,
            "in_use": report.version if report else None,
        },
    )
