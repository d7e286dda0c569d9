"""State dump of a process as typed structures.

No structure has a field for a team's key or its hash, so that a dump may be shared.
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
    """Describe the document that the process follows."""

    version: int
    digest: str
    source: str = ""


class UpstreamView(msgspec.Struct, frozen=True, kw_only=True):
    """Describe what an entry believes about one upstream."""

    upstream: UpstreamId
    state: UpstreamState
    in_flight: int
    connected: bool = False
    incarnation: Incarnation | None = None
    queued: int = 0
    running: int = 0
    latency_s: float = 0.0


class TeamView(msgspec.Struct, frozen=True, kw_only=True):
    """Describe the open work of one team."""

    team: TeamId
    in_flight: int = 0
    queued: int = 0


class QueueView(msgspec.Struct, frozen=True, kw_only=True):
    """Describe the queue of one priority."""

    priority: PriorityName
    queued: int
    running: int = 0
    expected_wait_s: float = 0.0


class GroupView(msgspec.Struct, frozen=True, kw_only=True):
    """Describe an agent's part in a group of ranks."""

    group: GroupId
    promised: int = 0
    prepared: int = 0
    committed: int = 0
    map_version: int = 0
    stragglers: tuple[int, ...] = ()
    # Ranks for which the others wait at the barrier.
    stalled: tuple[int, ...] = ()
    # Why the group cannot serve, or empty.
    problem: str = ""
    coordinating: bool = False


class RequestView(msgspec.Struct, frozen=True, kw_only=True):
    """Describe one open request."""

    request: RequestId
    team: TeamId
    priority: PriorityName
    age_s: float
    upstream: UpstreamId | None = None
    tokens: int = 0


class ConfigView(msgspec.Struct, frozen=True, kw_only=True):
    """Describe how the process follows the document."""

    role: str
    fleet_size: int
    known_members: int
    neighbours: tuple[str, ...] = ()


class ProcessDump(msgspec.Struct, frozen=True, kw_only=True):
    """Hold what every process tells about itself."""

    process: ProcessId
    incarnation: Incarnation
    failure_domain: FailureDomain
    state: ProcessState
    uptime_s: float
    document: DocumentInForce | None
    tasks: tuple[str, ...] = ()
    teams: tuple[TeamView, ...] = ()
    requests: tuple[RequestView, ...] = ()
    # What the process knows about the document and its peers.
    config: ConfigView | None = None


class EntryDump(ProcessDump, frozen=True, kw_only=True, tag_field="role", tag="entry"):
    """Hold the state of an entry."""

    upstreams: tuple[UpstreamView, ...] = ()


class AgentDump(ProcessDump, frozen=True, kw_only=True, tag_field="role", tag="agent"):
    """Hold the state of an agent."""

    upstream: UpstreamId
    slots: int
    running: int = 0
    queued: int = 0
    queues: tuple[QueueView, ...] = ()
    lease_held: bool = False
    lease_remaining_s: float = 0.0
    idempotency_keys: int = 0
    # Seconds since 1970; none before the address lease was acquired once.
    idempotency_floor: float | None = None
    groups: tuple[GroupView, ...] = ()


Dump = EntryDump | AgentDump


def encode_dump(dump: Dump) -> bytes:
    """Return a dump as JSON."""
    return msgspec.json.encode(dump)


def decode_dump(raw: bytes) -> Dump:
    """Read a dump; raise msgspec.ValidationError when it is not one."""
    return msgspec.json.decode(raw, type=EntryDump | AgentDump)
