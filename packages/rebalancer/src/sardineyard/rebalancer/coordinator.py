"""The coordinator of a group: it reads the ranks, plans layouts and switches maps."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

from sardineyard.catalog.messages import CatalogChanged
from sardineyard.core.ids import FencingNumber, RankIndex
from sardineyard.experts.leveling import (
    GroupShape,
    is_whole,
    layout_of_ranks,
    level,
    mean_skew,
)
from sardineyard.experts.maps import MapVersion
from sardineyard.experts.popularity import PopularityTracker
from sardineyard.experts.switch import (
    EpochEndedError,
    FencedError,
    MapSwitch,
    RefusedFenceError,
    SwitchResult,
    next_version,
)
from sardineyard.rebalancer.counts import CountsPushed
from sardineyard.rebalancer.local_rank import PUSH_S
from sardineyard.rebalancer.members import GroupMembers, Member, OwnMember
from sardineyard.rebalancer.messages import GatherRequest, GroupDump

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence
    from random import Random

    from sardineyard.core.address import Address
    from sardineyard.core.clock import Clock
    from sardineyard.core.ids import ServiceName
    from sardineyard.core.mailbox import Mailbox
    from sardineyard.experts.group import GroupRunner, Layout, RankReport
    from sardineyard.experts.leveling import Leveling
    from sardineyard.forwarding.config import EngineProfile, UpstreamEntry
    from sardineyard.rebalancer.local_rank import LocalRank
    from sardineyard.rebalancer.messages import GatherReply
    from sardineyard.telemetry.rebalancer_metrics import RebalancerMetrics

_logger = logging.getLogger(__name__)

# Rounds between two readings of all reports by calls, which also tell the ranks that
# the coordinator lives; counts come by datagrams meanwhile.
_ROUNDS_PER_REPORT = 7
# Age of counts after which a rank is asked for them.
_STALE_COUNTS_S = 1.2
# Silence after which the coordinator is taken as gone, with a step for each rank, so
# that the next one is the only one to take over. A held group stands still meanwhile.
_TAKEOVER_S = 0.9
_TAKEOVER_STEP_S = 0.2
_TAKEOVER_STEPS = 8
# A coordinator that was deposed leaves the group alone for this time.
_DEPOSED_S = 3.0
# Numbers that are tried one after the other. Terms double, so that few suffice after
# many coordinators; more refusals mean one that cannot be heard.
_MOST_RAISES = 8
# Ranks have a part of each fencing number to themselves.
_FENCE_PER_TERM = 1 << 12
_LARGEST_TERM = 1 << 40


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
        self._own_host = own_host
        self._group_port = group_port
        self._local = local
        self._open_runner = open_runner
        self._clock = clock
        self._rng = rng
        self._metrics = metrics
        self._engine: EngineProfile | None = None
        self._members: dict[str, Member | OwnMember] = {}
        self._fence: FencingNumber | None = None
        self._term = 0
        self._deposed_until = 0.0
        self._raises = 0
        self._epoch = -1
        self._layout: Layout | None = None
        self._layout_version = MapVersion(-1)
        self._last_version = 0
        self._tracker: PopularityTracker | None = None
        self._has_shifted = False
        self._rounds = 0
        self._epoch_began = clock.now()
        self._pushed: dict[RankIndex, tuple[float, CountsPushed]] = {}
        self._group: dict[RankIndex, Member | OwnMember] = {}
        self._reports: dict[RankIndex, RankReport] = {}
        self._skew = 0.0
        self._changes = 0

    @property
    def is_coordinator(self) -> bool:
        """Return whether this process levels the group now."""
        return self._fence is not None

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
                await asyncio.sleep(PUSH_S)
        finally:
            for member in self._members.values():
                member.close()

    def _take_news(self) -> None:
        while (news := self.mailbox.take()) is not None:
            if isinstance(news, CountsPushed):
                self._pushed[RankIndex(news.rank)] = (self._clock.now(), news)
                continue
            if not isinstance(news, CatalogChanged):
                raise TypeError(f"unexpected message {type(news).__name__}")
            if news.config is not None:
                profile = news.config.services.get(self._service)
                self._engine = profile.engine if profile is not None else None
            self._adopt_entries(news.upstreams.get(self._service, ()))

    def _adopt_entries(self, entries: tuple[UpstreamEntry, ...]) -> None:
        # Ranks whose entries are gone stay reachable until the group is formed anew.
        for entry in entries:
            known = self._members.get(entry.id)
            if known is not None and known.entry.started_ms == entry.started_ms:
                continue
            if known is not None:
                known.close()
            if entry.host == self._own_host:
                self._members[entry.id] = OwnMember(entry, self._local)
            else:
                self._members[entry.id] = Member(
                    entry, self._group_port, self._open_runner, self._clock
                )

    async def _round(self) -> None:
        if self._engine is None or self._engine.layer_sets == 0:
            return
        if not self.is_coordinator and not await self._take_over():
            return
        try:
            await self._level_group(self._engine)
        except RefusedFenceError as error:
            self._raise_fence(str(error))
        except FencedError as error:
            self._step_down(str(error))
        except EpochEndedError as error:
            self._forget_group(str(error))

    async def _take_over(self) -> bool:
        """Become the coordinator if the last one is silent; return whether so."""
        now = self._clock.now()
        report = await self._local.refresh()
        if report is None or not report.is_open or now < self._deposed_until:
            return False
        patience = _TAKEOVER_S + _TAKEOVER_STEP_S * min(report.rank, _TAKEOVER_STEPS)
        if self._local.coordinator_silent_s < patience:
            return False
        known_term = self._local.known_fence // _FENCE_PER_TERM
        self._term = max(self._term, known_term) + 1
        self._fence = FencingNumber(self._term * _FENCE_PER_TERM + report.rank)
        self._layout = None
        _logger.info(
            "this process coordinates the group now",
            extra={
                "event": "coordinator_started",
                "fence": self._fence,
                "silent_s": round(self._local.coordinator_silent_s, 3),
                "rank": report.rank,
                "epoch": report.epoch,
            },
        )
        return True

    async def _level_group(self, engine: EngineProfile) -> None:
        fence = self._fence
        assert fence is not None
        self._rounds += 1
        reads_all = self._layout is None or self._rounds % _ROUNDS_PER_REPORT == 0
        if reads_all and not await self._read_group(engine, fence):
            return
        await self._ask_silent(fence)
        self._observe()
        if not self._is_settling():
            await self._improve(engine, fence)

    async def _ask_silent(self, fence: FencingNumber) -> None:
        """Ask the ranks for their counts whose datagrams do not arrive."""
        oldest = self._clock.now() - _STALE_COUNTS_S
        if self._clock.now() - self._epoch_began < _STALE_COUNTS_S:
            return
        silent = [
            rank
            for rank in self._group
            if rank not in self._pushed or self._pushed[rank][0] < oldest
        ]
        members = [self._group[rank] for rank in silent]
        replies = await self._gather(members, GatherRequest(fence, with_counts=True))
        for rank, reply in zip(silent, replies, strict=True):
            if reply.counts is not None and reply.report is not None:
                started_ms = reply.report.started_ms
                news = CountsPushed(fence, rank, started_ms, reply.counts)
                self._pushed[rank] = (self._clock.now(), news)

    async def _read_group(self, engine: EngineProfile, fence: FencingNumber) -> bool:
        """Read all ranks; return whether the group is whole and nothing is pending."""
        members = list(self._members.values())
        request = GatherRequest(
            fence, with_experts=self._layout is None, counts_to=self._own_host
        )
        replies = await self._gather(members, request)
        group = self._whole_group(list(zip(members, replies, strict=True)))
        if group is None:
            return False
        self._group = {rank: member for rank, (member, _) in group.items()}
        self._reports = {
            rank: reply.report for rank, (_, reply) in group.items() if reply.report
        }
        epoch = next(iter(self._reports.values())).epoch
        if epoch != self._epoch:
            self._begin_epoch(epoch, engine)
        if not self._learn_layout(
            _shape(engine, len(group)), [reply for _, reply in group.values()]
        ):
            return False
        return not await self._finish_leftover(self._switch(fence))

    def _switch(self, fence: FencingNumber) -> MapSwitch:
        members = GroupMembers(self._group, self._epoch, fence)
        return MapSwitch(members, self._clock, self._epoch, self._rng)

    async def _gather(
        self, members: Sequence[Member | OwnMember], request: GatherRequest
    ) -> list[GatherReply]:
        return list(
            await asyncio.gather(*(member.gather(request) for member in members))
        )

    def _whole_group(
        self, gathered: list[tuple[Member | OwnMember, GatherReply]]
    ) -> dict[RankIndex, tuple[Member | OwnMember, GatherReply]] | None:
        """Return the members of the own group by rank, if all are there."""
        own = next((r.report for m, r in gathered if isinstance(m, OwnMember)), None)
        if own is None or not own.is_open:
            return None
        group = {}
        for member, reply in gathered:
            report = reply.report
            if report is None or report.group != own.group:
                continue
            if report.epoch == own.epoch and report.is_open:
                group[report.rank] = (member, reply)
        if len(group) != own.size:
            _logger.info(
                "the group is not whole, its map stays",
                extra={
                    "event": "group_incomplete",
                    "found": len(group),
                    "size": own.size,
                    "epoch": own.epoch,
                },
            )
            return None
        return dict(sorted(group.items()))

    def _begin_epoch(self, epoch: int, engine: EngineProfile) -> None:
        _logger.info(
            "the group is formed",
            extra={
                "event": "group_formed",
                "epoch": epoch,
                "previous_epoch": self._epoch,
            },
        )
        self._epoch = epoch
        self._epoch_began = self._clock.now()
        self._layout = None
        self._tracker = PopularityTracker(
            self._clock, engine.layer_sets, engine.experts
        )

    def _learn_layout(self, shape: GroupShape, replies: list[GatherReply]) -> bool:
        """Return whether the layout in use is known."""
        versions = {report.version for report in self._reports.values()}
        if self._layout is not None and versions == {self._layout_version}:
            return True
        lists = [reply.experts for reply in replies]
        same = {part.version for part in lists if part is not None}
        if None in lists or len(same) != 1:
            # Between two steps of a switch, or lists were not asked for yet.
            self._layout = None
            return False
        layout = layout_of_ranks(shape, [part.experts for part in lists if part])
        if not is_whole(shape, layout):
            _logger.warning(
                "the ranks report a map that lacks experts",
                extra={"event": "layout_incomplete", "epoch": self._epoch},
            )
            return False
        self._layout, self._layout_version = layout, same.pop()
        return True

    async def _finish_leftover(self, switch: MapSwitch) -> bool:
        """Return whether a change of another coordinator was pending."""
        reports = self._reports
        if all(r.held_step is None and r.armed is None for r in reports.values()):
            return False
        assert self._layout is not None
        result = await switch.finish(reports, self._layout)
        if result is not SwitchResult.NOTHING_TO_DO:
            self._log_change(result, None, switch)
            self._layout = None
        return True

    def _observe(self) -> None:
        assert self._tracker is not None
        for rank, (_, news) in self._pushed.items():
            if news.counts.epoch > self._epoch:
                raise EpochEndedError(f"epoch {news.counts.epoch}")
            if news.counts.epoch == self._epoch and rank in self._group:
                self._tracker.observe(rank, news.started_ms, news.counts.counts)

    def _is_settling(self) -> bool:
        """Return whether popularity has just shifted, so that counts mix two of them.

        The ranks report at different moments: only counts that were begun after the
        shift show the new popularity alone.
        """
        assert self._tracker is not None
        had_shifted, self._has_shifted = self._has_shifted, self._tracker.update()
        if self._has_shifted:
            _logger.info(
                "the popularity of experts has shifted",
                extra={
                    "event": "popularity_shifted",
                    "epoch": self._epoch,
                    "shifted_share": round(self._tracker.shifted_share, 3),
                },
            )
        return not self._tracker.is_known or (self._has_shifted and not had_shifted)

    async def _improve(self, engine: EngineProfile, fence: FencingNumber) -> None:
        assert self._tracker is not None
        assert self._layout is not None
        loads = self._tracker.loads
        shape = _shape(engine, len(self._group))
        speeds = [1 / self._reports[rank].slowdown for rank in self._group]
        self._skew = mean_skew(shape, self._layout, loads, speeds)
        self._metrics.skew(self._skew)
        planned = level(shape, self._layout, loads, speeds)
        if planned is None or not planned.is_worth_it:
            return
        version = self._next_version()
        switch = self._switch(fence)
        result = await switch.change(
            version,
            planned.layout,
            self._layout,
            self._own_rank(),
            planned.copy_time_s,
        )
        self._log_change(result, planned, switch)
        if result is SwitchResult.SWITCHED:
            self._layout, self._layout_version = planned.layout, version
            self._changes += 1
            self._raises = 0
        else:
            self._layout = None

    def _own_rank(self) -> RankIndex:
        return next(r for r, m in self._group.items() if isinstance(m, OwnMember))

    def _next_version(self) -> MapVersion:
        seen = max(
            max(report.version, report.prepared or 0, report.armed or 0)
            for report in self._reports.values()
        )
        version = next_version(max(seen, self._last_version), self._rng)
        self._last_version = version
        return version

    def _raise_fence(self, reason: str) -> None:
        """Take a greater number, as ranks remember those of ended coordinators.

        A coordinator that lives is heard of through the rebalancers of its ranks.
        """
        self._raises += 1
        if self._raises > _MOST_RAISES:
            self._step_down(reason)
            return
        assert self._fence is not None
        previous, rank = self._fence, self._fence % _FENCE_PER_TERM
        self._term = min(_LARGEST_TERM, self._term * 2)
        self._fence = FencingNumber(self._term * _FENCE_PER_TERM + rank)
        _logger.info(
            "a rank knows a greater number, a still greater one is used",
            extra={
                "event": "fence_raised",
                "fence": self._fence,
                "previous_fence": previous,
                "reason": reason,
            },
        )

    def _step_down(self, reason: str) -> None:
        _logger.info(
            "another process coordinates the group",
            extra={
                "event": "coordinator_stopped",
                "fence": self._fence,
                "reason": reason,
            },
        )
        # The next number has to exceed one that is not known here.
        self._term = min(_LARGEST_TERM, self._term * 2)
        self._fence = None
        self._layout = None
        self._raises = 0
        self._deposed_until = self._clock.now() + _DEPOSED_S

    def _forget_group(self, reason: str) -> None:
        _logger.info(
            "the group is formed anew, its change of the map is void",
            extra={"event": "epoch_ended", "epoch": self._epoch, "reason": reason},
        )
        self._layout = None

    def _log_change(
        self,
        result: SwitchResult,
        planned: Leveling | None,
        switch: MapSwitch,
    ) -> None:
        self._metrics.map_change(result.value)
        _logger.info(
            "a change of the expert map ended",
            extra={
                "event": "map_change",
                "result": result.value,
                "epoch": self._epoch,
                "fence": self._fence,
                "skew_before": round(planned.skew_before, 3) if planned else None,
                "skew_planned": round(planned.skew_after, 3) if planned else None,
                "slowest_rank": max(r.slowdown for r in self._reports.values()),
                "copies": planned.copies if planned else None,
                "durations_ms": {
                    phase: round(seconds * 1000)
                    for phase, seconds in switch.durations_s.items()
                },
                "unanswered": switch.unanswered,
            },
        )


def _shape(engine: EngineProfile, ranks: int) -> GroupShape:
    return GroupShape(
        ranks,
        engine.layer_sets,
        engine.experts,
        engine.places_per_rank,
        engine.spare_places,
        engine.expert_copy_s,
    )
