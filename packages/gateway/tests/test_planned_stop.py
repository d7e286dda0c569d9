"""Tests of requests that a planned stop of a gateway meets late."""

from __future__ import annotations

import asyncio
import dataclasses
from typing import TYPE_CHECKING, Any

import pytest

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from sardineyard.forwarding.config import ForwardingConfig
    from sardineyard.standins.gateway_doubles import UpstreamConnection

# Later than the end of the listener (a third of the drain timeout of four seconds), and
# too late for a request whose route allows eight seconds.
LATE_S = 1.7


@pytest.fixture
def slow_config(config: ForwardingConfig) -> ForwardingConfig:
    """Return a configuration whose routes allow more time than the stop has."""
    routes = tuple(dataclasses.replace(r, timeout_s=8.0) for r in config.routes)
    return dataclasses.replace(config, routes=routes)


@pytest.fixture
def run_stop(
    run_with_gateway: Callable[..., None], slow_config: ForwardingConfig
) -> Callable[..., None]:
    """Return a function that runs a test with a gateway whose upstream never answers.

    The test gets the gateway, a function that stops it, and the received requests.
    """

    def run(test: Callable[..., Awaitable[None]]) -> None:
        received: list[Any] = []

        async def hang(connection: UpstreamConnection) -> None:
            while (request := await connection.receive()) is not None:
                received.append(request)

        async def run_test(harness: Any) -> None:
            async def stop() -> None:
                await harness.daemon.drain()
                await harness.daemon.close()

            await harness.start(hang, config=slow_config)
            await test(harness, stop, received)

        run_with_gateway(run_test)

    return run


def test_request_that_the_end_of_the_grace_meets_is_answered(
    run_stop: Callable[..., None],
) -> None:
    """Guards against a connection cut without an answer at the end of the grace."""

    async def test(harness: Any, stop: Any, received: list[Any]) -> None:
        client = await harness.client()
        call = asyncio.ensure_future(client.request("/read/a"))
        while not received:  # noqa: ASYNC110
            await asyncio.sleep(0.01)
        stopping = asyncio.ensure_future(stop())
        status, _, _ = await call
        assert status == 504
        await stopping

    run_stop(test)


def test_request_that_must_not_be_repeated_is_not_passed_on_late_in_the_grace(
    run_stop: Callable[..., None],
) -> None:
    """Guards against a booking that is cut while it runs and cannot be sent again."""

    async def test(harness: Any, stop: Any, received: list[Any]) -> None:
        client = await harness.client()
        client.writer.write(
            b"POST /book/a HTTP/1.1\r\nhost: desk.example\r\n"
            b"x-id: r1\r\nx-key: key\r\ncontent-length: 1\r\n\r\n"
        )
        stopping = asyncio.ensure_future(stop())
        await asyncio.sleep(LATE_S)
        client.writer.write(b"x")
        async with asyncio.timeout(0.5):
            status, headers, _ = await client.read_response()
        assert status == 503
        assert float(headers["retry-after"]) < 0.5
        assert received == []
        await stopping

    run_stop(test)
