"""The coordinator of a group: it reads the ranks, plans layouts and switches maps."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

from sardineyard.catalog.messages import CatalogChanged
from sardineyard.core.clock import Deadline, deadline_after
from sardineyard.experts.leveling import level, mean_skew
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
    from sardineyard.experts.group import GroupRunner
    from sardineyard.experts.leveling import Leveling
    from sardineyard.experts.maps import MapVersion
    from sardineyard.experts.popularity import PopularityTracker
    from sardineyard.forwarding.config import EngineProfile
    from sardineyard.rebalancer.local_rank import LocalRank
    from sardineyard.telemetry.rebalancer_metrics import RebalancerMetrics

_logger = logging.getLogger(__name__)

# Time between two readings of all reports by calls, which also tell the ranks that the
# coordinator lives; counts come by datagrams meanwhile.
_REPORT_S = 0.7
# Pause between two rounds of a process that does not coordinate.
_IDLE_ROUND_S = 0.1


class Coordinator:
    """Level the map of the group, where no rebalancer of a lower rank does."""

    def __init__(
        self,
        mailbox: Mailbox[object],
        service: ServiceName,
        own_host: str,
        group_port: int,
        local: LocalRank,
        open_runner: Callable[[Address], GroupRunner],
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
        self._view = GroupView(own_host, group_port, local, open_runner, clock)
        self._engine: EngineProfile | None = None
        self._last_version = 0
        self._read_at = Deadline(0.0)
        # How long the last planning took, in seconds.
        self._plan_s = 0.0
        self._skew = 0.0
        self._changes = 0

    @property
    def is_coordinator(self) -> bool:
        """Return whether this process levels the group now."""
        return self._leadership.fence is not None

    def dump(self) -> GroupDump:
        """Return what is known about the group."""
        return GroupDump(
            self.is_coordinator,
            self._local.known_fence,
            self._local.last_report,
            round(self._skew, 3),
            self._changes,
        )

    async def run(self) -> None:
        """Level the group until cancelled."""
        try:
            while True:
                self._take_news()
                await self._round()
                await asyncio.sleep(self._pause_s())
        finally:
            self._view.close()

    def _pause_s(self) -> float:
        if self._engine is None or not self.is_coordinator:
            return _IDLE_ROUND_S
        return min(_REPORT_S, self._view.counts_pause_s(self._engine))

    def _take_news(self) -> None:
        while (news := self.mailbox.take()) is not None:
            if isinstance(news, CountsPushed):
                self._view.adopt_counts(news)
                continue
            if not isinstance(news, CatalogChanged):
                raise TypeError(f"unexpected message {type(news).__name__}")
            if news.config is not None:
                profile = news.config.services.get(self._service)
                self._engine = profile.engine if profile is not None else None
            self._view.adopt_entries(news.upstreams.get(self._service, ()))

    async def _round(self) -> None:
        if self._engine is None or self._engine.layer_sets == 0:
            return
        if not self.is_coordinator:
            if not await self._leadership.take_over():
                return
            self._view.forget_layout()
        try:
            await self._level_group(self._engine)
        except RefusedFenceError as error:
            self._leadership.raise_fence(str(error))
        except FencedError as error:
            self._leadership.step_down(str(error))
            self._view.forget_layout()
        except EpochEndedError as error:
            self._forget_group(str(error))

    async def _level_group(self, engine: EngineProfile) -> None:
        fence = self._leadership.fence
        assert fence is not None
        # The ranks hear nothing while a change is planned, so a reading that is due by
        # then is made before: they take a silent coordinator as gone.
        is_due = self._clock.now() + self._plan_s >= self._read_at
        if self._view.layout is None or is_due:
            self._read_at = deadline_after(self._clock, _REPORT_S)
            is_readable = await self._view.read(engine, fence)
            if not is_readable or await self._finish_leftover(fence):
                return
        await self._view.ask_silent(fence)
        self._view.check_epoch()
        tracker = self._view.tracker
        assert tracker is not None
        self._update_popularity(tracker)
        if tracker.is_settled:
            await self._improve(engine, fence, tracker)

    def _switch(self, fence: FencingNumber) -> MapSwitch:
        members = self._view.members(fence)
        return MapSwitch(members, self._clock, self._view.epoch, self._rng)

    async def _finish_leftover(self, fence: FencingNumber) -> bool:
        """Return whether a change of another coordinator was pending."""
        reports, layout = self._view.reports, self._view.layout
        if all(r.held_step is None and r.armed is None for r in reports.values()):
            return False
        assert layout is not None
        switch = self._switch(fence)
        result = await switch.finish(reports, layout)
        if result is not SwitchResult.NOTHING_TO_DO:
            self._log_change(result, None, switch)
            self._view.forget_layout()
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

    async def _improve(
        self, engine: EngineProfile, fence: FencingNumber, tracker: PopularityTracker
    ) -> None:
        layout = self._view.layout
        assert layout is not None
        shape, speeds = self._view.shape(engine), self._view.speeds
        loads = tracker.loads
        self._skew = mean_skew(shape, layout, loads, speeds)
        self._metrics.skew(self._skew)
        counts_age_s, began = self._view.counts_age_s, self._clock.now()
        planned = level(shape, layout, loads, speeds)
        if planned is None:
            return
        self._plan_s = self._clock.now() - began
        if not planned.is_worth_it:
            return
        inputs = {
            "counts_age_ms": round(counts_age_s * 1000),
            "plan_ms": round(self._plan_s * 1000),
            "moved_share": round(tracker.shifted_share, 3),
        }
        version = self._next_version()
        switch = self._switch(fence)
        result = await switch.change(
            version, planned.layout, layout, self._view.own_rank, planned.copy_time_s
        )
        self._log_change(result, planned, switch, inputs)
        if result is SwitchResult.SWITCHED:
            self._view.use_layout(planned.layout, version)
            self._changes += 1
            self._leadership.confirm()
        else:
            self._view.forget_layout()

    def _next_version(self) -> MapVersion:
        seen = max(report.newest_version for report in self._view.reports.values())
        version = next_version(max(seen, self._last_version), self._rng)
        self._last_version = version
        return version

    def _forget_group(self, reason: str) -> None:
        _logger.info(
            "the group is formed anew, its change of the map is void",
            extra={
                "event": "epoch_ended",
                "epoch": self._view.epoch,
                "reason": reason,
            },
        )
        self._view.forget_layout()

    def _log_change(
        self,
        result: SwitchResult,
        planned: Leveling | None,
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
                "skew_before": round(planned.skew_before, 3) if planned else None,
                "skew_planned": round(planned.skew_after, 3) if planned else None,
                "slowest_rank": max(slowdowns),
                "copies": planned.copies if planned else None,
                "durations_ms": {
                    phase: round(seconds * 1000)
                    for phase, seconds in switch.durations_s.items()
                },
                "unanswered": switch.unanswered,
                **(inputs or {}),
            },
        )
