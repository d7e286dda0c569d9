"""End-to-end tests of upstreams that announce their leaving in their responses."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import pytest

from sardineyard.gateway.connections import UpstreamConnections

if TYPE_CHECKING:
    from collections.abc import Callable

    from sardineyard.standins.gateway_doubles import UpstreamConnection

    RunWithGateway = Callable[..., None]


class LeavingUpstream:
    """Upstream that announces its leaving in all responses from a moment on."""

    def __init__(self) -> None:
        self.is_leaving = False
        self.status_line = "HTTP/1.1 200 OK"
        self.delay_s = 0.0
        self.requests = 0

    async def script(self, connection: UpstreamConnection) -> None:
        """Respond to requests."""
        while (request := await connection.receive()) is not None:
            self.requests += 1
            await asyncio.sleep(self.delay_s)
            lines = ["x-leaving: 1"] if self.is_leaving else []
            if "503" in self.status_line:
                lines.append("x-not-run: 1")
            is_stream = b" /stream/" in request.head
            body = b"id: 1\ndata: a\n\n" if is_stream else b"ok"
            connection.send_head(
                self.status_line,
                f"x-id: {request.header('x-id')}",
                "x-seal: s",
                f"content-length: {len(body)}",
                *lines,
                body=body,
            )
            await connection.writer.drain()


@pytest.fixture
def leaving() -> LeavingUpstream:
    """Return an upstream that announces its leaving when told to."""
    return LeavingUpstream()


@pytest.fixture
def other() -> LeavingUpstream:
    """Return an upstream that stays."""
    return LeavingUpstream()


async def send(harness: Any, target: str) -> int:
    """Send a request over a connection of its own and return the status."""
    client = await harness.client()
    status = (await client.request(target, method="POST", body=b"x"))[0]
    client.writer.close()
    return int(status)


async def announce(harness: Any, leaving: LeavingUpstream, target: str) -> None:
    """Send requests until the upstream has announced that it leaves."""
    leaving.is_leaving = True
    before = leaving.requests
    while leaving.requests == before:
        await send(harness, target)
    # The upstream responds to the request that it has just received.
    await asyncio.sleep(0.05)


async def assert_unused(harness: Any, leaving: LeavingUpstream, target: str) -> None:
    """Check that requests are served without the upstream."""
    before = leaving.requests
    assert [await send(harness, target) for _ in range(30)] == [200] * 30
    assert leaving.requests == before


@pytest.mark.parametrize("target", ["/read/", "/book/", "/stream/"])
@pytest.mark.parametrize("status_line", ["HTTP/1.1 200 OK", "HTTP/1.1 503 Leaving"])
def test_leaving_upstream_gets_no_new_requests(
    run_with_gateway: RunWithGateway,
    leaving: LeavingUpstream,
    other: LeavingUpstream,
    target: str,
    status_line: str,
) -> None:
    """Guards against sending requests to an upstream that is about to exit."""

    async def test(harness: Any) -> None:
        await harness.start(leaving.script, other.script, repeat_extra=5.0)
        leaving.status_line = status_line
        await announce(harness, leaving, target)
        await assert_unused(harness, leaving, target)

    run_with_gateway(test)


def test_leaving_upstream_stays_unused_while_its_entry_goes_and_comes_back(
    run_with_gateway: RunWithGateway, leaving: LeavingUpstream, other: LeavingUpstream
) -> None:
    """Guards against an entry that lapses and returns around an outage of the store."""

    async def test(harness: Any) -> None:
        await harness.start(leaving.script, other.script)
        await announce(harness, leaving, "/read/")
        await harness.store.remove_upstream("u0")
        await asyncio.sleep(0.5)
        await harness.list_upstream("u0")
        await asyncio.sleep(0.5)
        await assert_unused(harness, leaving, "/read/")

    run_with_gateway(test)


def test_upstream_that_has_restarted_gets_requests_again(
    run_with_gateway: RunWithGateway, leaving: LeavingUpstream
) -> None:
    """Guards against a new incarnation that is taken for the one that left."""

    async def test(harness: Any) -> None:
        await harness.start(leaving.script)
        await announce(harness, leaving, "/read/")
        leaving.is_leaving = False
        await harness.list_upstream("u0", started_ms=1)
        await asyncio.sleep(0.5)
        assert await send(harness, "/read/") == 200

    run_with_gateway(test)


def test_requests_that_wait_for_a_slot_are_not_sent_to_a_leaving_upstream(
    run_with_gateway: RunWithGateway, leaving: LeavingUpstream, other: LeavingUpstream
) -> None:
    """Guards against a queue that is still granted the slots of a leaving upstream."""
    leaving.delay_s = 0.2

    async def test(harness: Any) -> None:
        await harness.start(leaving.script)
        leaving.is_leaving = True
        # The upstream has four slots and queues two requests.
        calls = [asyncio.ensure_future(send(harness, "/read/")) for _ in range(10)]
        await asyncio.sleep(0.1)
        await harness.add_upstream("u1", other.script)
        assert [await call for call in calls] == [200] * 10

    run_with_gateway(test)
    assert (leaving.requests, other.requests) == (6, 4)


def test_granted_request_is_not_sent_once_its_upstream_leaves(
    run_with_gateway: RunWithGateway,
    leaving: LeavingUpstream,
    other: LeavingUpstream,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against requests whose connection opens after the announcement."""
    open_connection = UpstreamConnections.open
    has_grants = asyncio.Event()

    async def open_late(*arguments: Any) -> Any:
        if has_grants.is_set():
            await asyncio.sleep(0.3)
        return await open_connection(*arguments)

    async def test(harness: Any) -> None:
        await harness.start(leaving.script)
        leaving.is_leaving = True
        leaving.delay_s = 0.1
        first = asyncio.ensure_future(send(harness, "/book/"))
        await asyncio.sleep(0.05)
        has_grants.set()
        granted = [asyncio.ensure_future(send(harness, "/book/")) for _ in range(3)]
        await asyncio.sleep(0.02)
        await harness.add_upstream("u1", other.script)
        assert [await call for call in (first, *granted)] == [200] * 4

    monkeypatch.setattr(UpstreamConnections, "open", open_late)
    run_with_gateway(test)
    assert (leaving.requests, other.requests) == (1, 3)
