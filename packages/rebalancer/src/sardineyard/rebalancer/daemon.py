"""The rebalancer daemon: its tasks and how they are connected."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

from grpclib.server import Server

from sardineyard.catalog.client import CatalogClient
from sardineyard.catalog.follower import WatchPace
from sardineyard.catalog.peers import NewsCodec
from sardineyard.core.ids import ServiceName
from sardineyard.core.mailbox import Mailbox
from sardineyard.core.states import ProcessState
from sardineyard.core.tasks import TaskSet
from sardineyard.daemon.admin import AdminServer
from sardineyard.rebalancer.coordinator import Coordinator
from sardineyard.rebalancer.counts import CountsSocket
from sardineyard.rebalancer.local_rank import LocalRank
from sardineyard.rebalancer.relay import OrderRelay
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
        self._metrics = metrics
        self._state = ProcessState.STARTING
        self._tasks = TaskSet()
        self._rng = Random()
        # Peers do not call a rebalancer, so it has no address among them.
        self._catalog = CatalogClient(
            store,
            clock,
            self._rng,
            "",
            settings.seed_peers,
            _PEER_ROUND_S,
            reload_seeds,
        )
        news: Mailbox[object] = Mailbox()
        self._counts = CountsSocket(
            settings.group_address, news, lambda: self._catalog.exchange.alive
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
        self._catalog.keeper.subscribe(self._coordinator.mailbox)
        self._relay = OrderRelay(self._local.mailbox, settings.group_address.port)
        service = RankService(self._local.mailbox, self._relay.mailbox)
        self._server = Server([service], codec=NewsCodec())
        self._admin = AdminServer(
            settings.admin_address, self._is_ready, self._dump, self._render_metrics
        )

    async def start(self) -> None:
        """Start the tasks and listen."""
        self._tasks.start("local-rank", self._local.run())
        self._tasks.start("order-relay", self._relay.run())
        pace = WatchPace(_WATCH_S, _WATCH_PAUSE_S, self._rng)
        self._catalog.start(self._tasks, pace)
        address = self._settings.group_address
        await self._server.start(address.host, address.port)
        await self._counts.start()
        self._catalog.start_exchange(self._tasks)
        self._tasks.start("coordinator", self._coordinator.run())
        await self._admin.start()
        self._state = ProcessState.SERVING

    def reload(self) -> None:
        """Read the settings again; only the seeds may change in a running process."""
        self._catalog.reload()

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
        is_serving = self._state is ProcessState.SERVING
        return is_serving and self._catalog.keeper.is_ready

    async def _dump(self) -> object:
        return {
            "process": self._settings.process,
            "state": self._state.value,
            "peers": self._catalog.exchange.alive,
            "catalog": await self._catalog.dump(),
            "group": self._coordinator.dump(),
        }

    async def _render_metrics(self) -> tuple[dict[str, str], bytes]:
        self._metrics.process_state(self._state)
        self._metrics.document_in_force(self._catalog.version)
        self._metrics.coordinates(self._coordinator.is_coordinator)
        return self._metrics.render()
