"""Fixtures of the catalog tests."""

from __future__ import annotations

import asyncio
from random import Random
from typing import TYPE_CHECKING, Any

import pytest

from sardineyard.catalog.follower import WatchPace, start_following
from sardineyard.catalog.keeper import CatalogKeeper
from sardineyard.core.clock import SystemClock
from sardineyard.core.ids import ServiceName
from sardineyard.core.mailbox import Mailbox
from sardineyard.core.tasks import TaskSet
from sardineyard.standins.gateway_world import MemoryStore

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

SERVICE = ServiceName("desk")


class Follower:
    """Hold the catalog of one process that follows a store."""

    def __init__(self, store: MemoryStore, address: str = "") -> None:
        self.store = store
        self.changes: Mailbox[Any] = Mailbox()
        self.tasks = TaskSet()
        self.clock = SystemClock()
        self.keeper = CatalogKeeper(store, self.clock, address)
        self.keeper.subscribe(self.changes)

    def start(self, *, follows_store: bool = True) -> None:
        """Start the tasks."""
        self.tasks.start("keeper", self.keeper.run())
        if not follows_store:
            return
        pace = WatchPace(0.4, 0.0, Random(1))
        start_following(self.tasks, self.store, self.keeper.mailbox, self.clock, pace)

    async def until(self, is_true: Callable[[], bool]) -> None:
        """Wait until something holds."""
        async with asyncio.timeout(5.0):
            while not is_true():  # noqa: ASYNC110
                await asyncio.sleep(0.01)

    def upstreams(self) -> set[str]:
        """Return the ids of the upstreams that were published last."""
        while (change := self.changes.take()) is not None:
            self._last = change
        entries = self._last.upstreams.get(SERVICE, ())
        return {listed.id for listed in entries}


@pytest.fixture
def run_followers() -> Callable[..., None]:
    """Return a function that runs a test with followers of stores."""

    def run(
        test: Callable[..., Awaitable[None]], *addresses: str, shared: bool = True
    ) -> None:
        async def play() -> None:
            store = MemoryStore()
            followers = [
                Follower(store if shared else MemoryStore(), address)
                for address in addresses or ("",)
            ]
            try:
                async with asyncio.timeout(15.0):
                    await test(*followers)
            finally:
                for follower in followers:
                    await follower.tasks.cancel_all()

        asyncio.run(play())

    return run
