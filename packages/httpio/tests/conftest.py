"""Fixtures of the HTTP tests."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import pytest

from sardineyard.core.address import Address
from sardineyard.core.errors import ERROR_RESPONSES
from sardineyard.httpio.messages import HttpLimits
from sardineyard.httpio.server import HttpServer

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from sardineyard.core.errors import ErrorKind
    from sardineyard.httpio.exchange import Exchange
    from sardineyard.httpio.messages import HttpRequest

LIMITS = HttpLimits(
    max_head_bytes=2_048,
    max_body_bytes=4_096,
    max_connections=8,
    head_timeout_s=0.3,
    body_timeout_s=0.3,
    idle_timeout_s=1.0,
)


class Peer:
    """Client that sends raw bytes and reads the response bytes."""

    def __init__(self, port: int, cancelled: asyncio.Event) -> None:
        self.port = port
        self.handler_cancelled = cancelled

    async def exchange(self, *pieces: bytes) -> bytes:
        """Send the pieces and return all bytes up to the end of the connection."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        try:
            for piece in pieces:
                writer.write(piece)
                await writer.drain()
            async with asyncio.timeout(3.0):
                return await reader.read()
        except ConnectionError:
            return b""
        finally:
            writer.close()


@pytest.fixture
def serve() -> Callable[[Callable[[Peer], Awaitable[Any]]], Any]:
    """Return a function that runs a scenario against a server."""

    def run(scenario: Callable[[Peer], Awaitable[Any]]) -> Any:
        async def start_and_run() -> Any:
            cancelled = asyncio.Event()

            async def handle(request: HttpRequest, exchange: Exchange) -> None:
                if request.path == "/cut":
                    await exchange.start(200, {})
                    await exchange.write(b"half")
                elif request.path == "/wait":
                    try:
                        await asyncio.sleep(30.0)
                    finally:
                        cancelled.set()
                else:
                    await exchange.send(200, {}, request.body or b"ok")

            async def refuse(kind: ErrorKind, detail: str, exchange: Exchange) -> None:
                await exchange.send(ERROR_RESPONSES[kind].status.value, {})

            server = HttpServer(Address("127.0.0.1", 0), handle, refuse, LIMITS)
            await server.start()
            try:
                return await scenario(Peer(server.port, cancelled))
            finally:
                await server.close()

        return asyncio.run(start_and_run())

    return run
