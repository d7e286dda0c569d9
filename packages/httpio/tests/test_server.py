"""Tests of the HTTP server with clients that break the protocol."""

import asyncio

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

_GOOD = b"GET / HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n"
_POST = b"POST / HTTP/1.1\r\nhost: x\r\nconnection: close\r\n"


@pytest.mark.parametrize(
    ("pieces", "status"),
    [
        ([b"nonsense\r\n\r\n"], 400),
        ([b"GET / HTTP/1.1\r\n\r\n"], 400),
        ([b"GET / HTTP/1.1\r\nhost: x\r\nlong: " + b"a" * 4_000 + b"\r\n\r\n"], 431),
        ([_POST + b"content-length: 5000\r\n\r\n", b"a" * 5_000], 413),
        (
            [_POST + b"transfer-encoding: chunked\r\n\r\n", b"1388\r\n" + b"a" * 5_000],
            413,
        ),
        ([_POST + b"content-length: 10\r\n\r\n", b"abc"], 408),
        ([b"GET / HTTP/1.1\r\nhost: x\r\n"], 408),
        ([_POST + b"content-length: x\r\n\r\n"], 400),
    ],
)
def test_invalid_or_slow_input_gets_a_4xx_response(serve, pieces, status) -> None:
    """Guards against invalid input that is accepted, hangs or gets no response."""

    async def scenario(peer) -> bytes:
        return await peer.exchange(*pieces)

    assert serve(scenario).startswith(b"HTTP/1.1 %d " % status)


@settings(
    max_examples=60,
    deadline=None,
    suppress_health_check=[HealthCheck.function_scoped_fixture],
)
@given(
    prefix=st.sampled_from([b"", _POST, _GOOD[:-2], b"GET "]),
    noise=st.binary(max_size=300),
)
def test_no_input_stops_the_server(serve, prefix, noise) -> None:
    """Guards against input that ends the server or its other connections."""

    async def scenario(peer) -> bytes:
        await peer.exchange(prefix + noise, b"\r\n\r\n")
        return await peer.exchange(_GOOD)

    assert serve(scenario).startswith(b"HTTP/1.1 200 ")


def test_pipelined_requests_are_answered_in_order(serve) -> None:
    """Guards against responses that are sent in the wrong order."""

    async def scenario(peer) -> bytes:
        first = b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 3\r\n\r\none"
        second = _POST + b"content-length: 3\r\n\r\ntwo"
        return await peer.exchange(first + second)

    response = serve(scenario)
    assert 0 < response.index(b"one") < response.index(b"two")


def test_an_incomplete_response_is_not_terminated(serve) -> None:
    """Guards against a client that accepts a partial body as complete."""

    async def scenario(peer) -> bytes:
        return await peer.exchange(b"GET /cut HTTP/1.1\r\nhost: x\r\n\r\n")

    response = serve(scenario)
    assert b"half" in response
    assert not response.endswith(b"0\r\n\r\n")


def test_a_disconnected_caller_cancels_its_request(serve) -> None:
    """Guards against work that continues for a disconnected caller."""

    async def scenario(peer) -> None:
        _, writer = await asyncio.open_connection("127.0.0.1", peer.port)
        writer.write(b"GET /wait HTTP/1.1\r\nhost: x\r\n\r\n")
        await writer.drain()
        await asyncio.sleep(0.1)
        writer.close()
        async with asyncio.timeout(2.0):
            await peer.handler_cancelled.wait()

    serve(scenario)


def test_connections_above_the_limit_are_closed_until_others_end(
    serve,
) -> None:
    """Guards against idle connections that use up the file descriptors."""

    async def scenario(peer) -> bytes:
        held = [await asyncio.open_connection("127.0.0.1", peer.port) for _ in range(8)]
        await asyncio.sleep(0.1)
        assert await peer.exchange(_GOOD) == b""
        for _, writer in held:
            writer.close()
        await asyncio.sleep(0.1)
        return await peer.exchange(_GOOD)

    assert serve(scenario).startswith(b"HTTP/1.1 200 ")
