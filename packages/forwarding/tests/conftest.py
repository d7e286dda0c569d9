"""Fixtures of the forwarding tests."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

import pytest

from sardineyard.core.clock import Deadline, ManualClock
from sardineyard.core.ids import FailureDomain, ServiceName, TeamId
from sardineyard.forwarding.config import (
    EngineProfile,
    ForwardingConfig,
    RetryPolicy,
    Route,
    ServiceProfile,
    TeamKeys,
    UpstreamEntry,
    UpstreamPhase,
    WeightedService,
)
from sardineyard.forwarding.slot_messages import SlotRequest, TicketId
from sardineyard.forwarding.slots import SlotAllocator
from sardineyard.forwarding.store import StoredUpstream
from sardineyard.standins.gateway_doubles import position_at

if TYPE_CHECKING:
    from collections.abc import Callable

SERVICE = ServiceName("desk")
ENGINE = EngineProfile(
    slots=6,
    steps_per_pass=4,
    step_ms=4.5,
    step_ms_per_sequence=1.8,
    step_ms_per_context_k=0.04,
    typical_prompt_tokens=800,
    typical_output_tokens=100,
)


@pytest.fixture
def clock() -> ManualClock:
    """Return a clock that only the test advances."""
    return ManualClock(now=100.0)


@pytest.fixture
def make_entry() -> Callable[..., UpstreamEntry]:
    """Return a factory of upstream entries."""

    def make(
        id: str,
        *,
        domain: str = "a",
        draining: bool = False,
        started_ms: int = 1,
        port: int | None = None,
    ) -> UpstreamEntry:
        phase = UpstreamPhase.DRAINING if draining else UpstreamPhase.READY
        return UpstreamEntry(
            id,
            SERVICE,
            "127.0.0.1",
            # Each upstream listens at an address of its own.
            80 + sum(id.encode()) if port is None else port,
            FailureDomain(domain),
            6,
            phase,
            started_ms,
        )

    return make


@pytest.fixture
def make_update(
    make_entry: Callable[..., UpstreamEntry],
) -> Callable[..., StoredUpstream]:
    """Return a factory of upstream updates as read from the store."""

    def make(id: str, revision: int, era: int = 0, **fields: object) -> StoredUpstream:
        position = position_at(revision, era)
        return StoredUpstream(id, position, make_entry(id, **fields), b"raw")

    return make


@pytest.fixture
def make_route() -> Callable[..., Route]:
    """Return a factory of routes."""

    def make(path_prefix: str = "/a/", **fields: object) -> Route:
        values: dict[str, object] = {
            "name": path_prefix,
            "host": "desk.example",
            "path_prefix": path_prefix,
            "services": (WeightedService(SERVICE, 1.0),),
            "retry_policy": RetryPolicy.IDEMPOTENT,
            "is_stream": False,
            "timeout_s": 2.0,
            "target_latency_s": 0.1,
            "target_event_gap_s": 0.0,
            "max_upstreams": 2,
            "priority": 1,
            "is_public": False,
            **fields,
        }
        return Route(**values)  # type: ignore[arg-type]

    return make


@pytest.fixture
def make_config(
    make_route: Callable[..., Route],
) -> Callable[..., ForwardingConfig]:
    """Return a factory of configurations."""

    def make(*routes: Route, version: int = 1) -> ForwardingConfig:
        return ForwardingConfig(
            version,
            routes or (make_route(),),
            {SERVICE: ServiceProfile(SERVICE, 100)},
            (TeamKeys(TeamId("team"), ("key",)),),
        )

    return make


@pytest.fixture
def allocator(clock: ManualClock) -> SlotAllocator:
    """Return the slot allocator of a service with a model engine."""
    allocator = SlotAllocator(clock, Random(1), FailureDomain("a"))
    allocator.configure({SERVICE: ServiceProfile(SERVICE, 100, ENGINE)})
    return allocator


@pytest.fixture
def make_request(clock: ManualClock) -> Callable[..., SlotRequest]:
    """Return a factory of slot requests."""

    def make(ticket: int, priority: int = 0, **fields: object) -> SlotRequest:
        values: dict[str, object] = {
            "ticket": TicketId(ticket),
            "service": SERVICE,
            "priority": priority,
            "arrived": clock.now(),
            "deadline": Deadline(clock.now() + 8.0),
            "target_latency_s": 0.5,
            "target_event_gap_s": 0.12,
            **fields,
        }
        return SlotRequest(**values)  # type: ignore[arg-type]

    return make
