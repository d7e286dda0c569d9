"""The rebalancer daemon: its tasks and how they are connected."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

from grpclib.server import Server

from sardineyard.catalog.follower import WatchPace, start_following
from sardineyard.catalog.keeper import CatalogKeeper
from sardineyard.catalog.messages import DumpCatalog
from sardineyard.catalog.peers import NewsCodec, PeerExchange
from sardineyard.core.ids import ServiceName
from sardineyard.core.mailbox import Mailbox, Reply
from sardineyard.core.states import ProcessState
from sardineyard.core.tasks import TaskSet
from sardineyard.daemon.admin import AdminServer
from sardineyard.rebalancer.coordinator import Coordinator
from sardineyard.rebalancer.counts import CountsSocket
from sardineyard.rebalancer.local_rank import LocalRank
from sardineyard.rebalancer.service import RankService

if TYPE_CHECKING:
    from collections.abc import Callable

    from sardineyard.core.address import Address
    from sardineyard.core.clock import Clock
    from sardineyard.experts.group import GroupRunner
    from sardineyard.forwarding.source import CatalogStore
    from sardineyard.settings.gateway import RebalancerSettings
    from sardineyard.telemetry.rebalancer_metrics import RebalancerMetrics

# The ranks of a group change seldom, and each call to the store is paid for.
_WATCH_S = 15.0
_WATCH_PAUSE_S = 2.0
# Gateways are asked only as a second source beside the store.
_PEER_ROUND_S = 4.0


class RebalancerDaemon:
    """Run the tasks of one rebalancer."""

    def __init__(
        self,
        settings: RebalancerSettings,
        clock: Clock,
        store: CatalogStore,
        open_runner: Callable[[Address], GroupRunner],
        metrics: RebalancerMetrics,
        reload_seeds: Callable[[], tuple[str, ...]],
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._store = store
        self._metrics = metrics
        self._reload_seeds = reload_seeds
        self._state = ProcessState.STARTING
        self._tasks = TaskSet()
        self._rng = Random()
        self._keeper = CatalogKeeper(store, clock, "")
        self._exchange = PeerExchange(
            self._keeper.mailbox,
            "",
            tuple(map(str, settings.seed_peers)),
            clock,
            self._rng,
            _PEER_ROUND_S,
        )
        news: Mailbox[object] = Mailbox()
        self._counts = CountsSocket(
            settings.group_address, news, lambda: self._exchange.alive
        )
        runner = open_runner(settings.upstream_address)
        self._local = LocalRank(runner, settings.upstream_address, clock, self._counts)
        self._coordinator = Coordinator(
            news,
            ServiceName(settings.service),
            settings.upstream_address.host,
            settings.group_address.port,
            self._local,
            open_runner,
            clock,
            self._rng,
            metrics,
        )
        self._keeper.subscribe(self._coordinator.mailbox)
        self._server = Server([RankService(self._local.mailbox)], codec=NewsCodec())
        self._admin = AdminServer(
            settings.admin_address, self._is_ready, self._dump, self._render_metrics
        )

    async def start(self) -> None:
        """Start the tasks and listen."""
        self._tasks.start("catalog", self._keeper.run())
        self._tasks.start("local-rank", self._local.run())
        pace = WatchPace(_WATCH_S, _WATCH_PAUSE_S, self._rng)
        start_following(
            self._tasks, self._store, self._keeper.mailbox, self._clock, pace
        )
        address = self._settings.group_address
        await self._server.start(address.host, address.port)
        await self._counts.start()
        self._tasks.start("peers", self._exchange.run())
        self._tasks.start("coordinator", self._coordinator.run())
        await self._admin.start()
        self._state = ProcessState.SERVING

    def reload(self) -> None:
        """Read the settings again; only the seeds may change in a running process."""
        seeds = self._reload_seeds()
        if seeds:
            self._exchange.use_seeds(seeds)

    async def drain(self) -> None:
        """Return at once: another rebalancer finishes what this one has begun."""
        self._state = ProcessState.DRAINING

    async def close(self) -> list[str]:
        """End all tasks; no request of a caller passes here."""
        self._server.close()
        self._counts.close()
        await self._admin.close()
        await self._tasks.cancel_all()
        return []

    async def wait_failed(self) -> None:
        """Return when a task has failed."""
        await self._tasks.wait_failed()

    def _is_ready(self) -> bool:
        return self._state is ProcessState.SERVING and self._keeper.is_ready

    async def _dump(self) -> object:
        catalog: Reply[object] = Reply()
        self._keeper.mailbox.post(DumpCatalog(catalog))  # type: ignore[arg-type]
        return {
            "process": self._settings.process,
            "state": self._state.value,
            "peers": self._exchange.alive,
            "catalog": await catalog.wait(),
            "group": self._coordinator.dump(),
        }

    async def _render_metrics(self) -> tuple[dict[str, str], bytes]:
        config = self._keeper.config
        self._metrics.process_state(self._state)
        self._metrics.document_in_force(0 if config is None else config.version)
        self._metrics.coordinates(self._coordinator.is_coordinator)
        return self._metrics.render()
