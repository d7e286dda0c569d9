"""Change of the expert map of a group, so that no step begins with two maps.

One rank holds the step at which the map changes before any rank is armed for it, and
the step is released only when every rank has confirmed that it is armed. Once a rank
may be armed, the only ways on are to arm the others as well, or to make sure that no
order to arm can still take effect. An order without an answer may be carried out
seconds later, so it is repeated until there is an answer.
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
from sardineyard.experts.rank_orders import INSIST_S, RankOrders

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping
    from random import Random

    from sardineyard.core.clock import Clock
    from sardineyard.core.ids import RankIndex
    from sardineyard.experts.group import (
        Layout,
        RankReport,
    )
    from sardineyard.experts.rank_orders import GroupPort

_logger = logging.getLogger(__name__)

# Time for all ranks to load a map beyond the expected one: an order whose answer is
# lost is given again, and links may be slow.
_PREPARE_TIMEOUT_S = 4.0
# Steps between the newest step that a rank reported and the one that is held. Orders
# to all ranks take 12 to 31 ms (measured, 16 ranks), a step of an unlevel group 100 ms
# and more: waiting for a later step costs more than a short stop before the next one.
_STEPS_AHEAD = 1
# The same where an order of this change stayed without an answer: repeating orders
# takes half a second then, which is the time of eight level steps, and a group that
# stands still for so long makes every stream late.
_STEPS_AHEAD_UNANSWERED = 8
# Time until the step at which the map changes; an idle group makes no steps.
_REACH_TIMEOUT_S = 1.5
_HOLD_TRIES = 4
# Versions of one round differ in their low bits, which are random: a version that two
# coordinators gave to different layouts would be armed with both.
_VERSION_ROUND = 1 << 20


def next_version(seen: int, rng: Random) -> MapVersion:
    """Return a version above the greatest one that was seen, drawn at random."""
    round_number = seen // _VERSION_ROUND + 1
    return MapVersion(round_number * _VERSION_ROUND + rng.randrange(_VERSION_ROUND))


@unique
class SwitchResult(Enum):
    """Say how a change of the map ended."""

    SWITCHED = "switched"
    NOT_PREPARED = "not_prepared"
    NOT_HELD = "not_held"
    ABORTED = "aborted"
    NOTHING_TO_DO = "nothing_to_do"


class MapSwitch:
    """Change the map of one group in one epoch."""

    def __init__(self, port: GroupPort, clock: Clock, epoch: int, rng: Random) -> None:
        self._rng = rng
        self._orders = RankOrders(port, clock, epoch)
        self._clock = clock
        self._epoch = epoch
        self._durations_s: dict[str, float] = {}

    @property
    def durations_s(self) -> dict[str, float]:
        """Return how long each phase of the last change took, in seconds."""
        return dict(self._durations_s)

    @property
    def unanswered(self) -> int:
        """Return how many orders stayed without an answer."""
        return self._orders.unanswered

    async def change(
        self,
        version: MapVersion,
        layout: Layout,
        current: Layout,
        holder: RankIndex,
        copy_time_s: float = 0.0,
    ) -> SwitchResult:
        """Switch all ranks to a map; raise FencedError or EpochEndedError.

        The ranks are first asked whether they are ready after the seconds that their
        copies are expected to take.
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
                await self._wait_in_use(version, holder)
        return result

    async def prepare(
        self, version: MapVersion, layout: Layout, copy_time_s: float = 0.0
    ) -> bool:
        """Return whether every rank has loaded a map."""
        ready_at = deadline_after(self._clock, copy_time_s)
        deadline = deadline_after(self._clock, copy_time_s + _PREPARE_TIMEOUT_S)
        order = PrepareMap(version, layout)
        results = await self._orders.spread(order)
        done = await asyncio.gather(
            *(
                self._orders.prepare(rank, order, ready_at, deadline, result)
                for rank, result in results.items()
            )
        )
        return all(done)

    async def finish(
        self, reports: Mapping[RankIndex, RankReport], current: Layout
    ) -> SwitchResult:
        """End a change that another coordinator left unfinished."""
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
            return await self._finish_unheld(reports, armed, current)
        holder, step = next(iter(held.items()))
        _logger.warning(
            "a change of the map was left unfinished",
            extra={
                "event": "map_change_found",
                "epoch": self._epoch,
                "held_step": step,
                "armed": sorted(armed),
            },
        )
        versions = {version for version, _ in armed}
        if not versions:
            # An order to arm may still be under way, so releasing is not enough.
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
        began = self._clock.now()
        try:
            yield
        finally:
            self._durations_s[phase] = self._clock.now() - began

    async def _finish_unheld(
        self,
        reports: Mapping[RankIndex, RankReport],
        armed: set[tuple[MapVersion, StepNumber]],
        current: Layout,
    ) -> SwitchResult:
        everywhere = sum(report.armed is not None for report in reports.values())
        if not armed or (len(armed) == 1 and everywhere == len(reports)):
            # Released already: the switch follows with the next steps.
            return SwitchResult.NOTHING_TO_DO
        # Reports of different moments may look like this around the switch itself.
        passed = max(report.step for report in reports.values())
        if any(step <= passed for _, step in armed):
            return SwitchResult.NOTHING_TO_DO
        version, step = next(iter(armed))
        holder = next(iter(reports))
        if (await self._orders.insist(holder, HoldStep(step))).is_accepted:
            return await self._arm_and_release(version, step, holder, current)
        return SwitchResult.NOT_HELD

    async def _wait_in_use(self, version: MapVersion, holder: RankIndex) -> None:
        """Wait until the map is in use; ranks that are armed refuse the next one."""
        deadline = deadline_after(self._clock, _REACH_TIMEOUT_S)
        await self._orders.wait_until(
            holder, lambda report: report.version >= version, deadline
        )

    async def _hold(self, holder: RankIndex) -> StepNumber | None:
        for attempt in range(_HOLD_TRIES):
            report = await self._orders.report(holder)
            if report is None or report.held_step is not None:
                return None
            ahead = _STEPS_AHEAD_UNANSWERED if self._orders.unanswered else _STEPS_AHEAD
            step = StepNumber(report.step + ahead + attempt)
            result = await self._orders.insist(holder, HoldStep(step))
            if result.is_accepted:
                return step
            if result is OrderResult.UNANSWERED:
                # It may still take effect; the next coordinator's look finds it.
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
        answers = await self._orders.spread(order)
        while True:
            if any(result is OrderResult.REFUSED for result in answers.values()):
                reports = await self._orders.all_reports()
                if all(report.version == version for report in reports.values()):
                    return SwitchResult.SWITCHED
                return await self._abort(reports, {holder: step}, current)
            waiting = [r for r, result in answers.items() if not result.is_accepted]
            if not waiting:
                break
            results = await asyncio.gather(
                *(self._orders.insist(rank, order) for rank in waiting)
            )
            answers = dict(zip(waiting, results, strict=True))
            if any(result is OrderResult.UNANSWERED for result in results):
                _logger.warning(
                    "the group is held until every rank confirms the new map",
                    extra={
                        "event": "map_arm_waiting",
                        "version": version,
                        "step": step,
                        "ranks": sorted(waiting),
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

        A rank refuses to arm a version that is no longer the prepared one, so each
        rank prepares a newer version that is never armed.
        """
        newest = max(report.newest_version for report in reports.values())
        _logger.warning(
            "a change of the map is taken back",
            extra={"event": "map_change_aborted", "epoch": self._epoch},
        )
        for _ in range(_HOLD_TRIES):
            newest = next_version(newest, self._rng)
            done = await asyncio.gather(
                *(
                    self._neutralize(rank, newest, current)
                    for rank in self._orders.ranks
                )
            )
            if all(done):
                for holder, step in held.items():
                    await self._orders.release(holder, step)
                return SwitchResult.ABORTED
        return SwitchResult.NOT_HELD

    async def _neutralize(
        self, rank: RankIndex, version: MapVersion, current: Layout
    ) -> bool:
        report = await self._orders.report(rank)
        if report is None:
            return False
        if report.armed is not None:
            result = await self._orders.insist(rank, DisarmMap(report.armed))
            if not result.is_accepted:
                return False
        now = deadline_after(self._clock, 0.0)
        deadline = deadline_after(self._clock, INSIST_S)
        order = PrepareMap(version, current)
        return await self._orders.prepare(rank, order, now, deadline)
