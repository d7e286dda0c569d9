"""Fixtures of the catalog tests."""

from __future__ import annotations

import asyncio
from random import Random
from typing import TYPE_CHECKING, Any

import pytest

from sardineyard.catalog.follower import WatchTiming, start_following
from sardineyard.catalog.keeper import CatalogKeeper
from sardineyard.core.clock import SystemClock
from sardineyard.core.ids import ServiceName
from sardineyard.core.mailbox import Mailbox
from sardineyard.core.tasks import TaskSet
from sardineyard.standins.gateway_doubles import MemoryStore

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

SERVICE = ServiceName("desk")


class CatalogUnderTest:
    """Catalog of one process, with its keeper and the tasks that watch its store."""

    def __init__(self, store: MemoryStore, address: str = "") -> None:
        self.store = store
        self.changes: Mailbox[Any] = Mailbox()
        self.tasks = TaskSet()
        self._last_change: Any = None
        self.clock = SystemClock()
        self.keeper = CatalogKeeper(store, self.clock, address)
        self.keeper.subscribe(self.changes)

    def start(self, *, watches_store: bool = True, watch_s: float = 0.4) -> None:
        """Start the keeper and, by default, the tasks that watch the store."""
        self.tasks.start("keeper", self.keeper.run())
        if not watches_store:
            return
        timing = WatchTiming(watch_s, 0.0, Random(1))
        start_following(self.tasks, self.store, self.keeper.mailbox, self.clock, timing)

    async def wait_until(self, condition: Callable[[], bool]) -> None:
        """Wait until a condition holds; fail after five seconds."""
        async with asyncio.timeout(5.0):
            while not condition():  # noqa: ASYNC110
                await asyncio.sleep(0.01)

    def upstreams(self) -> set[str]:
        """Return the ids of the usable upstreams in the last published change."""
        while (change := self.changes.receive_nowait()) is not None:
            self._last_change = change
        if self._last_change is None:
            return set()
        entries = self._last_change.upstreams.get(SERVICE, ())
        return {entry.id for entry in entries}


@pytest.fixture
def run_with_catalogs() -> Callable[..., None]:
    """Return a function that runs a test with a catalog for each address."""

    def run(
        test: Callable[..., Awaitable[None]], *addresses: str, shared: bool = True
    ) -> None:
        async def run_test() -> None:
            store = MemoryStore()
            catalogs = [
                CatalogUnderTest(store if shared else MemoryStore(), address)
                for address in addresses or ("",)
            ]
            try:
                async with asyncio.timeout(15.0):
                    await test(*catalogs)
            finally:
                for catalog in catalogs:
                    await catalog.tasks.cancel_all()

        asyncio.run(run_test())

    return run
