"""What the coordinator knows about its group: members, reports, map and counts."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

import msgspec

from sardineyard.core.clock import Deadline, deadline_after
from sardineyard.experts.leveling import GroupShape, is_whole, layout_of_ranks
from sardineyard.experts.maps import MapVersion
from sardineyard.experts.popularity import PopularityTracker
from sardineyard.experts.rank_orders import EpochEndedError
from sardineyard.rebalancer.counts import plan_counts
from sardineyard.rebalancer.members import GroupMembers, Member, OwnMember
from sardineyard.rebalancer.messages import GatherRequest
from sardineyard.rebalancer.sampling import CountsSample

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from sardineyard.core.address import Address
    from sardineyard.core.clock import Clock
    from sardineyard.core.ids import FencingNumber, RankIndex
    from sardineyard.experts.group import GroupRunner, Layout, RankCounts, RankReport
    from sardineyard.forwarding.config import EngineProfile, UpstreamEntry
    from sardineyard.rebalancer.counts import CountsPlan, CountsPushed
    from sardineyard.rebalancer.local_rank import LocalRank
    from sardineyard.rebalancer.messages import GatherReply

_logger = logging.getLogger(__name__)

# Ranks that are asked for their counts while fewer than these send any, and the pause
# between two such calls, whose answers have four bytes a count.
_MOST_ASKED = 6
_ASK_SILENT_S = 0.5

_AnyMember = Member | OwnMember


class GroupView:
    """Read the ranks of the own group and keep what they said."""

    def __init__(
        self,
        own_host: str,
        group_port: int,
        local: LocalRank,
        open_runner: Callable[[Address], GroupRunner],
        clock: Clock,
    ) -> None:
        self._own_host = own_host
        self._group_port = group_port
        self._local = local
        self._open_runner = open_runner
        self._clock = clock
        self._listed: frozenset[str] = frozenset()
        self._members: dict[str, _AnyMember] = {}
        self._group: dict[RankIndex, _AnyMember] = {}
        self._reports: dict[RankIndex, RankReport] = {}
        self._sample = CountsSample(clock)
        self._ask_silent_at = Deadline(0.0)
        self._epoch = -1
        # The newest epoch that counts were sent in.
        self._newest_epoch = -1
        self._layout: Layout | None = None
        self._layout_version = MapVersion(-1)
        self._tracker: PopularityTracker | None = None

    @property
    def epoch(self) -> int:
        """Return the epoch of the group that was read last."""
        return self._epoch

    @property
    def reports(self) -> dict[RankIndex, RankReport]:
        """Return the last report of each rank."""
        return self._reports

    @property
    def layout(self) -> Layout | None:
        """Return the layout in use; None where it has to be read."""
        return self._layout

    @property
    def tracker(self) -> PopularityTracker | None:
        """Return the popularity estimate of this epoch."""
        return self._tracker

    @property
    def counts_age_s(self) -> float:
        """Return the mean age of the last counts of the ranks that send them."""
        return self._sample.mean_age_s

    @property
    def own_rank(self) -> RankIndex:
        """Return the rank beside this process."""
        return next(r for r, m in self._group.items() if isinstance(m, OwnMember))

    @property
    def speeds(self) -> list[float]:
        """Return the speed of each rank; 1 is the usual one."""
        return [1 / self._reports[rank].slowdown for rank in self._group]

    def members(self, fence: FencingNumber) -> GroupMembers:
        """Return a way to all ranks of the epoch."""
        return GroupMembers(self._group, self._epoch, fence)

    def shape(self, engine: EngineProfile) -> GroupShape:
        """Return the sizes of the group's layouts."""
        return GroupShape(
            len(self._group),
            engine.layer_sets,
            engine.experts,
            engine.places_per_rank,
            engine.spare_places,
            engine.expert_copy_s,
        )

    def close(self) -> None:
        """Close the connections to all members."""
        for member in self._members.values():
            member.close()

    def adopt_entries(self, entries: tuple[UpstreamEntry, ...]) -> None:
        """Take in the runners that are listed now.

        Ranks whose entries are gone stay reachable while they are of the group.
        """
        self._listed = frozenset(entry.id for entry in entries)
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

    def adopt_counts(self, news: CountsPushed) -> None:
        """Take in counts that a rank sent."""
        if news.rank in self._group:
            self._sample.hear(self._group[news.rank].entry.id)
        self._newest_epoch = max(self._newest_epoch, news.epoch)
        if self._tracker is not None and news.epoch == self._epoch:
            self._tracker.add(news.choices)

    def use_layout(self, layout: Layout, version: MapVersion) -> None:
        """Note that all ranks use a layout."""
        self._layout, self._layout_version = layout, version

    def forget_layout(self) -> None:
        """Read the layout anew with the next reading."""
        self._layout = None

    async def read(self, engine: EngineProfile, fence: FencingNumber) -> bool:
        """Read all ranks; return whether the group is whole and its layout known.

        Raise FencedError where a rank knows a newer coordinator.
        """
        members = list(self._members.values())
        plan = self._plan_counts(engine)
        chosen = self._sample.choose(list(self._members), plan.ranks)
        request = GatherRequest(fence, with_experts=self._layout is None)
        pushing = msgspec.structs.replace(
            request, counts_to=self._own_host, counts_every_s=plan.pause_s
        )
        replies = await _gather(
            members, [pushing if m.entry.id in chosen else request for m in members]
        )
        group = _whole_group(list(zip(members, replies, strict=True)))
        if group is None:
            return False
        self._group = {rank: member for rank, (member, _) in group.items()}
        self._reports = {
            rank: reply.report for rank, (_, reply) in group.items() if reply.report
        }
        self._drop_gone()
        epoch = next(iter(self._reports.values())).epoch
        if epoch != self._epoch:
            self._begin_epoch(epoch, engine)
        return self._learn_layout(
            self.shape(engine), [reply for _, reply in group.values()]
        )

    def counts_pause_s(self, engine: EngineProfile) -> float:
        """Return the seconds between two datagrams with counts of one rank."""
        return self._plan_counts(engine).pause_s

    async def ask_silent(self, fence: FencingNumber) -> None:
        """Ask ranks for their counts where hardly any datagrams arrive."""
        heard = self._sample.heard
        if len(heard) >= min(_MOST_ASKED, len(self._group)):
            return
        if self._clock.now() < self._ask_silent_at:
            return
        self._ask_silent_at = deadline_after(self._clock, _ASK_SILENT_S)
        silent = [r for r, m in self._group.items() if m.entry.id not in heard]
        members = [self._group[rank] for rank in silent[:_MOST_ASKED]]
        request = GatherRequest(fence, with_counts=True)
        replies = await _gather(members, [request] * len(members))
        for rank, reply in zip(silent, replies, strict=False):
            if reply.counts is not None and reply.report is not None:
                self._observe(rank, reply.report.started_ms, reply.counts)

    def check_epoch(self) -> None:
        """Raise EpochEndedError if counts of a newer epoch arrived."""
        if self._newest_epoch > self._epoch:
            raise EpochEndedError(f"epoch {self._newest_epoch}")

    def _observe(self, rank: RankIndex, started_ms: int, counts: RankCounts) -> None:
        self._newest_epoch = max(self._newest_epoch, counts.epoch)
        if self._tracker is not None and counts.epoch == self._epoch:
            self._tracker.observe(rank, started_ms, counts.counts)

    def _plan_counts(self, engine: EngineProfile) -> CountsPlan:
        return plan_counts(len(self._members), engine.layer_sets * engine.experts)

    def _drop_gone(self) -> None:
        """Forget runners that are neither listed nor in the group.

        Each one that is gone would hold up every reading until its call times out.
        """
        in_group = {member.entry.id for member in self._group.values()}
        for id in set(self._members) - in_group - self._listed:
            self._members.pop(id).close()

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
        self.use_layout(layout, same.pop())
        return True


async def _gather(
    members: Sequence[_AnyMember], requests: Sequence[GatherRequest]
) -> list[GatherReply]:
    calls = [m.gather(r) for m, r in zip(members, requests, strict=True)]
    return list(await asyncio.gather(*calls))


def _whole_group(
    gathered: list[tuple[_AnyMember, GatherReply]],
) -> dict[RankIndex, tuple[_AnyMember, GatherReply]] | None:
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
