"""Tests of the routing decisions."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

import pytest
from returns.result import Failure, Success

from sardineyard.core.clock import NO_DEADLINE, ManualClock
from sardineyard.core.errors import ErrorKind, RequestError
from sardineyard.core.ids import (
    FailureDomain,
    Fingerprint,
    ModelName,
    PriorityName,
    ProcessId,
    RequestId,
    TeamId,
    UpstreamId,
)
from sardineyard.core.requests import Generation
from sardineyard.entry.messages import AttemptEnded
from sardineyard.entry.route_state import RouteState
from sardineyard.routing.policies import PowerOfTwo

if TYPE_CHECKING:
    from returns.result import Result


@pytest.fixture
def routes() -> RouteState:
    """Return a routing state with four upstreams."""
    policy = PowerOfTwo(FailureDomain("a"))
    state = RouteState(ProcessId("entry"), policy, ManualClock(), Random(1))
    for index in range(4):
        name = UpstreamId(f"u{index}")
        state.table.add(name, [ModelName("m")], FailureDomain("a"), 8)
    return state


def generation(name: str, fingerprint: str) -> Generation:
    """Return a generation request."""
    return Generation(
        RequestId(name),
        TeamId("a"),
        PriorityName("urgent"),
        ModelName("m"),
        "p",
        5,
        NO_DEADLINE,
        Fingerprint(fingerprint),
    )


def kind_of(result: Result[UpstreamId, RequestError]) -> ErrorKind:
    """Return the error kind of a failed pick."""
    assert isinstance(result, Failure)
    return result.failure().kind


def test_a_suspect_request_runs_alone_and_is_refused_at_the_limit(
    routes: RouteState,
) -> None:
    """Guards against a crashing request that makes other requests fail."""
    bad = generation("r", "bad")
    lost = RequestError(ErrorKind.UPSTREAM_LOST)
    tried: frozenset[UpstreamId] = frozenset()
    for _ in range(2):
        upstream = routes.pick(bad, tried).unwrap()
        tried |= {upstream}
        routes.record_attempt(AttemptEnded(upstream, bad, lost))
    isolated = routes.pick(bad, tried).unwrap()
    second = routes.pick(generation("r2", "bad"), frozenset())
    assert kind_of(second) is ErrorKind.OVERLOADED
    for number in range(50):
        picked = routes.pick(generation(f"g{number}", "good"), frozenset())
        assert isinstance(picked, Success)
        assert picked.unwrap() != isolated
    routes.record_attempt(AttemptEnded(isolated, bad, lost))
    assert kind_of(routes.pick(bad, frozenset())) is ErrorKind.QUARANTINED
