"""The tasks that keep the catalog of one process up to date."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sardineyard.catalog.follower import start_following
from sardineyard.catalog.keeper import CatalogKeeper
from sardineyard.catalog.messages import DumpCatalog
from sardineyard.catalog.peers import PeerExchange
from sardineyard.core.mailbox import Reply

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from sardineyard.catalog.follower import WatchTiming
    from sardineyard.catalog.messages import CatalogDump
    from sardineyard.core.address import Address
    from sardineyard.core.clock import Clock
    from sardineyard.core.tasks import TaskSet
    from sardineyard.forwarding.store import CatalogStore


class CatalogClient:
    """Catalog of one process: its keeper, store watches and exchange with peers."""

    def __init__(
        self,
        store: CatalogStore,
        clock: Clock,
        rng: Random,
        local_address: str,
        seeds: tuple[Address, ...],
        exchange_interval_s: float,
        reload_seeds: Callable[[], tuple[str, ...]],
    ) -> None:
        self._store = store
        self._clock = clock
        self._reload_seeds = reload_seeds
        self.keeper = CatalogKeeper(store, clock, local_address)
        self.exchange = PeerExchange(
            self.keeper.mailbox,
            local_address,
            tuple(map(str, seeds)),
            clock,
            rng,
            exchange_interval_s,
        )

    @property
    def version(self) -> int:
        """Return the version of the configuration in force; zero before the first."""
        config = self.keeper.config
        return 0 if config is None else config.version

    def start(self, tasks: TaskSet, timing: WatchTiming) -> None:
        """Start the keeper and the tasks that watch the store."""
        tasks.start("catalog", self.keeper.run())
        start_following(tasks, self._store, self.keeper.mailbox, self._clock, timing)

    def start_exchange(self, tasks: TaskSet) -> None:
        """Start to exchange updates with peers."""
        tasks.start("peers", self.exchange.run())

    def reload(self) -> None:
        """Reload the seed peers, the only setting that can change at run time."""
        seeds = self._reload_seeds()
        if seeds:
            self.exchange.set_seeds(seeds)

    async def dump(self) -> CatalogDump:
        """Return the state of the catalog and the source of its configuration."""
        reply: Reply[CatalogDump] = Reply()
        self.keeper.mailbox.post(DumpCatalog(reply))
        return await reply.wait()
