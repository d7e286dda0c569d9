"""Tests of responses whose status is not one of HTTP."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import pytest

from sardineyard.core.address import Address
from sardineyard.httpio.call import CallClient, InvalidResponseError
from sardineyard.httpio.client import ResponseError, fetch
from sardineyard.httpio.messages import HttpRequest

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    # Sends a GET request to an address; returns the status of the response.
    Get = Callable[[Address], Awaitable[int]]


async def get_with_call_client(address: Address) -> int:
    """Send a GET request with the client of the gateway and of the adapter."""
    client = CallClient(address)
    try:
        status = (await client.call("GET", "/")).status
    finally:
        client.close()
    return status


async def get_with_fetch(address: Address) -> int:
    """Send a GET request with the client of the entry, the agent and the tools."""
    return (await fetch(address, HttpRequest("GET", "/"), 2.0)).status


@pytest.fixture(params=[get_with_call_client, get_with_fetch])
def get_from_server(request: pytest.FixtureRequest) -> Callable[[str], int]:
    """Return a function that gets the status of a server with a status line."""

    def run(status_line: str) -> int:
        async def respond(reader: Any, writer: Any) -> None:
            await reader.readuntil(b"\r\n\r\n")
            head = f"{status_line}\r\ncontent-length: 4\r\n\r\n"
            writer.write(head.encode() + b"body")
            await writer.drain()

        async def get() -> int:
            server = await asyncio.start_server(respond, "127.0.0.1", 0)
            host, port = server.sockets[0].getsockname()
            async with server, asyncio.timeout(5.0):
                return int(await request.param(Address(host, port)))

        return asyncio.run(get())

    return run


@pytest.mark.parametrize("status", ["000", "001", "099", "600", "700", "999", "1000"])
def test_status_outside_100_to_599_is_no_response(
    get_from_server: Callable[[str], int], status: str
) -> None:
    """Guards against a faulty server whose bytes are taken for a response."""
    with pytest.raises((InvalidResponseError, ResponseError), match="status"):
        get_from_server(f"HTTP/1.1 {status} Odd")


@pytest.mark.parametrize("status", [200, 299, 404, 500, 599])
def test_status_without_a_registered_meaning_is_a_response(
    get_from_server: Callable[[str], int], status: int
) -> None:
    """Guards against a client that refuses statuses that HTTP allows."""
    assert get_from_server(f"HTTP/1.1 {status} Any") == status
