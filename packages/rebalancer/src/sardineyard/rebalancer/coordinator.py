"""Coordinator of a group: reads the ranks, plans layouts and switches expert maps."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

from sardineyard.catalog.messages import CatalogChanged
from sardineyard.core.clock import Deadline, deadline_after
from sardineyard.experts.layout_plan import mean_skew, plan_layout
from sardineyard.experts.rank_orders import (
    EpochEndedError,
    FencedError,
    RefusedFenceError,
)
from sardineyard.experts.switch import MapSwitch, SwitchResult, next_version
from sardineyard.rebalancer.counts import CountsPushed
from sardineyard.rebalancer.group_view import GroupView
from sardineyard.rebalancer.leadership import Leadership
from sardineyard.rebalancer.messages import GroupDump

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping
    from random import Random

    from sardineyard.core.address import Address
    from sardineyard.core.clock import Clock
    from sardineyard.core.ids import FencingNumber, ServiceName
    from sardineyard.core.mailbox import Mailbox
    from sardineyard.experts.group import RankRunner
    from sardineyard.experts.layout_plan import LayoutPlan
    from sardineyard.experts.maps import MapVersion
    from sardineyard.experts.popularity import PopularityTracker
    from sardineyard.forwarding.config import EngineProfile
    from sardineyard.rebalancer.local_rank import LocalRank
    from sardineyard.telemetry.rebalancer_metrics import RebalancerMetrics

_logger = logging.getLogger(__name__)

# Interval between two readings of all reports by RPC, which also show the ranks that
# the coordinator is alive. Counts arrive by datagrams in between.
_READ_INTERVAL_S = 0.7
# Interval between two rounds of a process that is not the coordinator.
_IDLE_ROUND_INTERVAL_S = 0.1


class Coordinator:
    """Task that rebalances the expert map while this process is the coordinator."""

    def __init__(
        self,
        mailbox: Mailbox[object],
        service: ServiceName,
        local_host: str,
        group_port: int,
        local: LocalRank,
        open_runner: Callable[[Address], RankRunner],
        clock: Clock,
        rng: Random,
        metrics: RebalancerMetrics,
    ) -> None:
        self.mailbox = mailbox
        self._service = service
        self._local = local
        self._clock = clock
        self._rng = rng
        self._metrics = metrics
        self._leadership = Leadership(local, clock)
        self._view = GroupView(local_host, group_port, local, open_runner, clock)
        self._engine: EngineProfile | None = None
        self._last_version = 0
        self._next_read_at = Deadline(0.0)
        # Duration of the last layout planning, in seconds.
        self._last_plan_s = 0.0
        self._skew = 0.0
        self._changes = 0

    @property
    def is_coordinator(self) -> bool:
        """Return whether this process is the coordinator of the group."""
        return self._leadership.fence is not None

    def dump(self) -> GroupDump:
        """Return the state of the group for the admin server."""
        return GroupDump(
            self.is_coordinator,
            self._local.known_fence,
            self._local.last_report,
            round(self._skew, 3),
            self._changes,
        )

    async def run(self) -> None:
        """Coordinate the group, or wait to take over, until cancelled."""
        try:
            while True:
                self._process_messages()
                await self._run_round()
                await asyncio.sleep(self._round_interval_s())
        finally:
            self._view.close()

    def _round_interval_s(self) -> float:
        if self._engine is None or not self.is_coordinator:
            return _IDLE_ROUND_INTERVAL_S
        return min(_READ_INTERVAL_S, self._view.counts_interval_s(self._engine))

    def _process_messages(self) -> None:
        while (message := self.mailbox.receive_nowait()) is not None:
            if isinstance(message, CountsPushed):
                self._view.add_counts(message)
                continue
            if not isinstance(message, CatalogChanged):
                raise TypeError(f"unexpected message {type(message).__name__}")
            if message.config is not None:
                profile = message.config.services.get(self._service)
                self._engine = profile.engine if profile is not None else None
            self._view.update_entries(message.upstreams.get(self._service, ()))

    async def _run_round(self) -> None:
        if self._engine is None or self._engine.layer_sets == 0:
            return
        if not self.is_coordinator:
            if not await self._leadership.take_over():
                return
            self._view.invalidate_layout()
        try:
            await self._rebalance(self._engine)
        except RefusedFenceError as error:
            self._leadership.raise_fence(str(error))
        except FencedError as error:
            self._leadership.step_down(str(error))
            self._view.invalidate_layout()
        except EpochEndedError as error:
            self._handle_epoch_end(str(error))

    async def _rebalance(self, engine: EngineProfile) -> None:
        fence = self._leadership.fence
        assert fence is not None
        # Planning blocks this process. A reading that would become due meanwhile is
        # made before it, as ranks treat a silent coordinator as unavailable.
        is_due = self._clock.now() + self._last_plan_s >= self._next_read_at
        if self._view.layout is None or is_due:
            self._next_read_at = deadline_after(self._clock, _READ_INTERVAL_S)
            is_layout_known = await self._view.read(engine, fence)
            if not is_layout_known or await self._finish_pending_change(fence):
                return
        await self._view.poll_silent_ranks(fence)
        self._view.check_epoch()
        tracker = self._view.tracker
        assert tracker is not None
        self._update_popularity(tracker)
        if tracker.is_settled:
            await self._change_map(engine, fence, tracker)

    def _create_switch(self, fence: FencingNumber) -> MapSwitch:
        members = self._view.members(fence)
        return MapSwitch(members, self._clock, self._view.epoch, self._rng)

    async def _finish_pending_change(self, fence: FencingNumber) -> bool:
        """Finish a change of another coordinator; return whether one was pending."""
        reports, layout = self._view.reports, self._view.layout
        if all(r.held_step is None and r.armed is None for r in reports.values()):
            return False
        assert layout is not None
        switch = self._create_switch(fence)
        result = await switch.resolve_unfinished(reports, layout)
        if result is not SwitchResult.NOTHING_TO_DO:
            self._log_change(result, None, switch)
            self._view.invalidate_layout()
        return True

    def _update_popularity(self, tracker: PopularityTracker) -> None:
        if tracker.update():
            _logger.info(
                "the popularity of experts has shifted",
                extra={
                    "event": "popularity_shifted",
                    "epoch": self._view.epoch,
                    "shifted_share": round(tracker.shifted_share, 3),
                },
            )

    async def _change_map(
        self, engine: EngineProfile, fence: FencingNumber, tracker: PopularityTracker
    ) -> None:
        layout = self._view.layout
        assert layout is not None
        shape, speeds = self._view.shape(engine), self._view.speeds
        loads = tracker.loads
        self._skew = mean_skew(shape, layout, loads, speeds)
        self._metrics.skew(self._skew)
        counts_age_s, started_at = self._view.counts_age_s, self._clock.now()
        plan = plan_layout(shape, layout, loads, speeds)
        if plan is None:
            return
        self._last_plan_s = self._clock.now() - started_at
        if not plan.is_worthwhile:
            return
        inputs = {
            "counts_age_ms": round(counts_age_s * 1000),
            "plan_ms": round(self._last_plan_s * 1000),
            "moved_share": round(tracker.shifted_share, 3),
        }
        version = self._next_version()
        switch = self._create_switch(fence)
        result = await switch.change(
            version, plan.layout, layout, self._view.local_rank_index, plan.copy_time_s
        )
        self._log_change(result, plan, switch, inputs)
        if result is SwitchResult.SWITCHED:
            self._view.set_layout(plan.layout, version)
            self._changes += 1
            self._leadership.reset_raises()
        else:
            self._view.invalidate_layout()

    def _next_version(self) -> MapVersion:
        seen = max(report.newest_version for report in self._view.reports.values())
        version = next_version(max(seen, self._last_version), self._rng)
        self._last_version = version
        return version

    def _handle_epoch_end(self, reason: str) -> None:
        _logger.info(
            "the epoch of the group ended; its pending map change is discarded",
            extra={
                "event": "epoch_ended",
                "epoch": self._view.epoch,
                "reason": reason,
            },
        )
        self._view.invalidate_layout()

    def _log_change(
        self,
        result: SwitchResult,
        plan: LayoutPlan | None,
        switch: MapSwitch,
        inputs: Mapping[str, float] | None = None,
    ) -> None:
        self._metrics.map_change(result.value)
        slowdowns = [report.slowdown for report in self._view.reports.values()]
        _logger.info(
            "a change of the expert map ended",
            extra={
                "event": "map_change",
                "result": result.value,
                "epoch": self._view.epoch,
                "fence": self._leadership.fence,
                "skew_before": round(plan.skew_before, 3) if plan else None,
                "skew_planned": round(plan.skew_after, 3) if plan else None,
                "slowest_rank": max(slowdowns),
                "copies": plan.copies if plan else None,
                "durations_ms": {
                    phase: round(seconds * 1000)
                    for phase, seconds in switch.durations_s.items()
                },
                "unanswered": switch.unanswered_orders,
                **(inputs or {}),
            },
        )
