"""The processes that one process knows, and what it tells others about them."""

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

WATCHERS_PER_DOMAIN = 3
# Entries of random members in one message: with 50 bytes each and four messages a
# second, membership costs about 2 KB/s of the 4 KB/s that control work may use.
SAMPLE_SIZE = 6
# A member of whom nobody has heard for this time is forgotten.
MEMBER_EXPIRY_S = 300.0


@dataclass(frozen=True, slots=True)
class PeerMember:
    """Describe one process and when somebody last heard from it."""

    process: ProcessId
    address: Address
    incarnation: Incarnation
    failure_domain: FailureDomain
    heard_at: float


def watch_rank(process: ProcessId, domain: FailureDomain) -> int:
    """Return the rendezvous weight of a process as a reader of its domain."""
    return xxhash.xxh3_64_intdigest(f"{domain}/{process}".encode())


class MemberTable:
    """Know the members of the fleet, of which each message carries only a few."""

    def __init__(self, own: PeerMember) -> None:
        self._own = own
        self._members: dict[ProcessId, PeerMember] = {}
        # Kept beside the table, since both are needed several times a second.
        self._others: list[ProcessId] = []
        self._readers: dict[FailureDomain, list[ProcessId]] = {}
        self._reported_size = 0
        self._reported_at = 0.0
        self._add(own)

    @property
    def own(self) -> PeerMember:
        """Return this process."""
        return self._own

    @property
    def size(self) -> int:
        """Return the number of known processes, this one included."""
        return len(self._members)

    @property
    def others(self) -> list[PeerMember]:
        """Return the known processes but this one."""
        return [self._members[process] for process in self._others]

    def view(self) -> FleetView:
        """Return the size of the fleet and this process's part in reading."""
        readers = self._readers[self._own.failure_domain]
        is_watcher = self._own.process in readers
        size = max(self.size, self._reported_size)
        return FleetView(size, Role.WATCHER if is_watcher else Role.POLLER)

    def merge(self, members: Iterable[PeerMember]) -> None:
        """Take over what another process knows, the newest news of each member."""
        for member in members:
            if member.process == self._own.process:
                continue
            known = self._members.get(member.process)
            if known is None:
                self._others.append(member.process)
                self._add(member)
            elif _freshness(member) > _freshness(known):
                self._members[member.process] = member

    def heard(self, member: PeerMember, size: int, now: float) -> None:
        """Note that a member itself sent a message and how many members it knows.

        A fresh process knows few members itself. The size that others report tells
        it that it is not alone in starting.
        """
        self.merge([replace(member, heard_at=now)])
        if size >= self._reported_size or now > self._reported_at + MEMBER_EXPIRY_S:
            self._reported_size = size
            self._reported_at = now

    def expire(self, now: float) -> None:
        """Forget members that have been silent for long, but never this process."""
        oldest = now - MEMBER_EXPIRY_S
        expired = [m for m in self.others if m.heard_at < oldest]
        if not expired:
            return
        for member in expired:
            del self._members[member.process]
        self._others = [p for p in self._others if p in self._members]
        self._readers.clear()
        for member in self._members.values():
            self._rank(member)

    def select(self, domain: FailureDomain, random: Random) -> list[PeerMember]:
        """Return the members to name to a process of a failure domain.

        The readers of its domain come first, so that a process learns quickly that
        others watch for it, although it knows only a part of the fleet.
        """
        count = min(SAMPLE_SIZE, len(self._others))
        chosen = dict.fromkeys(self._readers.get(domain, ()))
        chosen.update(dict.fromkeys(random.sample(self._others, count)))
        chosen.pop(self._own.process, None)
        return [self._members[process] for process in chosen]

    def _add(self, member: PeerMember) -> None:
        self._members[member.process] = member
        self._rank(member)

    def _rank(self, member: PeerMember) -> None:
        domain = member.failure_domain
        readers = self._readers.setdefault(domain, [])
        readers.append(member.process)
        readers.sort(key=lambda process: watch_rank(process, domain), reverse=True)
        del readers[WATCHERS_PER_DOMAIN:]


def _freshness(member: PeerMember) -> tuple[int, float]:
    return member.incarnation, member.heard_at
