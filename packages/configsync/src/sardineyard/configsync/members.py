"""Members of the fleet known to a process, and the sample of them sent to peers."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

import xxhash

from sardineyard.configsync.read_schedule import FleetView, Role

if TYPE_CHECKING:
    from collections.abc import Iterable
    from random import Random

    from sardineyard.core.address import Address
    from sardineyard.core.ids import FailureDomain, Incarnation, ProcessId

# Processes of each failure domain that long-poll the platform.
WATCHERS_PER_DOMAIN = 3
# Random members in one message. At 50 bytes each and four messages per second,
# membership uses about 2 KB/s of the 4 KB/s budget for control traffic.
SAMPLE_SIZE = 6
# A member that no process has heard from for this time is removed.
MEMBER_EXPIRY_S = 300.0


@dataclass(frozen=True, slots=True)
class PeerMember:
    """Process of the fleet and when any process last heard from it."""

    process: ProcessId
    address: Address
    incarnation: Incarnation
    failure_domain: FailureDomain
    # Seconds on the monotonic clock of the process that holds this record.
    last_heard_at: float


def watcher_weight(process: ProcessId, domain: FailureDomain) -> int:
    """Return the rendezvous hashing weight that selects the watchers of a domain."""
    return xxhash.xxh3_64_intdigest(f"{domain}/{process}".encode())


class MemberTable:
    """Members of the fleet; each exchange sends only a sample of them."""

    def __init__(self, local_member: PeerMember) -> None:
        self._local_member = local_member
        self._members: dict[ProcessId, PeerMember] = {}
        # Derived from `_members`; cached as both are read several times a second.
        self._others: list[ProcessId] = []
        self._watchers: dict[FailureDomain, list[ProcessId]] = {}
        self._reported_size = 0
        self._reported_at = 0.0
        self._add(local_member)

    @property
    def local_member(self) -> PeerMember:
        """Return the member that stands for this process."""
        return self._local_member

    @property
    def size(self) -> int:
        """Return the number of known members, including this process."""
        return len(self._members)

    @property
    def others(self) -> list[PeerMember]:
        """Return the known members except this process."""
        return [self._members[process] for process in self._others]

    def view(self) -> FleetView:
        """Return the fleet size and whether this process watches the platform."""
        watchers = self._watchers[self._local_member.failure_domain]
        is_watcher = self._local_member.process in watchers
        size = max(self.size, self._reported_size)
        return FleetView(size, Role.WATCHER if is_watcher else Role.POLLER)

    def merge(self, members: Iterable[PeerMember]) -> None:
        """Add members that a peer knows; the latest state of each one is kept."""
        for member in members:
            if member.process == self._local_member.process:
                continue
            known = self._members.get(member.process)
            if known is None:
                self._others.append(member.process)
                self._add(member)
            elif _freshness(member) > _freshness(known):
                self._members[member.process] = member

    def record_contact(self, member: PeerMember, size: int, now: float) -> None:
        """Record a message sent by a member itself and the fleet size it reported.

        A newly started process knows few members. The reported size shows it that
        the fleet is larger, so that it spreads its first platform read over time.
        """
        self.merge([replace(member, last_heard_at=now)])
        if size >= self._reported_size or now > self._reported_at + MEMBER_EXPIRY_S:
            self._reported_size = size
            self._reported_at = now

    def expire(self, now: float) -> None:
        """Remove members last heard from too long ago, but never this process."""
        oldest = now - MEMBER_EXPIRY_S
        expired = [m for m in self.others if m.last_heard_at < oldest]
        if not expired:
            return
        for member in expired:
            del self._members[member.process]
        self._others = [p for p in self._others if p in self._members]
        self._watchers.clear()
        for member in self._members.values():
            self._update_watchers(member)

    def select(self, domain: FailureDomain, random: Random) -> list[PeerMember]:
        """Return the members to send to a process of a failure domain.

        The watchers of that domain come first: a process that knows only part of the
        fleet must learn early that others already watch the platform.
        """
        count = min(SAMPLE_SIZE, len(self._others))
        chosen = dict.fromkeys(self._watchers.get(domain, ()))
        chosen.update(dict.fromkeys(random.sample(self._others, count)))
        chosen.pop(self._local_member.process, None)
        return [self._members[process] for process in chosen]

    def _add(self, member: PeerMember) -> None:
        self._members[member.process] = member
        self._update_watchers(member)

    def _update_watchers(self, member: PeerMember) -> None:
        domain = member.failure_domain
        watchers = self._watchers.setdefault(domain, [])
        watchers.append(member.process)
        watchers.sort(key=lambda process: watcher_weight(process, domain), reverse=True)
        del watchers[WATCHERS_PER_DOMAIN:]


def _freshness(member: PeerMember) -> tuple[int, float]:
    return member.incarnation, member.last_heard_at
