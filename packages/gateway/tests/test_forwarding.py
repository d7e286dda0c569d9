"""Tests of the whole way of a request through a gateway."""

from __future__ import annotations

import asyncio
import dataclasses
from typing import TYPE_CHECKING, Any

import pytest

from sardineyard.forwarding.source import StoreFailure
from sardineyard.standins.gateway_world import counting

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from sardineyard.standins.gateway_world import Peer

    Script = Callable[[Peer], Awaitable[None]]
    RunWorld = Callable[[Callable[[Any], Awaitable[None]]], None]


async def serve(peer: Peer) -> None:
    """Answer every request."""
    while request := await peer.receive():
        is_stream = b" /stream/" in request.head
        peer.answer(request, b"id: 1\ndata: a\n\n" if is_stream else b"ok")


async def hang(peer: Peer) -> None:
    """Read requests and never answer."""
    await peer.receive()
    await asyncio.Event().wait()


async def reset(peer: Peer) -> None:
    """Break the connection off at its first request."""
    await peer.receive()
    peer.reset()


def test_a_request_reaches_its_upstream_unchanged(run_world: RunWorld) -> None:
    """Guards against a changed path or body, and a key that an upstream sees."""
    received: list[Any] = []

    async def script(peer: Peer) -> None:
        while request := await peer.receive():
            received.append(request)
            peer.answer(request)

    async def test(world: Any) -> None:
        await world.start(script)
        client = await world.client()
        status, _, body = await client.ask(
            "/book/a%20b?c=1", method="POST", body=b"coat"
        )
        assert (status, body) == (200, b"ok")

    run_world(test)
    (request,) = received
    assert request.head.startswith(b"POST /book/a%20b?c=1 HTTP/1.1\r\n")
    assert request.body == b"coat"
    assert request.header("x-team") == "team"
    assert request.header("x-key") == ""
    assert 0 < float(request.header("x-left")) <= 1.5


def test_requests_share_a_connection(run_world: RunWorld) -> None:
    """Guards against a new connection for each request, which is paid for."""
    seen: list[Any] = []

    async def test(world: Any) -> None:
        await world.start(counting(serve, seen))
        client = await world.client()
        for _ in range(4):
            assert (await client.ask("/read/"))[0] == 200

    run_world(test)
    assert len(seen) == 1


@pytest.mark.parametrize("path", ["/read/", "/stream/"])
def test_an_idempotent_request_moves_to_another_upstream(
    run_world: RunWorld, path: str
) -> None:
    """Guards against a failure that another upstream would have hidden."""

    async def test(world: Any) -> None:
        await world.start(reset, serve)
        for _ in range(6):
            client = await world.client()
            assert (await client.ask(path))[0] == 200

    run_world(test)


def test_a_call_that_may_have_run_is_not_repeated(run_world: RunWorld) -> None:
    """Guards against a booking that two upstreams run."""
    seen: list[Any] = []

    async def test(world: Any) -> None:
        await world.start(counting(reset, seen), counting(reset, seen))
        client = await world.client()
        status, headers, _ = await client.ask("/book/", method="POST", body=b"x")
        assert status == 502
        assert "retry-after" not in headers

    run_world(test)
    assert len(seen) == 1


def test_a_rejected_call_is_answered_as_not_run(run_world: RunWorld) -> None:
    """Guards against a caller that does not dare to book again."""

    async def reject(peer: Peer) -> None:
        while await peer.receive():
            peer.send("HTTP/1.1 503 Busy", "x-not-run: 1", "content-length: 0")

    async def test(world: Any) -> None:
        await world.start(reject)
        client = await world.client()
        status, headers, _ = await client.ask("/book/", method="POST", body=b"x")
        assert status == 503
        assert float(headers["retry-after"]) > 0

    run_world(test)


def test_a_request_is_answered_at_the_timeout_of_its_route(
    run_world: RunWorld,
) -> None:
    """Guards against a request that is held past the operator's timeout."""

    async def test(world: Any) -> None:
        await world.start(hang)
        client = await world.client()
        began = asyncio.get_running_loop().time()
        status, _, _ = await client.ask("/book/", method="POST", body=b"x")
        assert status == 504
        assert asyncio.get_running_loop().time() - began < 1.5 + 0.4

    run_world(test)


def test_the_call_ends_when_the_caller_leaves(run_world: RunWorld) -> None:
    """Guards against an upstream that works for a caller that is gone."""
    left = asyncio.Event()

    async def notice(peer: Peer) -> None:
        await peer.receive()
        if await peer.receive() is None:
            left.set()

    async def test(world: Any) -> None:
        await world.start(notice)
        client = await world.client()
        client.send("/stream/")
        await asyncio.sleep(0.1)
        client.writer.close()
        async with asyncio.timeout(0.4):
            await left.wait()

    run_world(test)


def test_a_stream_goes_on_at_another_upstream(run_world: RunWorld) -> None:
    """Guards against a stream that ends, or repeats events, with its upstream."""
    resumed: list[str] = []

    async def break_or_go_on(peer: Peer) -> None:
        request = await peer.receive()
        assert request is not None
        after = request.header("last-event-id")
        peer.start_stream(request)
        if not after:
            peer.event(1)
            peer.event(2)
            peer.chunk(b"id: 3\ndata:")
            await peer.writer.drain()
            await asyncio.sleep(0.05)
            peer.reset()
            return
        resumed.append(after)
        for number in range(int(after), 6):
            peer.event(number)
        peer.chunk(b"")
        await peer.writer.drain()

    async def test(world: Any) -> None:
        await world.start(break_or_go_on, break_or_go_on)
        client = await world.client()
        status, _, body = await client.ask("/stream/")
        assert status == 200
        numbers = [line for line in body.split(b"\n") if line.startswith(b"id")]
        assert numbers == [b"id: %d" % number for number in range(1, 6)]

    run_world(test)
    assert resumed == ["2"]


def test_a_stream_leaves_a_slow_upstream(run_world: RunWorld) -> None:
    """Guards against old streams at a slow rank, for which its whole group waits."""
    resumed: list[str] = []
    worlds: list[Any] = []

    async def crawl_or_go_on(peer: Peer) -> None:
        request = await peer.receive()
        assert request is not None
        after = request.header("last-event-id")
        peer.start_stream(request)
        if after:
            resumed.append(after)
            for number in range(int(after) + 1, 40):
                peer.event(number)
            peer.chunk(b"")
            await peer.writer.drain()
            return
        _, port = peer.writer.get_extra_info("sockname")
        for number in range(1, 40):
            peer.event(number)
            await peer.writer.drain()
            worlds[0].report_slow(port, 6.0)
            await asyncio.sleep(0.05)
        raise AssertionError("the stream stayed at the slow upstream")

    async def test(world: Any) -> None:
        worlds.append(world)
        # A third of the upstreams may be left out at once.
        await world.start(crawl_or_go_on, crawl_or_go_on, crawl_or_go_on)
        client = await world.client()
        status, _, body = await client.ask("/stream/")
        assert status == 200
        numbers = [line for line in body.split(b"\n") if line.startswith(b"id")]
        assert numbers == [b"id: %d" % number for number in range(1, 40)]

    run_world(test)
    assert len(resumed) == 1


def test_a_broken_stream_does_not_look_complete(run_world: RunWorld) -> None:
    """Guards against a cut answer that a client takes for a whole one."""

    async def break_off(peer: Peer) -> None:
        request = await peer.receive()
        assert request is not None
        peer.start_stream(request)
        peer.chunk(b": no number\n\n")
        await peer.writer.drain()
        await asyncio.sleep(0.05)
        peer.reset()

    async def test(world: Any) -> None:
        await world.start(break_off)
        client = await world.client()
        client.send("/stream/")
        with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
            await client.answer()

    run_world(test)


@pytest.mark.parametrize(
    "lines",
    [
        ("HTTP/1.1 200 OK", "x-id: r1", "content-length: 2"),
        ("HTTP/1.1 200 OK", "x-seal: s", "content-length: 2"),
        ("HTTP/1.1 200 OK", "x-id: r1", "x-seal: s", "content-length: 9"),
        ("HTTP/1.1 200 OK", "x-id: r1", "x-seal: s", "content-encoding: gzip"),
        ("no answer at all",),
    ],
)
def test_bytes_that_are_no_whole_answer_never_reach_a_caller(
    run_world: RunWorld, lines: tuple[str, ...]
) -> None:
    """Guards against a success that is unsealed, cut, encoded or no HTTP."""

    async def spoil(peer: Peer) -> None:
        await peer.receive()
        peer.send(*lines, body=b"ok")
        await peer.writer.drain()

    async def test(world: Any) -> None:
        await world.start(spoil)
        client = await world.client()
        status, _, body = await client.ask("/book/", method="POST", body=b"x")
        assert status == 502
        assert body != b"ok"

    run_world(test)


def test_an_answer_of_an_earlier_request_is_skipped(run_world: RunWorld) -> None:
    """Guards against an answer that belongs to another request."""

    async def stray(peer: Peer) -> None:
        request = await peer.receive()
        assert request is not None
        peer.send(
            "HTTP/1.1 200 OK",
            "x-id: other",
            "x-seal: s",
            "content-length: 5",
            body=b"wrong",
        )
        peer.answer(request, b"right")
        await peer.writer.drain()

    async def test(world: Any) -> None:
        await world.start(stray)
        client = await world.client()
        assert (await client.ask("/read/"))[2] == b"right"

    run_world(test)


def test_bytes_behind_an_answer_cost_the_connection(run_world: RunWorld) -> None:
    """Guards against a second answer that is given to the next request."""

    async def twice(peer: Peer) -> None:
        while request := await peer.receive():
            peer.answer(request, b"first")
            await peer.writer.drain()
            await asyncio.sleep(0.02)
            peer.answer(request, b"again")
            await peer.writer.drain()

    async def test(world: Any) -> None:
        await world.start(twice)
        client = await world.client()
        for _ in range(3):
            assert (await client.ask("/read/"))[2] == b"first"
            await asyncio.sleep(0.05)

    run_world(test)


def test_a_process_without_a_configuration_answers_not_ready(
    run_world: RunWorld,
) -> None:
    """Guards against 404 and 401 from a process that has just started."""

    async def test(world: Any) -> None:
        await world.start(config=None)
        client = await world.client()
        status, headers, _ = await client.ask("/read/")
        assert status == 503
        assert "retry-after" in headers

    run_world(test)


def test_what_is_known_stays_in_force_while_the_store_is_away(
    run_world: RunWorld,
) -> None:
    """Guards against a gateway that serves nobody in an outage of the store."""

    async def test(world: Any) -> None:
        await world.start(serve)
        world.store.failure = StoreFailure.REFUSED
        await asyncio.sleep(0.3)
        client = await world.client()
        assert (await client.ask("/read/"))[0] == 200

    run_world(test)


def test_a_changed_configuration_is_in_force_at_once(run_world: RunWorld) -> None:
    """Guards against a removed key that is accepted for seconds."""

    async def test(world: Any) -> None:
        from sardineyard.forwarding.config import ForwardingConfig

        await world.start(serve)
        client = await world.client()
        assert (await client.ask("/read/"))[0] == 200
        current: ForwardingConfig = world.daemon.config
        team = dataclasses.replace(current.teams[0], keys=("other",))
        await world.store.put_config(
            ForwardingConfig(8, current.routes, current.services, (team,))
        )
        await asyncio.sleep(0.3)
        assert (await client.ask("/read/"))[0] == 401

    run_world(test)


def test_a_planned_stop_cuts_no_request(run_world: RunWorld) -> None:
    """Guards against requests that are lost when a process is replaced."""

    async def slow(peer: Peer) -> None:
        while request := await peer.receive():
            await asyncio.sleep(0.8)
            peer.answer(request)

    async def test(world: Any) -> None:
        await world.start(slow)
        idle, busy = await world.client(), await world.client()
        busy.send("/book/", method="POST", body=b"x")
        await asyncio.sleep(0.1)
        draining = asyncio.ensure_future(world.daemon.drain())
        await asyncio.sleep(0.1)
        late = await world.client()
        for client in (busy, late):
            if client is late:
                client.send("/book/", method="POST", body=b"x")
            status, headers, _ = await client.answer()
            assert status == 200
            assert headers["connection"] == "close"
        assert not world.daemon.is_ready
        await draining
        assert await idle.reader.read() == b""

    run_world(test)


def test_a_stopping_gateway_takes_no_request_behind_a_long_stream(
    run_world: RunWorld,
) -> None:
    """Guards against a late request on a kept connection that the exit cuts."""
    goes_on = asyncio.Event()

    async def script(peer: Peer) -> None:
        while request := await peer.receive():
            peer.start_stream(request)
            peer.event(1)
            await peer.writer.drain()
            await goes_on.wait()
            peer.chunk(b"")

    async def test(world: Any) -> None:
        await world.start(script)
        client = await world.client()
        client.send("/stream/")
        # The head goes out before the stop and promises to keep the connection.
        assert (await client.head())[0] == 200
        draining = asyncio.ensure_future(world.daemon.drain())
        # Idle connections are closed before that.
        await asyncio.sleep(1.6)
        goes_on.set()
        async with asyncio.timeout(0.5):
            rest = await client.reader.read()
        assert rest.endswith(b"0\r\n\r\n")
        await draining

    run_world(test)
