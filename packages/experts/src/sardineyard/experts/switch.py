"""Change of the expert map of a group, with the same map on all ranks in every step.

One rank holds the step at which the map changes before any rank is armed for it, and
the step is released only after every rank has confirmed that it is armed. Once a rank
may be armed, the coordinator either arms all the others, or makes sure that no order to
arm can still take effect. An order without a reply may be carried out seconds later, so
it is retried until there is a reply.
"""

from __future__ import annotations

import asyncio
import logging
from contextlib import contextmanager
from enum import Enum, unique
from typing import TYPE_CHECKING

from sardineyard.core.clock import deadline_after
from sardineyard.core.ids import StepNumber
from sardineyard.experts.group import (
    ArmMap,
    DisarmMap,
    HoldStep,
    OrderResult,
    PrepareMap,
)
from sardineyard.experts.maps import MapVersion
from sardineyard.experts.rank_orders import ORDER_RETRY_TIMEOUT_S, RankOrders

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping
    from random import Random

    from sardineyard.core.clock import Clock
    from sardineyard.core.ids import RankIndex
    from sardineyard.experts.group import (
        Layout,
        RankReport,
    )
    from sardineyard.experts.rank_orders import GroupTransport

_logger = logging.getLogger(__name__)

# Time for all ranks to load a map in excess of the expected copy time, in seconds:
# orders whose reply is lost are retried, and links may be slow.
_PREPARE_TIMEOUT_S = 4.0
# Steps between the last step that a rank reported and the one that is held. Orders to
# 16 ranks take 12 to 31 ms and a step of an unbalanced group at least 100 ms, so
# waiting for a later step costs more than holding the group briefly at the next one.
_STEPS_AHEAD = 1
# Same, if an order of this change had no reply: retries then take half a second, the
# time of eight steps of a balanced group, and holding the group for that long would
# make every stream late.
_STEPS_AHEAD_UNANSWERED = 8
# Time to wait for the step at which the map changes, in seconds; an idle group runs no
# steps.
_MAP_IN_USE_TIMEOUT_S = 1.5
_MAX_ATTEMPTS = 4
# Number of versions in a round. A coordinator draws its version at random from the next
# round: if two coordinators gave the same version to different layouts, some ranks
# would be armed with each of them.
_VERSION_ROUND_SIZE = 1 << 20


def next_version(highest_seen: int, rng: Random) -> MapVersion:
    """Return a random version of the next round after the greatest version seen."""
    round_number = highest_seen // _VERSION_ROUND_SIZE + 1
    return MapVersion(
        round_number * _VERSION_ROUND_SIZE + rng.randrange(_VERSION_ROUND_SIZE)
    )


@unique
class SwitchResult(Enum):
    """Result of a change of the map."""

    SWITCHED = "switched"
    NOT_PREPARED = "not_prepared"
    NOT_HELD = "not_held"
    ABORTED = "aborted"
    NOTHING_TO_DO = "nothing_to_do"


class MapSwitch:
    """Changes the map of one group in one epoch, or ends an unfinished change."""

    def __init__(
        self, transport: GroupTransport, clock: Clock, epoch: int, rng: Random
    ) -> None:
        self._rng = rng
        self._orders = RankOrders(transport, clock, epoch)
        self._clock = clock
        self._epoch = epoch
        self._durations_s: dict[str, float] = {}

    @property
    def durations_s(self) -> dict[str, float]:
        """Return the duration of each phase of the last change, in seconds."""
        return dict(self._durations_s)

    @property
    def unanswered_orders(self) -> int:
        """Return the number of orders that had no reply."""
        return self._orders.unanswered_orders

    async def change(
        self,
        version: MapVersion,
        layout: Layout,
        current: Layout,
        holder: RankIndex,
        copy_time_s: float = 0.0,
    ) -> SwitchResult:
        """Switch all ranks to a map; raise FencedError or EpochEndedError.

        The copy time is the expected time in which the ranks load their new experts;
        they are first polled for completion after it.
        """
        with self._timed("prepare"):
            is_prepared = await self.prepare(version, layout, copy_time_s)
        if not is_prepared:
            return SwitchResult.NOT_PREPARED
        with self._timed("hold"):
            step = await self._hold(holder)
        if step is None:
            return SwitchResult.NOT_HELD
        with self._timed("arm"):
            result = await self._arm_and_release(version, step, holder, current)
        if result is SwitchResult.SWITCHED:
            with self._timed("reach"):
                await self._wait_until_in_use(version, holder)
        return result

    async def prepare(
        self, version: MapVersion, layout: Layout, copy_time_s: float = 0.0
    ) -> bool:
        """Load a map on all ranks; return whether every rank has loaded it."""
        ready_at = deadline_after(self._clock, copy_time_s)
        deadline = deadline_after(self._clock, copy_time_s + _PREPARE_TIMEOUT_S)
        order = PrepareMap(version, layout)
        results = await self._orders.broadcast(order)
        done = await asyncio.gather(
            *(
                self._orders.prepare(rank, order, ready_at, deadline, result)
                for rank, result in results.items()
            )
        )
        return all(done)

    async def resolve_unfinished(
        self, reports: Mapping[RankIndex, RankReport], current: Layout
    ) -> SwitchResult:
        """Complete or abort a change that another coordinator left unfinished."""
        held = {
            rank: report.held_step
            for rank, report in reports.items()
            if report.held_step is not None
        }
        armed = {
            (report.armed, report.armed_step)
            for report in reports.values()
            if report.armed is not None and report.armed_step is not None
        }
        if not held:
            return await self._finish_without_hold(reports, armed, current)
        holder, step = next(iter(held.items()))
        _logger.warning(
            "found an unfinished change of the expert map",
            extra={
                "event": "map_change_found",
                "epoch": self._epoch,
                "held_step": step,
                "armed": sorted(armed),
            },
        )
        versions = {version for version, _ in armed}
        if not versions:
            # An order to arm may still be in transit: releasing the step is not enough.
            versions = {
                report.prepared for report in reports.values() if report.prepared
            }
        if len(versions) == 1 and len(held) == 1:
            result = await self._arm_and_release(versions.pop(), step, holder, current)
        else:
            result = await self._abort(reports, held, current)
        return result

    @contextmanager
    def _timed(self, phase: str) -> Iterator[None]:
        started_at = self._clock.now()
        try:
            yield
        finally:
            self._durations_s[phase] = self._clock.now() - started_at

    async def _finish_without_hold(
        self,
        reports: Mapping[RankIndex, RankReport],
        armed: set[tuple[MapVersion, StepNumber]],
        current: Layout,
    ) -> SwitchResult:
        armed_count = sum(report.armed is not None for report in reports.values())
        if not armed or (len(armed) == 1 and armed_count == len(reports)):
            # The step is already released: the ranks switch when they reach it.
            return SwitchResult.NOTHING_TO_DO
        # Reports taken at different times may show this while the ranks are switching.
        last_step = max(report.step for report in reports.values())
        if any(step <= last_step for _, step in armed):
            return SwitchResult.NOTHING_TO_DO
        version, step = next(iter(armed))
        holder = next(iter(reports))
        if (await self._orders.send_until_answered(holder, HoldStep(step))).is_accepted:
            return await self._arm_and_release(version, step, holder, current)
        return SwitchResult.NOT_HELD

    async def _wait_until_in_use(self, version: MapVersion, holder: RankIndex) -> None:
        """Wait until the map is in use; armed ranks refuse to prepare another one."""
        deadline = deadline_after(self._clock, _MAP_IN_USE_TIMEOUT_S)
        await self._orders.wait_until(
            holder, lambda report: report.version >= version, deadline
        )

    async def _hold(self, holder: RankIndex) -> StepNumber | None:
        for attempt in range(_MAX_ATTEMPTS):
            report = await self._orders.report(holder)
            if report is None or report.held_step is not None:
                return None
            ahead = (
                _STEPS_AHEAD_UNANSWERED
                if self._orders.unanswered_orders
                else _STEPS_AHEAD
            )
            step = StepNumber(report.step + ahead + attempt)
            result = await self._orders.send_until_answered(holder, HoldStep(step))
            if result.is_accepted:
                return step
            if result is OrderResult.UNANSWERED:
                # The order may still take effect; the next report of the rank shows it.
                return None
        return None

    async def _arm_and_release(
        self,
        version: MapVersion,
        step: StepNumber,
        holder: RankIndex,
        current: Layout,
    ) -> SwitchResult:
        order = ArmMap(version, step)
        rank_results = await self._orders.broadcast(order)
        while True:
            if any(result is OrderResult.REFUSED for result in rank_results.values()):
                reports = await self._orders.all_reports()
                if all(report.version == version for report in reports.values()):
                    return SwitchResult.SWITCHED
                return await self._abort(reports, {holder: step}, current)
            unconfirmed = [
                r for r, result in rank_results.items() if not result.is_accepted
            ]
            if not unconfirmed:
                break
            results = await asyncio.gather(
                *(self._orders.send_until_answered(rank, order) for rank in unconfirmed)
            )
            rank_results = dict(zip(unconfirmed, results, strict=True))
            if any(result is OrderResult.UNANSWERED for result in results):
                _logger.warning(
                    "the group is held until all ranks confirm that they are armed",
                    extra={
                        "event": "map_arm_waiting",
                        "version": version,
                        "step": step,
                        "ranks": sorted(unconfirmed),
                    },
                )
        await self._orders.release(holder, step)
        return SwitchResult.SWITCHED

    async def _abort(
        self,
        reports: Mapping[RankIndex, RankReport],
        held: Mapping[RankIndex, StepNumber],
        current: Layout,
    ) -> SwitchResult:
        """Release the group with its old map; no order to arm may take effect later.

        A rank refuses to arm a version other than the prepared one, so each rank
        prepares a newer version, which is never armed.
        """
        newest = max(report.newest_version for report in reports.values())
        _logger.warning(
            "aborting a change of the expert map",
            extra={"event": "map_change_aborted", "epoch": self._epoch},
        )
        for _ in range(_MAX_ATTEMPTS):
            newest = next_version(newest, self._rng)
            done = await asyncio.gather(
                *(
                    self._supersede_prepared(rank, newest, current)
                    for rank in self._orders.ranks
                )
            )
            if all(done):
                for holder, step in held.items():
                    await self._orders.release(holder, step)
                return SwitchResult.ABORTED
        return SwitchResult.NOT_HELD

    async def _supersede_prepared(
        self, rank: RankIndex, version: MapVersion, current: Layout
    ) -> bool:
        report = await self._orders.report(rank)
        if report is None:
            return False
        if report.armed is not None:
            result = await self._orders.send_until_answered(
                rank, DisarmMap(report.armed)
            )
            if not result.is_accepted:
                return False
        now = deadline_after(self._clock, 0.0)
        deadline = deadline_after(self._clock, ORDER_RETRY_TIMEOUT_S)
        order = PrepareMap(version, current)
        return await self._orders.prepare(rank, order, now, deadline)
