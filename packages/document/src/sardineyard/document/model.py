"""Structures of the configuration document."""

from __future__ import annotations

from typing import NewType

import msgspec

from sardineyard.core.ids import (
    FailureDomain,
    GroupId,
    ModelName,
    PriorityName,
    ServiceName,
    TeamId,
    UpstreamId,
)
from sardineyard.core.states import UpstreamKind

DocumentVersion = NewType("DocumentVersion", int)
DocumentDigest = NewType("DocumentDigest", str)


class _Strict(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Refuse fields that the document does not know."""


class Priority(_Strict, frozen=True):
    """Describe one class of urgency; the document lists the most urgent first."""

    name: PriorityName
    # Seconds within which the first token, or a service's answer, is due.
    first_token_target_s: float
    finish_target_s: float
    # Value of one request that is answered inside its target.
    worth: float
    # Share of capacity that a flood of other priorities cannot take.
    reserved_share: float = 0.0
    # Time limit of a request whose caller names none.
    default_timeout_s: float = 60.0


class Team(_Strict, frozen=True):
    """Describe one team of callers."""

    id: TeamId
    # SHA-256 of the bearer key in hexadecimal; the key itself is never stored.
    key_sha256: str
    default_priority: PriorityName
    weight: float = 1.0
    max_in_flight: int = 1000


class Upstream(_Strict, frozen=True):
    """Describe one upstream and the agent beside it."""

    id: UpstreamId
    kind: UpstreamKind
    # IP address and port of the agent, which is the only way to the upstream.
    agent_address: str
    failure_domain: FailureDomain
    models: tuple[ModelName, ...] = ()
    slots: int = 32


class Group(_Strict, frozen=True):
    """Describe ranks that run one model in lockstep on an expert map."""

    id: GroupId
    model: ModelName
    upstreams: tuple[UpstreamId, ...]
    ranks_per_upstream: int = 1
    experts: int = 64
    # Expert replicas that fit in the memory of one rank.
    slots_per_rank: int = 2
    expert_bytes: int = 100_000_000
    # Share of the weight store's rate that rebalancing may use, in bytes per second.
    rebalance_bytes_per_s: float = 1e9


class Service(_Strict, frozen=True):
    """Describe one plain service."""

    name: ServiceName
    upstreams: tuple[UpstreamId, ...]
    # Sets that processes with an older document may still use for ownership.
    previous_upstreams: tuple[tuple[UpstreamId, ...], ...] = ()
    # HTTP methods whose calls may be repeated.
    repeatable_methods: tuple[str, ...] = ("GET", "HEAD")


class Limits(_Strict, frozen=True):
    """Bound what the processes accept and how long they wait."""

    max_head_bytes: int = 16_384
    max_body_bytes: int = 1_048_576
    max_connections: int = 2_000
    retry_budget_share: float = 0.1
    subset_size: int = 20
    quarantine_crashes: int = 3
    quarantine_s: float = 600.0
    untimed_key_window_s: float = 60.0
    max_clock_skew_s: float = 1.0


class Document(_Strict, frozen=True):
    """Hold the configuration that the whole fleet follows."""

    version: DocumentVersion
    priorities: tuple[Priority, ...]
    teams: tuple[Team, ...]
    upstreams: tuple[Upstream, ...]
    groups: tuple[Group, ...] = ()
    services: tuple[Service, ...] = ()
    limits: Limits = Limits()
