"""End-to-end tests of kept connections to upstreams that go silent without a reset."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import pytest

from sardineyard.standins.gateway_doubles import record_connections
from sardineyard.standins.silent_sockets import silence

if TYPE_CHECKING:
    from collections.abc import Callable

    from sardineyard.standins.gateway_doubles import UpstreamConnection

    RunWithGateway = Callable[..., None]

# Callers abandon a stream without an event after two seconds.
MAX_WAIT_S = 1.5


async def serve(connection: UpstreamConnection) -> None:
    """Respond to each request of a connection that is kept open."""
    while (request := await connection.receive()) is not None:
        is_stream = b" /stream/" in request.head
        body = b"id: 1\ndata: a\n\n" if is_stream else b"ok"
        connection.send_response(request, body, "keep-alive: timeout=30")


async def request_time_s(harness: Any, target: str) -> float:
    """Send a request that must succeed and return the time that it took."""
    clock = asyncio.get_running_loop().time
    started = clock()
    client = await harness.client()
    assert (await client.request(target))[0] == 200
    client.writer.close()
    return float(clock() - started)


@pytest.mark.parametrize("target", ["/read/", "/stream/"])
@pytest.mark.parametrize(("idle_s", "max_wait_s"), [(0.0, MAX_WAIT_S), (3.0, 0.3)])
def test_request_does_not_wait_on_a_kept_connection_that_has_gone_silent(
    run_with_gateway: RunWithGateway, target: str, idle_s: float, max_wait_s: float
) -> None:
    """Guards against callers who give up on a request that never arrived.

    A connection that has been silent for a while is not used at all.
    """
    connections: list[UpstreamConnection] = []

    async def test(harness: Any) -> None:
        await harness.start(record_connections(serve, connections))
        await request_time_s(harness, target)
        (kept,) = connections
        silence(kept.writer)
        await asyncio.sleep(idle_s)
        assert await request_time_s(harness, target) < max_wait_s

    run_with_gateway(test)


def test_upstream_may_be_silent_while_it_works_on_a_request(
    run_with_gateway: RunWithGateway,
) -> None:
    """Guards against probes that end a call to an upstream whose VM is suspended."""
    requests = 0

    async def suspend(connection: UpstreamConnection) -> None:
        nonlocal requests
        while (request := await connection.receive()) is not None:
            requests += 1
            if requests == 2:
                # The request is acknowledged; probes would not be.
                silence(connection.writer)
                await asyncio.sleep(3.0)
            connection.send_response(
                request, b"id: 1\ndata: a\n\n", "keep-alive: timeout=30"
            )

    async def test(harness: Any) -> None:
        await harness.start(suspend)
        await request_time_s(harness, "/stream/")
        assert await request_time_s(harness, "/stream/") >= 3.0

    run_with_gateway(test)
    assert requests == 2
