"""Tests of requests that a planned stop of a gateway meets late."""

from __future__ import annotations

import asyncio
import dataclasses
from itertools import count
from typing import TYPE_CHECKING, Any

import pytest

from sardineyard.core.clock import NO_DEADLINE, SystemClock, deadline_after
from sardineyard.core.ids import RequestId, ServiceName
from sardineyard.core.mailbox import Mailbox
from sardineyard.forwarding.admission import Admitted
from sardineyard.forwarding.messages import RequestMetadata
from sardineyard.gateway.connections import UpstreamConnections
from sardineyard.gateway.environment import Environment
from sardineyard.gateway.run import RequestHandler
from sardineyard.httpio.request_reader import IncomingRequest
from sardineyard.standins.gateway_doubles import PlainHeaders
from sardineyard.telemetry.gateway_metrics import GatewayMetrics

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


class SlowResponseWriter:
    """Writer of a response whose caller takes a while to read it."""

    def __init__(self) -> None:
        self.is_started = False
        self.statuses: list[int] = []

    async def send(self, status: int, headers: object, body: bytes) -> None:
        """Record a response and wait."""
        await asyncio.sleep(0.02)
        self.statuses.append(status)


@pytest.fixture
def waiting_handler(
    config: ForwardingConfig,
) -> Callable[[SlowResponseWriter], RequestHandler]:
    """Return a factory of handlers whose request waits for a slot until 0.1 s passed.

    The factory is called with a running event loop.
    """

    def make(writer: Any) -> RequestHandler:
        clock = SystemClock()
        environment = Environment(
            Mailbox(),
            Mailbox(),
            PlainHeaders(),
            UpstreamConnections(clock),
            clock,
            GatewayMetrics("gateway-1"),
            count(1),
            lambda upstream: True,
        )
        admitted = Admitted(
            RequestMetadata(RequestId("r1")),
            config.routes[0],
            ServiceName("desk"),
            None,
            1,
            deadline_after(clock, 0.1),
            config.version,
        )
        request = IncomingRequest(b"GET", b"/read/a", [], b"", clock.now())
        return RequestHandler(request, writer, admitted, environment)

    return make


def test_stop_meets_a_request_whose_deadline_has_just_passed(
    waiting_handler: Callable[[Any], RequestHandler],
) -> None:
    """Guards against a stop that fails and cuts all open requests at once.

    The stop sets its deadline in each pass of the event loop, thus also while the
    deadline of the request ends it and while its answer is written.
    """

    async def test() -> None:
        writer = SlowResponseWriter()
        handler = waiting_handler(writer)
        serving = asyncio.ensure_future(handler.serve())
        async with asyncio.timeout(2.0):
            while not serving.done():
                handler.end_by(NO_DEADLINE)
                await asyncio.sleep(0)
        await serving
        assert writer.statuses == [503]

    asyncio.run(test())
