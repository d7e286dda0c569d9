"""Tests of the client connections and of their pool."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import pytest

from sardineyard.core.address import Address
from sardineyard.httpio.messages import HttpRequest
from sardineyard.httpio.pool import ConnectionPool

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable


async def fetch_body(pool: ConnectionPool, target: str) -> bytes:
    """Send a request on a connection of the pool and return the body."""
    connection = await pool.acquire()
    try:
        await connection.send(HttpRequest("GET", target, {}, b""))
        await connection.receive_head()
        return b"".join([chunk async for chunk in connection.receive_body()])
    finally:
        pool.release(connection)


@pytest.fixture
def run_with_pool() -> Callable[..., None]:
    """Return a function that runs a test with a server script and a pool for it."""

    def run(
        script: Callable[[Any, Any], Awaitable[None]],
        test: Callable[[ConnectionPool], Awaitable[None]],
    ) -> None:
        async def run_test() -> None:
            server = await asyncio.start_server(script, "127.0.0.1", 0)
            pool = ConnectionPool(
                Address("127.0.0.1", server.sockets[0].getsockname()[1])
            )
            try:
                async with asyncio.timeout(5.0):
                    await test(pool)
            finally:
                pool.close()
                server.close()

        asyncio.run(run_test())

    return run


@pytest.mark.parametrize("delay_s", [0.0, 0.02])
def test_second_copy_of_a_response_is_not_given_to_the_next_caller(
    run_with_pool: Callable[..., None], delay_s: float
) -> None:
    """Guards against a response that belongs to the last request of a connection."""

    async def respond_twice(reader: Any, writer: Any) -> None:
        while head := await reader.readuntil(b"\r\n\r\n"):
            target = head.split()[1]
            response = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%s"
            writer.write(response % (len(target), target))
            if delay_s:
                await writer.drain()
                await asyncio.sleep(delay_s)
            writer.write(response % (len(target), target))

    async def test(pool: ConnectionPool) -> None:
        for target in ("/a", "/b", "/c"):
            assert await fetch_body(pool, target) == target.encode()
            await asyncio.sleep(2 * delay_s)

    run_with_pool(respond_twice, test)


def test_connection_is_used_again_after_a_complete_response(
    run_with_pool: Callable[..., None],
) -> None:
    """Guards against a new connection for each call."""
    connections = []

    async def respond(reader: Any, writer: Any) -> None:
        connections.append(writer)
        while await reader.readuntil(b"\r\n\r\n"):
            writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok")

    async def test(pool: ConnectionPool) -> None:
        for _ in range(3):
            assert await fetch_body(pool, "/") == b"ok"

    run_with_pool(respond, test)
    assert len(connections) == 1
