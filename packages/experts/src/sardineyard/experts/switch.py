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
from typing import TYPE_CHECKING, Protocol

from sardineyard.core.clock import deadline_after, remaining
from sardineyard.core.ids import StepNumber
from sardineyard.experts.group import (
    ArmMap,
    DisarmMap,
    HoldStep,
    OrderResult,
    PrepareMap,
    ReleaseStep,
)
from sardineyard.experts.maps import MapVersion

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping, Sequence
    from random import Random

    from sardineyard.core.clock import Clock, Deadline
    from sardineyard.core.ids import RankIndex
    from sardineyard.experts.group import (
        Layout,
        MapOrder,
        RankReport,
    )

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
_RETRY_PAUSE_S = 0.02
# Time for which one order is repeated before another way on is looked for.
_INSIST_S = 2.0
# Versions of one round differ in their low bits, which are random: a version that two
# coordinators gave to different layouts would be armed with both.
_VERSION_ROUND = 1 << 20


def next_version(seen: int, rng: Random) -> MapVersion:
    """Return a version above the greatest one that was seen, drawn at random."""
    round_number = seen // _VERSION_ROUND + 1
    return MapVersion(round_number * _VERSION_ROUND + rng.randrange(_VERSION_ROUND))


class FencedError(Exception):
    """Report that another coordinator gives orders with a greater number."""


class RefusedFenceError(FencedError):
    """Report that a rank has seen a greater number, maybe of one that is gone."""


class EpochEndedError(Exception):
    """Report that the group was formed anew, which undoes every change."""


@unique
class SwitchResult(Enum):
    """Say how a change of the map ended."""

    SWITCHED = "switched"
    NOT_PREPARED = "not_prepared"
    NOT_HELD = "not_held"
    ABORTED = "aborted"
    NOTHING_TO_DO = "nothing_to_do"


class GroupPort(Protocol):
    """Reach all ranks of one group with the numbers of one coordinator."""

    @property
    def ranks(self) -> Sequence[RankIndex]:
        """Return the ranks of the group."""

    async def order(self, rank: RankIndex, order: MapOrder) -> OrderResult:
        """Give an order to one rank."""

    async def report(self, rank: RankIndex) -> RankReport | None:
        """Return what one rank says about itself, or None without an answer."""


class MapSwitch:
    """Change the map of one group in one epoch."""

    def __init__(self, port: GroupPort, clock: Clock, epoch: int, rng: Random) -> None:
        self._rng = rng
        self._port = port
        self._clock = clock
        self._epoch = epoch
        self._durations_s: dict[str, float] = {}
        self._unanswered = 0

    @property
    def durations_s(self) -> dict[str, float]:
        """Return how long each phase of the last change took, in seconds."""
        return dict(self._durations_s)

    @property
    def unanswered(self) -> int:
        """Return how many orders stayed without an answer."""
        return self._unanswered

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
        done = await asyncio.gather(
            *(
                self._prepare_rank(rank, order, ready_at, deadline)
                for rank in self._port.ranks
            )
        )
        return all(done)

    @contextmanager
    def _timed(self, phase: str) -> Iterator[None]:
        began = self._clock.now()
        try:
            yield
        finally:
            self._durations_s[phase] = self._clock.now() - began

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
        if (await self._insist(holder, HoldStep(step))).is_accepted:
            return await self._arm_and_release(version, step, holder, current)
        return SwitchResult.NOT_HELD

    async def _prepare_rank(
        self,
        rank: RankIndex,
        order: PrepareMap,
        ready_at: Deadline,
        deadline: Deadline,
    ) -> bool:
        was_unanswered = False
        while self._clock.now() < deadline:
            result = await self._give(rank, order)
            if result is OrderResult.DONE:
                return True
            report = await self._report(rank)
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
                return await self._wait_prepared(rank, order, deadline)
        return False

    async def _wait_prepared(
        self, rank: RankIndex, order: PrepareMap, deadline: Deadline
    ) -> bool:
        while self._clock.now() < deadline:
            report = await self._report(rank)
            if report is not None and report.prepared == order.version:
                return True
            await asyncio.sleep(_RETRY_PAUSE_S)
        return False

    async def _wait_in_use(self, version: MapVersion, holder: RankIndex) -> None:
        """Wait until the map is in use; ranks that are armed refuse the next one."""
        deadline = deadline_after(self._clock, _REACH_TIMEOUT_S)
        while self._clock.now() < deadline:
            report = await self._report(holder)
            if report is not None and report.version >= version:
                return
            await asyncio.sleep(_RETRY_PAUSE_S)

    async def _hold(self, holder: RankIndex) -> StepNumber | None:
        for attempt in range(_HOLD_TRIES):
            report = await self._report(holder)
            if report is None or report.held_step is not None:
                return None
            ahead = _STEPS_AHEAD_UNANSWERED if self._unanswered else _STEPS_AHEAD
            step = StepNumber(report.step + ahead + attempt)
            result = await self._insist(holder, HoldStep(step))
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
        waiting = set(self._port.ranks)
        while waiting:
            ranks = sorted(waiting)
            results = await asyncio.gather(*(self._insist(r, order) for r in ranks))
            answers = dict(zip(ranks, results, strict=True))
            if any(result is OrderResult.REFUSED for result in results):
                reports = await self._all_reports()
                if all(report.version == version for report in reports.values()):
                    return SwitchResult.SWITCHED
                return await self._abort(reports, {holder: step}, current)
            waiting = {rank for rank in ranks if not answers[rank].is_accepted}
            if waiting:
                _logger.warning(
                    "the group is held until every rank confirms the new map",
                    extra={
                        "event": "map_arm_waiting",
                        "version": version,
                        "step": step,
                        "ranks": sorted(waiting),
                    },
                )
        await self._release(holder, step)
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
        newest = max(
            max(report.version, report.prepared or 0, report.armed or 0)
            for report in reports.values()
        )
        _logger.warning(
            "a change of the map is taken back",
            extra={"event": "map_change_aborted", "epoch": self._epoch},
        )
        for _ in range(_HOLD_TRIES):
            newest = next_version(newest, self._rng)
            done = await asyncio.gather(
                *(self._neutralize(rank, newest, current) for rank in self._port.ranks)
            )
            if all(done):
                for holder, step in held.items():
                    await self._release(holder, step)
                return SwitchResult.ABORTED
        return SwitchResult.NOT_HELD

    async def _neutralize(
        self, rank: RankIndex, version: MapVersion, current: Layout
    ) -> bool:
        report = await self._report(rank)
        if report is None:
            return False
        if report.armed is not None:
            result = await self._insist(rank, DisarmMap(report.armed))
            if not result.is_accepted:
                return False
        now = deadline_after(self._clock, 0.0)
        deadline = deadline_after(self._clock, _INSIST_S)
        order = PrepareMap(version, current)
        return await self._prepare_rank(rank, order, now, deadline)

    async def _release(self, holder: RankIndex, step: StepNumber) -> None:
        while True:
            if (await self._insist(holder, ReleaseStep(step))).is_accepted:
                return
            report = await self._report(holder)
            if report is not None and report.held_step != step:
                return
            await asyncio.sleep(_RETRY_PAUSE_S)

    async def _insist(self, rank: RankIndex, order: MapOrder) -> OrderResult:
        """Repeat an order until there is an answer or the time is over."""
        deadline = deadline_after(self._clock, _INSIST_S)
        while True:
            result = await self._give(rank, order)
            if result is not OrderResult.UNANSWERED:
                return result
            await self._report(rank)
            if self._clock.now() >= deadline:
                return result
            await asyncio.sleep(_RETRY_PAUSE_S)

    async def _give(self, rank: RankIndex, order: MapOrder) -> OrderResult:
        result = await self._port.order(rank, order)
        self._unanswered += result is OrderResult.UNANSWERED
        if result is OrderResult.FENCED:
            raise RefusedFenceError(f"rank {rank}")
        if result is OrderResult.REFUSED:
            # An order of an earlier epoch is refused as well.
            await self._report(rank)
        return result

    async def _report(self, rank: RankIndex) -> RankReport | None:
        report = await self._port.report(rank)
        if report is not None and (report.epoch != self._epoch or not report.is_open):
            raise EpochEndedError(f"epoch {report.epoch}")
        return report

    async def _all_reports(self) -> dict[RankIndex, RankReport]:
        ranks = list(self._port.ranks)
        reports = await asyncio.gather(*(self._report(rank) for rank in ranks))
        return {
            rank: report
            for rank, report in zip(ranks, reports, strict=True)
            if report is not None
        }


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
