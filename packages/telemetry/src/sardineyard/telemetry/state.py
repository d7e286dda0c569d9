"""Structures of the state dump of a process.

No structure has a field for the key of a team or its hash, so dumps can be shared.
"""

from __future__ import annotations

import msgspec

from sardineyard.core.ids import (
    FailureDomain,
    GroupId,
    Incarnation,
    PriorityName,
    ProcessId,
    RequestId,
    TeamId,
    UpstreamId,
)
from sardineyard.core.states import ProcessState, UpstreamState


class DocumentInForce(msgspec.Struct, frozen=True, kw_only=True):
    """Document that the process uses."""

    version: int
    digest: str
    source: str = ""


class UpstreamView(msgspec.Struct, frozen=True, kw_only=True):
    """State of an upstream as an entry sees it."""

    upstream: UpstreamId
    state: UpstreamState
    in_flight: int
    connected: bool = False
    incarnation: Incarnation | None = None
    queued: int = 0
    running: int = 0
    latency_s: float = 0.0


class TeamView(msgspec.Struct, frozen=True, kw_only=True):
    """Open requests of a team."""

    team: TeamId
    in_flight: int = 0
    queued: int = 0


class QueueView(msgspec.Struct, frozen=True, kw_only=True):
    """Queue of a priority."""

    priority: PriorityName
    queued: int
    running: int = 0
    expected_wait_s: float = 0.0


class GroupView(msgspec.Struct, frozen=True, kw_only=True):
    """State of a group of ranks as an agent sees it."""

    group: GroupId
    # Fencing number below which orders to the ranks are refused.
    promised: int = 0
    # Fencing number of the prepared change of the expert map; 0 if there is none.
    prepared: int = 0
    # Version of the expert map in use, the same as map_version.
    committed: int = 0
    map_version: int = 0
    # Ranks that take longer per token than the others.
    stragglers: tuple[int, ...] = ()
    # Ranks that the other ranks are waiting for at the barrier.
    stalled: tuple[int, ...] = ()
    # Reason why the group cannot serve requests; empty if it can.
    problem: str = ""
    coordinating: bool = False


class RequestView(msgspec.Struct, frozen=True, kw_only=True):
    """Open request."""

    request: RequestId
    team: TeamId
    priority: PriorityName
    age_s: float
    upstream: UpstreamId | None = None
    tokens: int = 0


class ConfigView(msgspec.Struct, frozen=True, kw_only=True):
    """State of the configuration sync of the process."""

    role: str
    fleet_size: int
    known_members: int
    neighbours: tuple[str, ...] = ()


class ProcessDump(msgspec.Struct, frozen=True, kw_only=True):
    """Fields of the state dump that all processes have."""

    process: ProcessId
    incarnation: Incarnation
    failure_domain: FailureDomain
    state: ProcessState
    uptime_s: float
    document: DocumentInForce | None
    tasks: tuple[str, ...] = ()
    teams: tuple[TeamView, ...] = ()
    requests: tuple[RequestView, ...] = ()
    # State of the configuration sync with the peers.
    config: ConfigView | None = None


class EntryDump(ProcessDump, frozen=True, kw_only=True, tag_field="role", tag="entry"):
    """State dump of an entry."""

    upstreams: tuple[UpstreamView, ...] = ()


class AgentDump(ProcessDump, frozen=True, kw_only=True, tag_field="role", tag="agent"):
    """State dump of an agent."""

    upstream: UpstreamId
    slots: int
    running: int = 0
    queued: int = 0
    queues: tuple[QueueView, ...] = ()
    lease_held: bool = False
    lease_remaining_s: float = 0.0
    idempotency_keys: int = 0
    # History cutoff in seconds since 1970; None before the first address lease.
    idempotency_floor: float | None = None
    groups: tuple[GroupView, ...] = ()


Dump = EntryDump | AgentDump


def encode_dump(dump: Dump) -> bytes:
    """Encode a dump as JSON."""
    return msgspec.json.encode(dump)


def decode_dump(raw: bytes) -> Dump:
    """Decode a dump; raise msgspec.ValidationError if it is invalid."""
    return msgspec.json.decode(raw, type=EntryDump | AgentDump)
