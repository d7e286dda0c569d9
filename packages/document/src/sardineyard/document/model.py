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

# Names appear in URLs, headers, metrics and logs, so few characters are allowed.
_NAME = Meta(pattern=r"^[A-Za-z0-9._-]{1,64}$")
# Model names of common model registries contain slashes and colons.
_MODEL_NAME = Meta(pattern=r"^[A-Za-z0-9._:/-]{1,128}$")
# Durations are limited to one day, which catches values in the wrong unit.
_SECONDS = Meta(gt=0.0, le=86_400.0)
_SHARE = Meta(ge=0.0, le=1.0)
_WORTH = Meta(ge=0.0, le=1e9)
_WEIGHT = Meta(gt=0.0, le=1e6)
_COUNT = Meta(ge=1, le=1_000_000)
_BYTES = Meta(ge=1, le=2**40)
_RATE = Meta(gt=0.0, le=1e15)
# Many JSON parsers represent integers exactly only up to this limit.
_VERSION = Meta(ge=1, le=2**53 - 1)
_HEAD_BYTES = Meta(ge=1_024, le=1_048_576)
_BODY_BYTES = Meta(ge=1, le=67_108_864)


class _Strict(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Base of all structures of the document; rejects unknown fields."""


class Priority(_Strict, frozen=True):
    """Priority of requests; the document lists the most urgent priority first."""

    name: Annotated[PriorityName, _NAME]
    # Target time to the first token, or to the response of a plain service.
    first_token_target_s: Annotated[float, _SECONDS]
    finish_target_s: Annotated[float, _SECONDS]
    # Relative value of one request that meets its target.
    worth: Annotated[float, _WORTH]
    # Share of the capacity that requests of other priorities cannot use up.
    reserved_share: Annotated[float, _SHARE] = 0.0
    # Timeout of a request for which the caller specifies none.
    default_timeout_s: Annotated[float, _SECONDS] = 60.0


class Team(_Strict, frozen=True):
    """Team of callers with its bearer key and limits."""

    id: Annotated[TeamId, _NAME]
    # SHA-256 of the bearer key in hexadecimal. The key itself is never stored.
    key_sha256: Annotated[str, Meta(pattern=r"^[0-9a-f]{64}$")]
    default_priority: PriorityName
    weight: Annotated[float, _WEIGHT] = 1.0
    max_in_flight: Annotated[int, _COUNT] = 1000


class Upstream(_Strict, frozen=True):
    """Upstream, with the agent through which it is reached."""

    id: Annotated[UpstreamId, _NAME]
    kind: UpstreamKind
    # IP address and port of the agent. The upstream is reached only through it.
    agent_address: str
    failure_domain: Annotated[FailureDomain, _NAME]
    models: tuple[Annotated[ModelName, _MODEL_NAME], ...] = ()
    slots: Annotated[int, _COUNT] = 32


class Group(_Strict, frozen=True):
    """Ranks that run one model in lockstep with a common expert map."""

    id: Annotated[GroupId, _NAME]
    model: Annotated[ModelName, _MODEL_NAME]
    upstreams: Annotated[tuple[UpstreamId, ...], Meta(min_length=1)]
    ranks_per_upstream: Annotated[int, _COUNT] = 1
    experts: Annotated[int, _COUNT] = 64
    # Expert replicas that fit in the memory of one rank.
    slots_per_rank: Annotated[int, _COUNT] = 2
    expert_bytes: Annotated[int, _BYTES] = 100_000_000
    # Bandwidth of the weight store that rebalancing may use, in bytes per second.
    rebalance_bytes_per_s: Annotated[float, _RATE] = 1e9
    # Seconds between two polls of the ranks. After three missed polls the next agent of
    # the group takes over.
    rebalance_interval_s: Annotated[float, _RATE] = 3.0


class Service(_Strict, frozen=True):
    """Plain service and the upstreams that provide it."""

    name: Annotated[ServiceName, _NAME]
    upstreams: Annotated[tuple[UpstreamId, ...], Meta(min_length=1)]
    # Upstream sets of older documents, by which some processes may still choose the
    # owner of a key.
    previous_upstreams: tuple[tuple[UpstreamId, ...], ...] = ()
    # HTTP methods whose calls may be retried.
    repeatable_methods: tuple[Annotated[str, Meta(pattern="^[A-Z]+$")], ...] = (
        "GET",
        "HEAD",
    )


class Limits(_Strict, frozen=True):
    """Limits and time windows that all processes apply."""

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
    """Configuration of the whole fleet."""

    version: Annotated[DocumentVersion, _VERSION]
    priorities: Annotated[tuple[Priority, ...], Meta(min_length=1)]
    teams: tuple[Team, ...]
    upstreams: tuple[Upstream, ...]
    groups: tuple[Group, ...] = ()
    services: tuple[Service, ...] = ()
    limits: Limits = Limits()
