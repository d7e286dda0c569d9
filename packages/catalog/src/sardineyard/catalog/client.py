"""The tasks that keep the catalog of one process: store, peers and keeper."""

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

    from sardineyard.catalog.follower import WatchPace
    from sardineyard.catalog.messages import CatalogDump
    from sardineyard.core.address import Address
    from sardineyard.core.clock import Clock
    from sardineyard.core.tasks import TaskSet
    from sardineyard.forwarding.source import CatalogStore


class CatalogClient:
    """Connect the keeper of the catalog with the store and the peers."""

    def __init__(
        self,
        store: CatalogStore,
        clock: Clock,
        rng: Random,
        own_address: str,
        seeds: tuple[Address, ...],
        peer_round_s: float,
        reload_seeds: Callable[[], tuple[str, ...]],
    ) -> None:
        self._store = store
        self._clock = clock
        self._reload_seeds = reload_seeds
        self.keeper = CatalogKeeper(store, clock, own_address)
        self.exchange = PeerExchange(
            self.keeper.mailbox,
            own_address,
            tuple(map(str, seeds)),
            clock,
            rng,
            peer_round_s,
        )

    @property
    def version(self) -> int:
        """Return the version of the configuration in force; zero before the first."""
        config = self.keeper.config
        return 0 if config is None else config.version

    def start(self, tasks: TaskSet, pace: WatchPace) -> None:
        """Start the keeper and the watches of the store."""
        tasks.start("catalog", self.keeper.run())
        start_following(tasks, self._store, self.keeper.mailbox, self._clock, pace)

    def start_exchange(self, tasks: TaskSet) -> None:
        """Start to exchange news with peers."""
        tasks.start("peers", self.exchange.run())

    def reload(self) -> None:
        """Read the settings again; only the seeds may change in a running process."""
        seeds = self._reload_seeds()
        if seeds:
            self.exchange.use_seeds(seeds)

    async def dump(self) -> CatalogDump:
        """Return what is known and from where."""
        reply: Reply[CatalogDump] = Reply()
        self.keeper.mailbox.post(DumpCatalog(reply))
        return await reply.wait()
