"""Task that owns the connection to the runner on the VM of this process."""

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
from sardineyard.experts.load import CounterDeltas
from sardineyard.forwarding.health import SLOWDOWN_LIMIT
from sardineyard.rebalancer.counts import CountsPushed
from sardineyard.rebalancer.messages import (
    GatherCall,
    GatherReply,
    OrderCall,
    OrderReply,
)

if TYPE_CHECKING:
    from sardineyard.core.address import Address
    from sardineyard.core.clock import Clock
    from sardineyard.core.ids import RankIndex
    from sardineyard.core.mailbox import Reply
    from sardineyard.experts.group import RankReport, RankRunner
    from sardineyard.experts.maps import MapVersion
    from sardineyard.rebalancer.counts import CountsSocket
    from sardineyard.rebalancer.messages import OrderRequest

_logger = logging.getLogger(__name__)

# Interval between two warnings to the gateways that the rank is slow.
_WARN_INTERVAL_S = 0.3
# Time for which counts are pushed after the latest request of the coordinator.
_PUSH_DURATION_S = 4.0
# Counts that cover more than this many push intervals are not sent.
_MAX_COUNTS_AGE_INTERVALS = 4
# Interval between two checks whether a map is loaded.
_LOAD_POLL_INTERVAL_S = 0.015


@dataclass(frozen=True, slots=True)
class _PendingPrepare:
    """Prepare order whose reply is delayed until its map is loaded."""

    version: MapVersion
    deadline: Deadline
    reply: Reply[OrderReply]


class LocalRank:
    """Task that reads the runner and sends it the orders of the newest coordinator."""

    def __init__(
        self,
        runner: RankRunner,
        address: Address,
        clock: Clock,
        counts_socket: CountsSocket,
    ) -> None:
        self.mailbox: Mailbox[object] = Mailbox()
        self._runner = runner
        self._address = address
        self._clock = clock
        self._known_fence = FencingNumber(0)
        self._last_contact_at = clock.now()
        self._report: RankReport | None = None
        self._counts_socket = counts_socket
        self._counts_to = ""
        self._counts_until = Deadline(0.0)
        self._counts_every_s = 0.0
        self._next_push_at = Deadline(0.0)
        self._counters: CounterDeltas[RankIndex, tuple[int, int]] = CounterDeltas()
        self._last_counts_at = float("-inf")
        self._next_warning_at = Deadline(0.0)
        self._pending_prepares: list[_PendingPrepare] = []
        self._next_load_poll_at = Deadline(0.0)

    @property
    def known_fence(self) -> FencingNumber:
        """Return the greatest fencing number received from a coordinator."""
        return self._known_fence

    @property
    def coordinator_silent_s(self) -> float:
        """Return the seconds since the last request of the newest coordinator."""
        return self._clock.now() - self._last_contact_at

    @property
    def last_report(self) -> RankReport | None:
        """Return the latest report of the rank."""
        return self._report

    async def refresh(self) -> RankReport | None:
        """Read the report of the rank, and warn the gateways if it is slow."""
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
                await self._reply_to_prepares()
                try:
                    async with asyncio.timeout(self._next_timeout_s()):
                        message = await self.mailbox.receive()
                except TimeoutError:
                    continue
                await self._handle(message)
        finally:
            self._runner.close()

    def _next_timeout_s(self) -> float | None:
        now = self._clock.now()
        due_times = [self._next_push_at] if now < self._counts_until else []
        if self._pending_prepares:
            due_times.append(self._next_load_poll_at)
        return max(0.0, min(due_times) - now) if due_times else None

    async def _push_counts(self) -> None:
        now = self._clock.now()
        report = self._report
        if now >= self._counts_until or now < self._next_push_at or report is None:
            return
        self._next_push_at = deadline_after(self._clock, self._counts_every_s)
        counts = await self._runner.counts()
        if counts is None:
            return
        # Counts over a longer time mix the current popularity with earlier ones.
        is_recent = (
            now - self._last_counts_at
            < _MAX_COUNTS_AGE_INTERVALS * self._counts_every_s
        )
        self._last_counts_at = now
        incarnation = (report.started_ms, counts.epoch)
        choices = self._counters.record(report.rank, incarnation, counts.counts)
        if choices and is_recent:
            self._counts_socket.send(
                CountsPushed.of(report.rank, counts.epoch, choices), self._counts_to
            )

    async def _reply_to_prepares(self) -> None:
        """Reply to prepare orders whose map is loaded or whose deadline has passed."""
        now = self._clock.now()
        if not self._pending_prepares or now < self._next_load_poll_at:
            return
        self._next_load_poll_at = deadline_after(self._clock, _LOAD_POLL_INTERVAL_S)
        report = await self.refresh()
        prepared = report.prepared if report is not None else None
        still_pending = []
        for pending in self._pending_prepares:
            if prepared == pending.version:
                result = OrderResult.DONE
            elif now < pending.deadline:
                still_pending.append(pending)
                continue
            else:
                result = OrderResult.STARTED
            pending.reply.send(OrderReply(result, self._known_fence))
        self._pending_prepares = still_pending

    def _warn_gateways(self, report: RankReport) -> None:
        if (
            report.slowdown < SLOWDOWN_LIMIT
            or self._clock.now() < self._next_warning_at
        ):
            return
        self._next_warning_at = deadline_after(self._clock, _WARN_INTERVAL_S)
        host, port = self._address.host, self._address.port
        self._counts_socket.notify_gateways(UpstreamSlow(host, port, report.slowdown))

    @singledispatchmethod
    async def _handle(self, message: object) -> None:
        raise TypeError(f"unexpected message {type(message).__name__}")

    @_handle.register(GatherCall)
    async def _gather(self, message: GatherCall) -> None:
        request = message.request
        if not self._accept_fence(request.fence):
            message.reply.send(GatherReply(self._known_fence))
            return
        if request.counts_to:
            self._counts_to = request.counts_to
            self._counts_every_s = request.counts_every_s
            self._counts_until = deadline_after(self._clock, _PUSH_DURATION_S)
        message.reply.send(
            GatherReply(
                self._known_fence,
                await self.refresh(),
                await self._runner.counts() if request.with_counts else None,
                await self._runner.experts() if request.with_experts else None,
            )
        )

    @_handle.register(OrderCall)
    async def _order(self, message: OrderCall) -> None:
        request = message.request
        if not self._accept_fence(request.fence):
            result = OrderResult.FENCED
        else:
            result = await self._runner.order(
                request.order, request.epoch, request.fence
            )
        if not result.is_accepted:
            _log_rejected_order(request, result, self._known_fence)
        order = request.order
        if (
            result is OrderResult.STARTED
            and request.wait_s > 0
            and isinstance(order, PrepareMap)
        ):
            deadline = deadline_after(self._clock, request.wait_s)
            self._pending_prepares.append(
                _PendingPrepare(order.version, deadline, message.reply)
            )
            return
        message.reply.send(OrderReply(result, self._known_fence))

    def _accept_fence(self, fence: FencingNumber) -> bool:
        if fence < self._known_fence:
            return False
        if fence > self._known_fence:
            _logger.info(
                "accepted a new coordinator of the group",
                extra={
                    "event": "coordinator_changed",
                    "fence": fence,
                    "previous_fence": self._known_fence,
                },
            )
        self._known_fence = fence
        self._last_contact_at = self._clock.now()
        return True


def _log_rejected_order(
    request: OrderRequest, result: OrderResult, known_fence: FencingNumber
) -> None:
    _logger.warning(
        "an order of a coordinator was not accepted",
        extra={
            "event": "order_not_accepted",
            "order": type(request.order).__name__,
            "result": result.value,
            "epoch": request.epoch,
            "fence": request.fence,
            "known_fence": known_fence,
        },
    )
