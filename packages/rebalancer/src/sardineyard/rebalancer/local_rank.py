"""The task that owns the connection to the runner beside this process."""

from __future__ import annotations

import asyncio
import logging
from dataclasses import dataclass
from functools import singledispatchmethod
from typing import TYPE_CHECKING

from sardineyard.catalog.beacons import UpstreamSlow
from sardineyard.core.clock import Deadline, deadline_after
from sardineyard.core.ids import FencingNumber
from sardineyard.core.mailbox import Mailbox
from sardineyard.experts.group import OrderResult, PrepareMap
from sardineyard.experts.load import CounterDifferences
from sardineyard.forwarding.health import SLOWDOWN_LIMIT
from sardineyard.rebalancer.counts import CountsPushed
from sardineyard.rebalancer.messages import (
    GatherAsked,
    GatherReply,
    OrderAsked,
    OrderReply,
)

if TYPE_CHECKING:
    from sardineyard.core.address import Address
    from sardineyard.core.clock import Clock
    from sardineyard.core.ids import RankIndex
    from sardineyard.core.mailbox import Reply
    from sardineyard.experts.group import GroupRunner, RankReport
    from sardineyard.experts.maps import MapVersion
    from sardineyard.rebalancer.counts import CountsSocket
    from sardineyard.rebalancer.messages import OrderRequest

_logger = logging.getLogger(__name__)

# Pause between two datagrams that tell the gateways of a slow rank.
_WARN_S = 0.3
# Time for which counts are sent after the coordinator asked for them.
_PUSH_FOR_S = 4.0
# Pauses between two datagrams beyond which the counts of one are not sent.
_OLDEST_COUNTS_PAUSES = 4
# Pause between two looks at a map that is being loaded.
_LOAD_POLL_S = 0.015


@dataclass(frozen=True, slots=True)
class _Loading:
    """Hold a prepare order that is answered once its map is loaded."""

    version: MapVersion
    until: Deadline
    reply: Reply[OrderReply]


class LocalRank:
    """Read the runner and give it the orders of the newest coordinator."""

    def __init__(
        self,
        runner: GroupRunner,
        address: Address,
        clock: Clock,
        counts_socket: CountsSocket,
    ) -> None:
        self.mailbox: Mailbox[object] = Mailbox()
        self._runner = runner
        self._address = address
        self._clock = clock
        self._known_fence = FencingNumber(0)
        self._heard_at = clock.now()
        self._report: RankReport | None = None
        self._counts_socket = counts_socket
        self._counts_to = ""
        self._counts_until = Deadline(0.0)
        self._counts_every_s = 0.0
        self._push_at = Deadline(0.0)
        self._counters: CounterDifferences[RankIndex, tuple[int, int]] = (
            CounterDifferences()
        )
        self._counted_at = float("-inf")
        self._warn_at = Deadline(0.0)
        self._loading: list[_Loading] = []
        self._look_at = Deadline(0.0)

    @property
    def known_fence(self) -> FencingNumber:
        """Return the greatest number of a coordinator heard of."""
        return self._known_fence

    @property
    def coordinator_silent_s(self) -> float:
        """Return the seconds since the newest coordinator was last heard from."""
        return self._clock.now() - self._heard_at

    @property
    def last_report(self) -> RankReport | None:
        """Return what the rank said last."""
        return self._report

    async def refresh(self) -> RankReport | None:
        """Ask the rank for its report."""
        report = await self._runner.report()
        if report is not None:
            self._report = report
            self._warn_gateways(report)
        return report

    async def run(self) -> None:
        """Handle messages until cancelled."""
        try:
            while True:
                await self._push_counts()
                await self._answer_loaded()
                try:
                    async with asyncio.timeout(self._next_due_s()):
                        message = await self.mailbox.receive()
                except TimeoutError:
                    continue
                await self._handle(message)
        finally:
            self._runner.close()

    def _next_due_s(self) -> float | None:
        now = self._clock.now()
        due = [self._push_at] if now < self._counts_until else []
        if self._loading:
            due.append(self._look_at)
        return max(0.0, min(due) - now) if due else None

    async def _push_counts(self) -> None:
        now = self._clock.now()
        report = self._report
        if now >= self._counts_until or now < self._push_at or report is None:
            return
        self._push_at = deadline_after(self._clock, self._counts_every_s)
        counts = await self._runner.counts()
        if counts is None:
            return
        # Counts over a longer time mix the popularity of now with earlier ones.
        is_recent = (
            now - self._counted_at < _OLDEST_COUNTS_PAUSES * self._counts_every_s
        )
        self._counted_at = now
        incarnation = (report.started_ms, counts.epoch)
        choices = self._counters.take(report.rank, incarnation, counts.counts)
        if choices and is_recent:
            self._counts_socket.send(
                CountsPushed.of(report.rank, counts.epoch, choices), self._counts_to
            )

    async def _answer_loaded(self) -> None:
        """Answer the prepare orders whose map is loaded, or was not loaded in time."""
        now = self._clock.now()
        if not self._loading or now < self._look_at:
            return
        self._look_at = deadline_after(self._clock, _LOAD_POLL_S)
        report = await self.refresh()
        prepared = report.prepared if report is not None else None
        still_loading = []
        for loading in self._loading:
            if prepared == loading.version:
                result = OrderResult.DONE
            elif now < loading.until:
                still_loading.append(loading)
                continue
            else:
                result = OrderResult.STARTED
            loading.reply.send(OrderReply(result, self._known_fence))
        self._loading = still_loading

    def _warn_gateways(self, report: RankReport) -> None:
        if report.slowdown < SLOWDOWN_LIMIT or self._clock.now() < self._warn_at:
            return
        self._warn_at = deadline_after(self._clock, _WARN_S)
        host, port = self._address.host, self._address.port
        self._counts_socket.tell_gateways(UpstreamSlow(host, port, report.slowdown))

    @singledispatchmethod
    async def _handle(self, message: object) -> None:
        raise TypeError(f"unexpected message {type(message).__name__}")

    @_handle.register(GatherAsked)
    async def _gather(self, message: GatherAsked) -> None:
        request = message.request
        if not self._accepts(request.fence):
            message.reply.send(GatherReply(self._known_fence))
            return
        if request.counts_to:
            self._counts_to = request.counts_to
            self._counts_every_s = request.counts_every_s
            self._counts_until = deadline_after(self._clock, _PUSH_FOR_S)
        message.reply.send(
            GatherReply(
                self._known_fence,
                await self.refresh(),
                await self._runner.counts() if request.with_counts else None,
                await self._runner.experts() if request.with_experts else None,
            )
        )

    @_handle.register(OrderAsked)
    async def _order(self, message: OrderAsked) -> None:
        request = message.request
        if not self._accepts(request.fence):
            result = OrderResult.FENCED
        else:
            result = await self._runner.order(
                request.order, request.epoch, request.fence
            )
        if not result.is_accepted:
            _log_order(request, result, self._known_fence)
        order = request.order
        if (
            result is OrderResult.STARTED
            and request.wait_s > 0
            and isinstance(order, PrepareMap)
        ):
            until = deadline_after(self._clock, request.wait_s)
            self._loading.append(_Loading(order.version, until, message.reply))
            return
        message.reply.send(OrderReply(result, self._known_fence))

    def _accepts(self, fence: FencingNumber) -> bool:
        if fence < self._known_fence:
            return False
        if fence > self._known_fence:
            _logger.info(
                "another coordinator levels the group",
                extra={
                    "event": "coordinator_changed",
                    "fence": fence,
                    "previous_fence": self._known_fence,
                },
            )
        self._known_fence = fence
        self._heard_at = self._clock.now()
        return True


def _log_order(
    request: OrderRequest, result: OrderResult, known_fence: FencingNumber
) -> None:
    _logger.warning(
        "an order to the runner was not accepted",
        extra={
            "event": "order_not_accepted",
            "order": type(request.order).__name__,
            "result": result.value,
            "epoch": request.epoch,
            "fence": request.fence,
            "known_fence": known_fence,
        },
    )
