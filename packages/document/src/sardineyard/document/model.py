"""Structures of the configuration document."""

from __future__ import annotations

from typing import Annotated, NewType

import msgspec
from msgspec import Meta

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

# Names appear in URLs, headers, metrics and logs, hence the narrow alphabet.
_NAME = Meta(pattern=r"^[A-Za-z0-9._-]{1,64}$")
# Model names of common registries contain slashes and colons.
_MODEL = Meta(pattern=r"^[A-Za-z0-9._:/-]{1,128}$")
# A day bounds every duration, so that a slip of units is found.
_SECONDS = Meta(gt=0.0, le=86_400.0)
_SHARE = Meta(ge=0.0, le=1.0)
_WORTH = Meta(ge=0.0, le=1e9)
_WEIGHT = Meta(gt=0.0, le=1e6)
_COUNT = Meta(ge=1, le=1_000_000)
_BYTES = Meta(ge=1, le=2**40)
_RATE = Meta(gt=0.0, le=1e15)
# JSON readers keep integers exact only up to this bound.
_VERSION = Meta(ge=1, le=2**53 - 1)
_HEAD_BYTES = Meta(ge=1_024, le=1_048_576)
_BODY_BYTES = Meta(ge=1, le=67_108_864)


class _Strict(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Refuse fields that the document does not know."""


class Priority(_Strict, frozen=True):
    """Describe one class of urgency; the document lists the most urgent first."""

    name: Annotated[PriorityName, _NAME]
    # Seconds within which the first token, or a service's answer, is due.
    first_token_target_s: Annotated[float, _SECONDS]
    finish_target_s: Annotated[float, _SECONDS]
    # Value of one request that is answered inside its target.
    worth: Annotated[float, _WORTH]
    # Share of capacity that a flood of other priorities cannot take.
    reserved_share: Annotated[float, _SHARE] = 0.0
    # Time limit of a request whose caller names none.
    default_timeout_s: Annotated[float, _SECONDS] = 60.0


class Team(_Strict, frozen=True):
    """Describe one team of callers."""

    id: Annotated[TeamId, _NAME]
    # SHA-256 of the bearer key in hexadecimal; the key itself is never stored.
    key_sha256: Annotated[str, Meta(pattern=r"^[0-9a-f]{64}$")]
    default_priority: PriorityName
    weight: Annotated[float, _WEIGHT] = 1.0
    max_in_flight: Annotated[int, _COUNT] = 1000


class Upstream(_Strict, frozen=True):
    """Describe one upstream and the agent beside it."""

    id: Annotated[UpstreamId, _NAME]
    kind: UpstreamKind
    # IP address and port of the agent, which is the only way to the upstream.
    agent_address: str
    failure_domain: Annotated[FailureDomain, _NAME]
    models: tuple[Annotated[ModelName, _MODEL], ...] = ()
    slots: Annotated[int, _COUNT] = 32


class Group(_Strict, frozen=True):
    """Describe ranks that run one model in lockstep on an expert map."""

    id: Annotated[GroupId, _NAME]
    model: Annotated[ModelName, _MODEL]
    upstreams: Annotated[tuple[UpstreamId, ...], Meta(min_length=1)]
    ranks_per_upstream: Annotated[int, _COUNT] = 1
    experts: Annotated[int, _COUNT] = 64
    # Expert replicas that fit in the memory of one rank.
    slots_per_rank: Annotated[int, _COUNT] = 2
    expert_bytes: Annotated[int, _BYTES] = 100_000_000
    # Share of the weight store's rate that rebalancing may use, in bytes per second.
    rebalance_bytes_per_s: Annotated[float, _RATE] = 1e9
    # Seconds between two readings of the ranks; after three missed ones the next
    # agent of the group takes over.
    rebalance_interval_s: Annotated[float, _RATE] = 3.0


class Service(_Strict, frozen=True):
    """Describe one plain service."""

    name: Annotated[ServiceName, _NAME]
    upstreams: Annotated[tuple[UpstreamId, ...], Meta(min_length=1)]
    # Sets that processes with an older document may still use for ownership.
    previous_upstreams: tuple[tuple[UpstreamId, ...], ...] = ()
    # HTTP methods whose calls may be repeated.
    repeatable_methods: tuple[Annotated[str, Meta(pattern="^[A-Z]+$")], ...] = (
        "GET",
        "HEAD",
    )


class Limits(_Strict, frozen=True):
    """Bound what the processes accept and how long they wait."""

    max_head_bytes: Annotated[int, _HEAD_BYTES] = 16_384
    max_body_bytes: Annotated[int, _BODY_BYTES] = 1_048_576
    max_connections: Annotated[int, _COUNT] = 2_000
    retry_budget_share: Annotated[float, _SHARE] = 0.1
    subset_size: Annotated[int, _COUNT] = 20
    quarantine_crashes: Annotated[int, _COUNT] = 3
    quarantine_s: Annotated[float, _SECONDS] = 600.0
    untimed_key_window_s: Annotated[float, _SECONDS] = 60.0
    max_clock_skew_s: Annotated[float, _SECONDS] = 1.0


class Document(_Strict, frozen=True):
    """Hold the configuration that the whole fleet follows."""

    version: Annotated[DocumentVersion, _VERSION]
    priorities: Annotated[tuple[Priority, ...], Meta(min_length=1)]
    teams: tuple[Team, ...]
    upstreams: tuple[Upstream, ...]
    groups: tuple[Group, ...] = ()
    services: tuple[Service, ...] = ()
    limits: Limits = Limits()
