"""Tests of upstreams that send bytes without end."""

from __future__ import annotations

import asyncio
import tracemalloc
from typing import TYPE_CHECKING, Any

import pytest

from sardineyard.standins.gateway_world import counting

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from sardineyard.standins.gateway_world import Peer

    Script = Callable[[Peer], Awaitable[None]]
    RunWorld = Callable[[Callable[[Any], Awaitable[None]]], None]

# The smallest gateway has 152 MB, of which the process without load takes about 40.
MOST_BUFFERED_BYTES = 64 * 2**20
PIECE = b"x" * 65_536


async def serve(peer: Peer) -> None:
    """Answer every request."""
    while request := await peer.receive():
        if b" /stream/" not in request.head:
            peer.answer(request)
            continue
        first = int(request.header("last-event-id") or 0) + 1
        peer.start_stream(request)
        for number in range(first, 4):
            peer.event(number)
        peer.chunk(b"")


async def pour(peer: Peer, data: bytes, pause_s: float = 0.0) -> None:
    """Send the same bytes until the gateway closes."""
    while not peer.writer.is_closing():
        peer.writer.write(data)
        await peer.writer.drain()
        await asyncio.sleep(pause_s)


async def endless_head(peer: Peer) -> None:
    """Send a head that never ends."""
    await peer.receive()
    peer.writer.write(b"HTTP/1.1 200 OK\r\nx-id: r1\r\nx-long: ")
    await pour(peer, PIECE)


async def endless_interim_answers(peer: Peer) -> None:
    """Send answers that announce another one."""
    await peer.receive()
    await pour(peer, b"HTTP/1.1 103 Early Hints\r\n\r\n", 0.001)


async def endless_body(peer: Peer) -> None:
    """Send a body that never ends."""
    request = await peer.receive()
    if request is not None:
        peer.send("HTTP/1.1 200 OK", f"x-id: {request.header('x-id')}", "x-seal: s")
        await pour(peer, PIECE)


async def endless_rejection(peer: Peer) -> None:
    """Promise not to run the request, with a body that never ends."""
    request = await peer.receive()
    if request is not None:
        id = request.header("x-id")
        peer.send("HTTP/1.1 503 Full", f"x-id: {id}", "x-not-run: 1")
        await pour(peer, b"x", 0.05)


def endless_event(pause_s: float, events: int) -> Script:
    """Return a script that sends whole events and then one that never ends."""

    async def run(peer: Peer) -> None:
        request = await peer.receive()
        if request is None:
            return
        peer.start_stream(request)
        for number in range(1, events + 1):
            peer.event(number)
        size = 64 if pause_s else len(PIECE)
        await pour(peer, b"%x\r\n%s\r\n" % (size, PIECE[:size]), pause_s)

    return run


# Requests until the endless upstream is surely chosen once.
TRIES = 12
ENDLESS = [endless_head, endless_interim_answers, endless_body]


@pytest.mark.parametrize("script", ENDLESS)
def test_another_upstream_answers_in_place_of_an_endless_one(
    run_world: RunWorld, script: Script
) -> None:
    """Guards against a request that is lost to bytes that are no answer."""

    seen: list[Peer] = []

    async def test(world: Any) -> None:
        await world.start(counting(script, seen), serve)
        for _ in range(TRIES):
            client = await world.client()
            status, _, body = await client.ask("/read/")
            assert (status, body) == (200, b"ok")
            if seen:
                break

    run_world(test)
    assert seen


@pytest.mark.parametrize("script", ENDLESS)
def test_a_booking_at_an_endless_upstream_ends_as_unknown(
    run_world: RunWorld, script: Script
) -> None:
    """Guards against a caller that waits for an endless answer, or is promised."""

    async def test(world: Any) -> None:
        await world.start(script, script)
        client = await world.client()
        began = asyncio.get_running_loop().time()
        status, headers, _ = await client.ask("/book/", method="POST", body=b"x")
        assert status == 502
        assert "retry-after" not in headers
        assert asyncio.get_running_loop().time() - began < 1.4

    run_world(test)


def test_endless_bodies_leave_the_memory_to_other_requests(
    run_world: RunWorld,
) -> None:
    """Guards against a gateway that dies of several endless bodies at once."""

    async def test(world: Any) -> None:
        await world.start(endless_body, endless_body, endless_body)
        clients = [await world.client() for _ in range(12)]
        tracemalloc.start()
        try:
            answers = await asyncio.gather(
                *(c.ask("/book/", method="POST", body=b"x") for c in clients)
            )
            _, peak = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
        assert {status for status, _, _ in answers} <= {502, 503, 504}
        assert peak < MOST_BUFFERED_BYTES

    run_world(test)


def test_a_rejection_counts_before_its_body_ends(run_world: RunWorld) -> None:
    """Guards against a promise that is read for seconds before it is used."""

    seen: list[Peer] = []

    async def test(world: Any) -> None:
        await world.start(counting(endless_rejection, seen), serve)
        for _ in range(TRIES):
            client = await world.client()
            async with asyncio.timeout(0.7):
                status, _, _ = await client.ask("/book/", method="POST", body=b"x")
            # Bookings go to one upstream, which may be the one that rejects.
            assert status in (200, 503)
            if seen:
                break

    run_world(test)
    assert seen


@pytest.mark.parametrize("events", [0, 2])
@pytest.mark.parametrize("pause_s", [0.0, 0.1])
def test_a_stream_goes_on_behind_an_endless_event(
    run_world: RunWorld, pause_s: float, events: int
) -> None:
    """Guards against a stream that an event without an end keeps open."""

    seen: list[Peer] = []

    async def test(world: Any) -> None:
        await world.start(counting(endless_event(pause_s, events), seen), serve)
        for _ in range(TRIES):
            client = await world.client()
            client.send("/stream/")
            async with asyncio.timeout(3.5):
                status, _, body = await client.answer()
            assert status == 200
            assert body == b"".join(b"id: %d\ndata: %d\n\n" % (n, n) for n in (1, 2, 3))
            if seen:
                break

    run_world(test)
    assert seen
