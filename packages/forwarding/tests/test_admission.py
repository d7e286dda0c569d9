"""Tests of request admission: route, key, deadline and service."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

import pytest

from sardineyard.core.errors import ErrorKind
from sardineyard.core.ids import RequestId, ServiceName
from sardineyard.forwarding.admission import EarlierAttemptEstimator, resolve
from sardineyard.forwarding.config import WeightedService
from sardineyard.forwarding.messages import RequestMetadata

if TYPE_CHECKING:
    from collections.abc import Callable

    from sardineyard.forwarding.config import ForwardingConfig, Route

METADATA = RequestMetadata(RequestId("r"), client_timeout_s=5.0, team_key="key")


def error_kind(result: object) -> ErrorKind:
    """Return the kind of error with which a request was refused."""
    return result.failure().kind  # type: ignore[attr-defined]


def test_longest_path_prefix_wins(
    make_config: Callable[..., ForwardingConfig], make_route: Callable[..., Route]
) -> None:
    """Guards against a request being matched to the shorter of two matching routes."""
    config = make_config(make_route("/a/"), make_route("/a/b/", priority=7))
    found = resolve(config, "Desk.Example:80", "/a/b/c", METADATA, 0.0, Random(1))
    assert found.unwrap().route.path_prefix == "/a/b/"
    assert found.unwrap().priority == 7


def test_process_without_configuration_is_not_ready() -> None:
    """Guards against a 404 or 401 from a process without a configuration."""
    refused = resolve(None, "desk.example", "/a/", METADATA, 0.0, Random(1))
    assert error_kind(refused) is ErrorKind.NOT_READY


@pytest.mark.parametrize(
    ("host", "path", "key", "kind"),
    [
        ("desk.example", "/b/", "key", ErrorKind.NOT_FOUND),
        ("other.example", "/a/", "key", ErrorKind.NOT_FOUND),
        ("desk.example", "/a/", "old", ErrorKind.UNAUTHENTICATED),
        ("desk.example", "/a/", "", ErrorKind.UNAUTHENTICATED),
    ],
)
def test_unknown_route_or_key_is_refused(
    make_config: Callable[..., ForwardingConfig],
    host: str,
    path: str,
    key: str,
    kind: ErrorKind,
) -> None:
    """Guards against serving requests for removed routes or with removed keys."""
    metadata = RequestMetadata(RequestId("r"), team_key=key)
    assert (
        error_kind(resolve(make_config(), host, path, metadata, 0.0, Random(1))) is kind
    )


def test_deadline_is_shorter_of_client_and_route_timeout(
    make_config: Callable[..., ForwardingConfig],
) -> None:
    """Guards against requests that run past the timeout of their route."""
    found = resolve(make_config(), "desk.example", "/a/", METADATA, 10.0, Random(1))
    assert found.unwrap().deadline == 12.0


def test_retry_has_spent_time_on_earlier_attempts(
    make_route: Callable[..., Route],
) -> None:
    """Guards against treating a late retry as a new request."""
    estimator, route = EarlierAttemptEstimator(), make_route()
    first = RequestMetadata(RequestId("r1"), client_timeout_s=8.0)
    retry = RequestMetadata(RequestId("r2"), client_timeout_s=5.5)
    assert estimator.time_spent_s(route, first) == 0.0
    assert estimator.time_spent_s(route, retry) == pytest.approx(2.5, abs=0.01)
    assert estimator.time_spent_s(route, RequestMetadata(RequestId("r3"))) == 0.0


def test_weighted_route_skips_service_with_zero_weight(
    make_config: Callable[..., ForwardingConfig], make_route: Callable[..., Route]
) -> None:
    """Guards against sending requests to a service whose weight is zero."""
    services = (
        WeightedService(ServiceName("desk"), 1.0),
        WeightedService(ServiceName("next"), 0.0),
    )
    config = make_config(make_route(services=services))
    rng = Random(1)
    chosen = {
        resolve(config, "desk.example", "/a/", METADATA, 0.0, rng).unwrap().service
        for _ in range(50)
    }
    assert chosen == {ServiceName("desk")}
