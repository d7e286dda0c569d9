"""Fixtures of the entry tests."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Any, TypeAlias

import pytest

from sardineyard.core.address import Address
from sardineyard.core.ids import RequestId
from sardineyard.core.requests import GenerationEnd, TokenBatch
from sardineyard.core.states import FinishReason

if TYPE_CHECKING:
    from sardineyard.standins.fleet import Fleet

ProxyAgents: TypeAlias = Callable[..., Awaitable[list["BlackholeProxy"]]]


@pytest.fixture
def batch() -> Callable[..., TokenBatch]:
    """Return a function that makes a batch of tokens at an offset."""

    def make(offset: int, *tokens: str) -> TokenBatch:
        return TokenBatch(RequestId("r"), offset, tokens)

    return make


@pytest.fixture
def end() -> Callable[[int], GenerationEnd]:
    """Return a function that makes the end event of a generation."""

    def make(count: int) -> GenerationEnd:
        return GenerationEnd(RequestId("r"), count, FinishReason.LENGTH)

    return make


class BlackholeProxy:
    """TCP proxy in front of an agent that can drop all bytes of a connection.

    A blackholed connection stays open and is never reset, on both sides.
    """

    def __init__(self, target: Address) -> None:
        self._target = target
        self._server: asyncio.Server | None = None
        self._blackholed: set[int] = set()
        self._writers: dict[int, tuple[asyncio.StreamWriter, ...]] = {}
        self._count = 0
        self.blackholes_new = False

    @property
    def address(self) -> Address:
        """Return the address on which the proxy listens."""
        assert self._server is not None
        return Address(*self._server.sockets[0].getsockname())

    async def start(self) -> None:
        """Listen on a port that the operating system chooses."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)

    def blackhole_open(self) -> None:
        """Drop all further bytes of the connections that are open now."""
        self._blackholed.update(range(self._count))

    def close_blackholed(self) -> None:
        """Close the blackholed connections, as a recovered network would."""
        for number in self._blackholed:
            for writer in self._writers.pop(number, ()):
                writer.close()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        number, self._count = self._count, self._count + 1
        if self.blackholes_new:
            self._blackholed.add(number)
        try:
            far_reader, far_writer = await asyncio.open_connection(
                self._target.host, self._target.port
            )
        except OSError:
            writer.close()
            return
        self._writers[number] = (writer, far_writer)
        await asyncio.gather(
            self._relay(number, reader, far_writer),
            self._relay(number, far_reader, writer),
        )

    async def _relay(
        self, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while data := await reader.read(65_536):
                if number not in self._blackholed:
                    writer.write(data)
        except OSError:
            pass
        if number not in self._blackholed:
            writer.close()


@pytest.fixture
def proxy_agents() -> ProxyAgents:
    """Return a function that puts agents behind proxies and publishes the change."""

    async def install(fleet: Fleet, *upstreams: str) -> list[BlackholeProxy]:
        proxies = {}
        for upstream in upstreams:
            proxies[upstream] = BlackholeProxy(fleet.ports[f"agent-{upstream}"].peer)
            await proxies[upstream].start()
        changed = [
            {**entry, "agent_address": str(proxies[entry["id"]].address)}
            if entry["id"] in proxies
            else entry
            for entry in fleet.document["upstreams"]
        ]
        await fleet.publish({**fleet.document, "version": 2, "upstreams": changed})
        async with asyncio.timeout(10.0):
            while (await fleet.state("entry-1"))["document"]["version"] != 2:  # noqa: ASYNC110
                await asyncio.sleep(0.05)
        await fleet.wait_for_sessions("entry-1", len(changed))
        return list(proxies.values())

    return install


@pytest.fixture
def upstream_states() -> Callable[[Fleet], Awaitable[dict[str, dict[str, Any]]]]:
    """Return a function that reads the state of each upstream from the entry."""

    async def read(fleet: Fleet) -> dict[str, dict[str, Any]]:
        views = (await fleet.state("entry-1"))["upstreams"]
        return {view["upstream"]: view for view in views}

    return read
