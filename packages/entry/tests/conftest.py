"""Fixtures of the entry tests."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Any, TypeAlias

import pytest

from sardineyard.core.ids import RequestId
from sardineyard.core.requests import GenerationEnd, TokenBatch
from sardineyard.core.states import FinishReason
from sardineyard.standins.blackhole_proxy import BlackholeProxy

if TYPE_CHECKING:
    from sardineyard.standins.fleet import Fleet

ProxyAgents: TypeAlias = Callable[..., Awaitable[list[BlackholeProxy]]]


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
