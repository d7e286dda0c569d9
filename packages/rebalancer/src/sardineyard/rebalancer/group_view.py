"""State of the group as known to its coordinator: members, reports, map and counts."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

import msgspec

from sardineyard.core.clock import Deadline, deadline_after
from sardineyard.experts.layout_plan import (
    GroupShape,
    covers_all_experts,
    layout_from_ranks,
)
from sardineyard.experts.maps import MapVersion
from sardineyard.experts.popularity import PopularityTracker
from sardineyard.experts.rank_orders import EpochEndedError
from sardineyard.rebalancer.counts import plan_counts
from sardineyard.rebalancer.members import GroupMembers, LocalMember, RemoteMember
from sardineyard.rebalancer.messages import GatherRequest
from sardineyard.rebalancer.sampling import CountsSample

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from sardineyard.core.address import Address
    from sardineyard.core.clock import Clock
    from sardineyard.core.ids import FencingNumber, RankIndex
    from sardineyard.experts.group import Layout, RankCounts, RankReport, RankRunner
    from sardineyard.forwarding.config import EngineProfile, UpstreamEntry
    from sardineyard.rebalancer.counts import CountsPlan, CountsPushed
    from sardineyard.rebalancer.local_rank import LocalRank
    from sardineyard.rebalancer.messages import GatherReply

_logger = logging.getLogger(__name__)

# If fewer ranks than this push counts, up to this many silent ranks are polled for
# theirs. The interval limits the traffic: a reply has four bytes for each count.
_MAX_POLLED_RANKS = 6
_POLL_SILENT_INTERVAL_S = 0.5

_Member = RemoteMember | LocalMember


class GroupView:
    """Latest known state of the group that the local rank belongs to."""

    def __init__(
        self,
        local_host: str,
        group_port: int,
        local: LocalRank,
        open_runner: Callable[[Address], RankRunner],
        clock: Clock,
    ) -> None:
        self._local_host = local_host
        self._group_port = group_port
        self._local = local
        self._open_runner = open_runner
        self._clock = clock
        self._listed_ids: frozenset[str] = frozenset()
        self._members: dict[str, _Member] = {}
        self._group: dict[RankIndex, _Member] = {}
        self._reports: dict[RankIndex, RankReport] = {}
        self._sample = CountsSample(clock)
        self._next_poll_silent_at = Deadline(0.0)
        self._epoch = -1
        # Newest epoch that appeared in received counts.
        self._newest_epoch = -1
        self._layout: Layout | None = None
        self._layout_version = MapVersion(-1)
        self._tracker: PopularityTracker | None = None

    @property
    def epoch(self) -> int:
        """Return the epoch of the last reading of the group."""
        return self._epoch

    @property
    def reports(self) -> dict[RankIndex, RankReport]:
        """Return the latest report of each rank."""
        return self._reports

    @property
    def layout(self) -> Layout | None:
        """Return the layout in use, or None if it has to be read."""
        return self._layout

    @property
    def tracker(self) -> PopularityTracker | None:
        """Return the popularity estimate of this epoch."""
        return self._tracker

    @property
    def counts_age_s(self) -> float:
        """Return the mean age of the latest counts of the ranks that push them."""
        return self._sample.mean_age_s

    @property
    def local_rank_index(self) -> RankIndex:
        """Return the index of the rank on the VM of this process."""
        return next(r for r, m in self._group.items() if isinstance(m, LocalMember))

    @property
    def speeds(self) -> list[float]:
        """Return the speed of each rank relative to its baseline."""
        return [1 / self._reports[rank].slowdown for rank in self._group]

    def members(self, fence: FencingNumber) -> GroupMembers:
        """Return the client for all ranks of the group in this epoch."""
        return GroupMembers(self._group, self._epoch, fence)

    def shape(self, engine: EngineProfile) -> GroupShape:
        """Return the dimensions of the group's layouts."""
        return GroupShape(
            len(self._group),
            engine.layer_sets,
            engine.experts,
            engine.expert_slots_per_rank,
            engine.spare_expert_slots,
            engine.expert_copy_s,
        )

    def close(self) -> None:
        """Close the connections to all members."""
        for member in self._members.values():
            member.close()

    def update_entries(self, entries: tuple[UpstreamEntry, ...]) -> None:
        """Create members for the listed runners that are new or have restarted.

        Runners that are no longer listed stay members while they belong to the group.
        """
        self._listed_ids = frozenset(entry.id for entry in entries)
        for entry in entries:
            existing = self._members.get(entry.id)
            if existing is not None and existing.entry.started_ms == entry.started_ms:
                continue
            if existing is not None:
                existing.close()
            if entry.host == self._local_host:
                self._members[entry.id] = LocalMember(entry, self._local)
            else:
                self._members[entry.id] = RemoteMember(
                    entry, self._group_port, self._open_runner, self._clock
                )

    def add_counts(self, message: CountsPushed) -> None:
        """Add the counts that a rank pushed to the popularity estimate."""
        if message.rank in self._group:
            self._sample.record_received(self._group[message.rank].entry.id)
        self._newest_epoch = max(self._newest_epoch, message.epoch)
        if self._tracker is not None and message.epoch == self._epoch:
            self._tracker.add(message.choices)

    def set_layout(self, layout: Layout, version: MapVersion) -> None:
        """Record the layout that all ranks use."""
        self._layout, self._layout_version = layout, version

    def invalidate_layout(self) -> None:
        """Discard the layout, so that the next reading requests it."""
        self._layout = None

    async def read(self, engine: EngineProfile, fence: FencingNumber) -> bool:
        """Read all ranks; return whether all are present and the layout is known.

        Raise FencedError if a rank knows a newer coordinator.
        """
        members = list(self._members.values())
        plan = self._plan_counts(engine)
        chosen = self._sample.choose(list(self._members), plan.ranks)
        request = GatherRequest(fence, with_experts=self._layout is None)
        counts_request = msgspec.structs.replace(
            request, counts_to=self._local_host, counts_every_s=plan.pause_s
        )
        replies = await _gather(
            members,
            [counts_request if m.entry.id in chosen else request for m in members],
        )
        group = _complete_group(list(zip(members, replies, strict=True)))
        if group is None:
            return False
        self._group = {rank: member for rank, (member, _) in group.items()}
        self._reports = {
            rank: reply.report for rank, (_, reply) in group.items() if reply.report
        }
        self._remove_stale_members()
        epoch = next(iter(self._reports.values())).epoch
        if epoch != self._epoch:
            self._start_epoch(epoch, engine)
        return self._update_layout(
            self.shape(engine), [reply for _, reply in group.values()]
        )

    def counts_interval_s(self, engine: EngineProfile) -> float:
        """Return the interval between two datagrams of one rank, in seconds."""
        return self._plan_counts(engine).pause_s

    async def poll_silent_ranks(self, fence: FencingNumber) -> None:
        """Request counts by RPC from silent ranks if too few ranks push them."""
        active_ids = self._sample.active_ids
        if len(active_ids) >= min(_MAX_POLLED_RANKS, len(self._group)):
            return
        if self._clock.now() < self._next_poll_silent_at:
            return
        self._next_poll_silent_at = deadline_after(self._clock, _POLL_SILENT_INTERVAL_S)
        silent = [r for r, m in self._group.items() if m.entry.id not in active_ids]
        members = [self._group[rank] for rank in silent[:_MAX_POLLED_RANKS]]
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

    def _remove_stale_members(self) -> None:
        """Remove runners that are neither listed nor in the group.

        A runner that no longer exists delays each reading until its call times out.
        """
        in_group = {member.entry.id for member in self._group.values()}
        for id in set(self._members) - in_group - self._listed_ids:
            self._members.pop(id).close()

    def _start_epoch(self, epoch: int, engine: EngineProfile) -> None:
        _logger.info(
            "the ranks formed a group with a new epoch",
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

    def _update_layout(self, shape: GroupShape, replies: list[GatherReply]) -> bool:
        """Update the layout from the replies; return whether it is known."""
        versions = {report.version for report in self._reports.values()}
        if self._layout is not None and versions == {self._layout_version}:
            return True
        rank_experts = [reply.experts for reply in replies]
        reported_versions = {item.version for item in rank_experts if item is not None}
        if None in rank_experts or len(reported_versions) != 1:
            # A map switch is in progress, or the experts were not requested yet.
            self._layout = None
            return False
        layout = layout_from_ranks(
            shape, [item.experts for item in rank_experts if item]
        )
        if not covers_all_experts(shape, layout):
            _logger.warning(
                "the expert map reported by the ranks does not contain all experts",
                extra={"event": "layout_incomplete", "epoch": self._epoch},
            )
            return False
        self.set_layout(layout, reported_versions.pop())
        return True


async def _gather(
    members: Sequence[_Member], requests: Sequence[GatherRequest]
) -> list[GatherReply]:
    calls = [m.gather(r) for m, r in zip(members, requests, strict=True)]
    return list(await asyncio.gather(*calls))


def _complete_group(
    gathered: list[tuple[_Member, GatherReply]],
) -> dict[RankIndex, tuple[_Member, GatherReply]] | None:
    """Return the members of the group by rank, or None if the group is incomplete."""
    local_report = next(
        (r.report for m, r in gathered if isinstance(m, LocalMember)), None
    )
    if local_report is None or not local_report.is_open:
        return None
    group = {}
    for member, reply in gathered:
        report = reply.report
        if report is None or report.group != local_report.group:
            continue
        if report.epoch == local_report.epoch and report.is_open:
            group[report.rank] = (member, reply)
    if len(group) != local_report.size:
        _logger.info(
            "some ranks of the group are missing; its expert map stays unchanged",
            extra={
                "event": "group_incomplete",
                "found": len(group),
                "size": local_report.size,
                "epoch": local_report.epoch,
            },
        )
        return None
    return dict(sorted(group.items()))
