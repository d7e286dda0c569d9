"""Tests of the resolution of requests."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

import pytest

from sardineyard.core.errors import ErrorKind
from sardineyard.core.ids import RequestId, ServiceName
from sardineyard.forwarding.admission import Patience, resolve
from sardineyard.forwarding.config import WeightedService
from sardineyard.forwarding.messages import RequestFacts

if TYPE_CHECKING:
    from collections.abc import Callable

    from sardineyard.forwarding.config import ForwardingConfig, Route

FACTS = RequestFacts(RequestId("r"), patience_s=5.0, team_key="key")


def kind_of(result: object) -> ErrorKind:
    """Return the error kind of a refusal."""
    return result.failure().kind  # type: ignore[attr-defined]


def test_the_longest_prefix_wins(
    make_config: Callable[..., ForwardingConfig], make_route: Callable[..., Route]
) -> None:
    """Guards against a request that the shorter of two routes takes."""
    config = make_config(make_route("/a/"), make_route("/a/b/", priority=7))
    found = resolve(config, "Desk.Example:80", "/a/b/c", FACTS, 0.0, Random(1))
    assert found.unwrap().route.path_prefix == "/a/b/"
    assert found.unwrap().priority == 7


def test_a_process_without_a_configuration_says_that_it_is_not_ready() -> None:
    """Guards against a 404 or 401 from a process that knows nothing yet."""
    refused = resolve(None, "desk.example", "/a/", FACTS, 0.0, Random(1))
    assert kind_of(refused) is ErrorKind.NOT_READY


@pytest.mark.parametrize(
    ("host", "path", "key", "kind"),
    [
        ("desk.example", "/b/", "key", ErrorKind.NOT_FOUND),
        ("other.example", "/a/", "key", ErrorKind.NOT_FOUND),
        ("desk.example", "/a/", "old", ErrorKind.UNAUTHENTICATED),
        ("desk.example", "/a/", "", ErrorKind.UNAUTHENTICATED),
    ],
)
def test_what_the_configuration_does_not_allow_is_refused(
    make_config: Callable[..., ForwardingConfig],
    host: str,
    path: str,
    key: str,
    kind: ErrorKind,
) -> None:
    """Guards against work for dropped routes and removed keys."""
    facts = RequestFacts(RequestId("r"), team_key=key)
    assert kind_of(resolve(make_config(), host, path, facts, 0.0, Random(1))) is kind


def test_the_shorter_of_patience_and_timeout_is_the_deadline(
    make_config: Callable[..., ForwardingConfig],
) -> None:
    """Guards against requests that are held past the timeout of their route."""
    found = resolve(make_config(), "desk.example", "/a/", FACTS, 10.0, Random(1))
    assert found.unwrap().deadline == 12.0


def test_a_caller_that_comes_back_has_waited_before(
    make_route: Callable[..., Route],
) -> None:
    """Guards against taking an attempt that is late already for a new request."""
    patience, route = Patience(), make_route()
    first = RequestFacts(RequestId("r1"), patience_s=8.0)
    again = RequestFacts(RequestId("r2"), patience_s=5.5)
    assert patience.spent_s(route, first) == 0.0
    assert patience.spent_s(route, again) == pytest.approx(2.5, abs=0.01)
    assert patience.spent_s(route, RequestFacts(RequestId("r3"))) == 0.0


def test_a_split_route_follows_its_weights(
    make_config: Callable[..., ForwardingConfig], make_route: Callable[..., Route]
) -> None:
    """Guards against a service that gets traffic although its weight is zero."""
    parts = (
        WeightedService(ServiceName("desk"), 1.0),
        WeightedService(ServiceName("next"), 0.0),
    )
    config = make_config(make_route(services=parts))
    rng = Random(1)
    chosen = {
        resolve(config, "desk.example", "/a/", FACTS, 0.0, rng).unwrap().service
        for _ in range(50)
    }
    assert chosen == {ServiceName("desk")}
