"""Tests of upstreams whose responses never end."""

from __future__ import annotations

import asyncio
import tracemalloc
from typing import TYPE_CHECKING, Any

import pytest

from sardineyard.standins.gateway_doubles import record_connections

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from sardineyard.standins.gateway_doubles import UpstreamConnection

    Script = Callable[[UpstreamConnection], Awaitable[None]]
    RunWithGateway = Callable[[Callable[[Any], Awaitable[None]]], None]

# The smallest gateway has 152 MB; an idle process uses about 40 MB.
MAX_PEAK_BYTES = 64 * 2**20
CHUNK = b"x" * 65_536


async def serve(connection: UpstreamConnection) -> None:
    """Respond to every request; the response to a stream request has three events."""
    while request := await connection.receive():
        if b" /stream/" not in request.head:
            connection.send_response(request)
            continue
        first_event = int(request.header("last-event-id") or 0) + 1
        connection.start_stream(request)
        for number in range(first_event, 4):
            connection.send_event(number)
        connection.send_chunk(b"")


async def send_endlessly(
    connection: UpstreamConnection, data: bytes, interval_s: float = 0.0
) -> None:
    """Send the same bytes until the connection is closed."""
    while not connection.writer.is_closing():
        connection.writer.write(data)
        await connection.writer.drain()
        await asyncio.sleep(interval_s)


async def endless_head(connection: UpstreamConnection) -> None:
    """Send a response head that never ends."""
    await connection.receive()
    connection.writer.write(b"HTTP/1.1 200 OK\r\nx-id: r1\r\nx-long: ")
    await send_endlessly(connection, CHUNK)


async def endless_interim_responses(connection: UpstreamConnection) -> None:
    """Send interim (1xx) responses without a final one."""
    await connection.receive()
    await send_endlessly(connection, b"HTTP/1.1 103 Early Hints\r\n\r\n", 0.001)


async def endless_body(connection: UpstreamConnection) -> None:
    """Send a response body that never ends."""
    request = await connection.receive()
    if request is not None:
        connection.send_head(
            "HTTP/1.1 200 OK", f"x-id: {request.header('x-id')}", "x-seal: s"
        )
        await send_endlessly(connection, CHUNK)


async def endless_rejection(connection: UpstreamConnection) -> None:
    """State that the request was not run, with a body that never ends."""
    request = await connection.receive()
    if request is not None:
        id = request.header("x-id")
        connection.send_head("HTTP/1.1 503 Full", f"x-id: {id}", "x-not-run: 1")
        await send_endlessly(connection, b"x", 0.05)


def endless_event(interval_s: float, events: int) -> Script:
    """Return a script that sends complete events and then one that never ends."""

    async def run(connection: UpstreamConnection) -> None:
        request = await connection.receive()
        if request is None:
            return
        connection.start_stream(request)
        for number in range(1, events + 1):
            connection.send_event(number)
        size = 64 if interval_s else len(CHUNK)
        await send_endlessly(
            connection, b"%x\r\n%s\r\n" % (size, CHUNK[:size]), interval_s
        )

    return run


# Enough requests for the random choice to pick the faulty upstream at least once.
MAX_REQUESTS = 12
ENDLESS_SCRIPTS = [endless_head, endless_interim_responses, endless_body]


@pytest.mark.parametrize("script", ENDLESS_SCRIPTS)
def test_endless_response_is_retried_at_another_upstream(
    run_with_gateway: RunWithGateway, script: Script
) -> None:
    """Guards against failing a request that another upstream can serve."""

    seen: list[UpstreamConnection] = []

    async def test(harness: Any) -> None:
        await harness.start(record_connections(script, seen), serve)
        for _ in range(MAX_REQUESTS):
            client = await harness.client()
            status, _, body = await client.request("/read/")
            assert (status, body) == (200, b"ok")
            if seen:
                break

    run_with_gateway(test)
    assert seen


@pytest.mark.parametrize("script", ENDLESS_SCRIPTS)
def test_endless_response_to_a_booking_ends_as_outcome_unknown(
    run_with_gateway: RunWithGateway, script: Script
) -> None:
    """Guards against a caller that waits forever or receives a "not run" error."""

    async def test(harness: Any) -> None:
        await harness.start(script, script)
        client = await harness.client()
        started_at = asyncio.get_running_loop().time()
        status, headers, _ = await client.request("/book/", method="POST", body=b"x")
        assert status == 502
        assert "retry-after" not in headers
        assert asyncio.get_running_loop().time() - started_at < 1.4

    run_with_gateway(test)


def test_endless_bodies_do_not_exhaust_memory(
    run_with_gateway: RunWithGateway,
) -> None:
    """Guards against a gateway that runs out of memory on concurrent endless bodies."""

    async def test(harness: Any) -> None:
        await harness.start(endless_body, endless_body, endless_body)
        clients = [await harness.client() for _ in range(12)]
        tracemalloc.start()
        try:
            responses = await asyncio.gather(
                *(c.request("/book/", method="POST", body=b"x") for c in clients)
            )
            _, peak = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
        assert {status for status, _, _ in responses} <= {502, 503, 504}
        assert peak < MAX_PEAK_BYTES

    run_with_gateway(test)


def test_rejection_takes_effect_before_its_body_ends(
    run_with_gateway: RunWithGateway,
) -> None:
    """Guards against a response that is delayed until the body of a rejection ends."""

    seen: list[UpstreamConnection] = []

    async def test(harness: Any) -> None:
        await harness.start(record_connections(endless_rejection, seen), serve)
        for _ in range(MAX_REQUESTS):
            client = await harness.client()
            async with asyncio.timeout(0.7):
                status, _, _ = await client.request("/book/", method="POST", body=b"x")
            # Bookings go to one upstream, which may be the one that rejects.
            assert status in (200, 503)
            if seen:
                break

    run_with_gateway(test)
    assert seen


@pytest.mark.parametrize("events", [0, 2])
@pytest.mark.parametrize("interval_s", [0.0, 0.1])
def test_stream_with_an_endless_event_is_resumed_elsewhere(
    run_with_gateway: RunWithGateway, interval_s: float, events: int
) -> None:
    """Guards against a stream that an incomplete event keeps open without progress."""

    seen: list[UpstreamConnection] = []

    async def test(harness: Any) -> None:
        await harness.start(
            record_connections(endless_event(interval_s, events), seen), serve
        )
        for _ in range(MAX_REQUESTS):
            client = await harness.client()
            client.send("/stream/")
            async with asyncio.timeout(3.5):
                status, _, body = await client.read_response()
            assert status == 200
            assert body == b"".join(b"id: %d\ndata: %d\n\n" % (n, n) for n in (1, 2, 3))
            if seen:
                break

    run_with_gateway(test)
    assert seen
