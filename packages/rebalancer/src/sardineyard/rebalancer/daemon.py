"""Rebalancer daemon: creates and connects its tasks."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

from grpclib.server import Server

from sardineyard.catalog.client import CatalogClient
from sardineyard.catalog.follower import WatchTiming
from sardineyard.catalog.peers import MessagePackCodec
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
    from sardineyard.experts.group import RankRunner
    from sardineyard.forwarding.store import CatalogStore
    from sardineyard.settings.gateway import RebalancerSettings
    from sardineyard.telemetry.rebalancer_metrics import RebalancerMetrics

# Mean duration of a watch of the store: long, as each call is billed and the ranks of a
# group rarely change.
_MEAN_WATCH_DURATION_S = 15.0
_PAUSE_AFTER_CHANGE_S = 2.0
# Interval between exchanges with the gateways, a second source besides the store.
_PEER_EXCHANGE_INTERVAL_S = 4.0


class RebalancerDaemon:
    """Process that runs the tasks of one rebalancer."""

    def __init__(
        self,
        settings: RebalancerSettings,
        clock: Clock,
        store: CatalogStore,
        open_runner: Callable[[Address], RankRunner],
        metrics: RebalancerMetrics,
        reload_seeds: Callable[[], tuple[str, ...]],
    ) -> None:
        self._settings = settings
        self._metrics = metrics
        self._state = ProcessState.STARTING
        self._tasks = TaskSet()
        self._rng = Random()
        # Empty address: peers do not call a rebalancer.
        self._catalog = CatalogClient(
            store,
            clock,
            self._rng,
            "",
            settings.seed_peers,
            _PEER_EXCHANGE_INTERVAL_S,
            reload_seeds,
        )
        updates: Mailbox[object] = Mailbox()
        self._counts = CountsSocket(
            settings.group_address, updates, lambda: self._catalog.exchange.alive
        )
        runner = open_runner(settings.upstream_address)
        self._local_rank = LocalRank(
            runner, settings.upstream_address, clock, self._counts
        )
        self._coordinator = Coordinator(
            updates,
            ServiceName(settings.service),
            settings.upstream_address.host,
            settings.group_address.port,
            self._local_rank,
            open_runner,
            clock,
            self._rng,
            metrics,
        )
        self._catalog.keeper.subscribe(self._coordinator.mailbox)
        self._relay = OrderRelay(self._local_rank.mailbox, settings.group_address.port)
        service = RankService(self._local_rank.mailbox, self._relay.mailbox)
        self._server = Server([service], codec=MessagePackCodec())
        self._admin = AdminServer(
            settings.admin_address, self._is_ready, self._dump, self._render_metrics
        )

    async def start(self) -> None:
        """Start the tasks and listen for calls."""
        self._tasks.start("local-rank", self._local_rank.run())
        self._tasks.start("order-relay", self._relay.run())
        timing = WatchTiming(_MEAN_WATCH_DURATION_S, _PAUSE_AFTER_CHANGE_S, self._rng)
        self._catalog.start(self._tasks, timing)
        address = self._settings.group_address
        await self._server.start(address.host, address.port)
        await self._counts.start()
        self._catalog.start_exchange(self._tasks)
        self._tasks.start("coordinator", self._coordinator.run())
        await self._admin.start()
        self._state = ProcessState.SERVING

    def reload(self) -> None:
        """Reload the seed peers, the only setting that may change at run time."""
        self._catalog.reload()

    async def drain(self) -> None:
        """Return immediately: another rebalancer finishes any pending map change."""
        self._state = ProcessState.DRAINING

    async def close(self) -> list[str]:
        """Stop all tasks; no request is cut off, as callers do not use this process."""
        self._server.close()
        self._counts.close()
        await self._admin.close()
        await self._tasks.cancel_all()
        return []

    async def wait_failed(self) -> None:
        """Wait until a task has failed."""
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
        self._metrics.set_coordinator(self._coordinator.is_coordinator)
        return self._metrics.render()
