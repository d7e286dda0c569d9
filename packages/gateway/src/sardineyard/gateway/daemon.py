"""The gateway daemon: its tasks and how they are connected."""

from __future__ import annotations

import asyncio
import logging
from itertools import count
from random import Random
from typing import TYPE_CHECKING

from grpclib.server import Server

from sardineyard.catalog.beacons import Beacons
from sardineyard.catalog.client import CatalogClient
from sardineyard.catalog.follower import WatchPace
from sardineyard.catalog.peers import NewsCodec, PeerService
from sardineyard.core.ids import FailureDomain
from sardineyard.core.mailbox import Reply
from sardineyard.core.states import ProcessState
from sardineyard.core.tasks import TaskSet
from sardineyard.daemon.admin import AdminServer
from sardineyard.forwarding.budget import BudgetRules
from sardineyard.forwarding.config import FrontLimits
from sardineyard.gateway.connections import UpstreamConnections
from sardineyard.gateway.dispatcher import Dispatcher
from sardineyard.gateway.environment import Environment
from sardineyard.gateway.forwarder import Forwarder
from sardineyard.gateway.messages import DumpGateway
from sardineyard.httpio.acceptor import Acceptor
from sardineyard.httpio.messages import HttpLimits
from sardineyard.httpio.request_reader import AcceptLimits
from sardineyard.httpio.server import HttpServer

if TYPE_CHECKING:
    from collections.abc import Callable

    from sardineyard.core.clock import Clock
    from sardineyard.core.errors import ErrorKind
    from sardineyard.forwarding.config import ForwardingConfig
    from sardineyard.forwarding.messages import MessageCodec
    from sardineyard.forwarding.source import CatalogStore
    from sardineyard.gateway.state import GatewayDump
    from sardineyard.httpio.exchange import Exchange
    from sardineyard.httpio.messages import HttpRequest
    from sardineyard.settings.gateway import GatewaySettings
    from sardineyard.telemetry.gateway_metrics import GatewayMetrics

_logger = logging.getLogger(__name__)

# A watch is asked for anew this often, which shows that its connection is not silent.
# Gateways do so at different times, and the first one to hear of a change tells the
# others, so that a change is in force everywhere in a fraction of it.
_WATCH_S = 5.0
# Pause between two watches, in which changes that come together are collected.
_WATCH_PAUSE_S = 0.15
_PEER_ROUND_S = 1.0
_OLD_CONNECTIONS_S = 1.0
# The platform asks once a second whether a gateway is ready and sends no more callers
# after two refusals; until then new connections are served.
_LEAVE_ROTATION_S = 2.5
# Time before the platform's SIGKILL that is left for the exit.
_EXIT_MARGIN_S = 0.7


class GatewayDaemon:
    """Run the tasks of one gateway."""

    def __init__(
        self,
        settings: GatewaySettings,
        clock: Clock,
        store: CatalogStore,
        codec: MessageCodec,
        metrics: GatewayMetrics,
        reload_seeds: Callable[[], tuple[str, ...]],
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._metrics = metrics
        self._state = ProcessState.STARTING
        self._tasks = TaskSet()
        self._rng = Random()
        own_address = str(settings.peer_address)
        self._catalog = CatalogClient(
            store,
            clock,
            self._rng,
            own_address,
            settings.seed_peers,
            _PEER_ROUND_S,
            reload_seeds,
        )
        self._keeper, self._exchange = self._catalog.keeper, self._catalog.exchange
        self._dispatcher = Dispatcher(
            clock,
            self._rng,
            FailureDomain(settings.failure_domain),
            BudgetRules(
                settings.repeat_ratio, settings.repeat_extra, settings.repeat_window_s
            ),
            metrics,
        )
        self._keeper.subscribe(self._dispatcher.mailbox)
        self._beacons = Beacons(
            settings.peer_address,
            settings.beacon_address,
            clock,
            lambda: self._exchange.alive,
            self._dispatcher.in_flight,
            self._dispatcher.pass_factors,
            lambda: self._keeper.versions,
            self._exchange.ask,
        )
        self._beacons.subscribe(self._dispatcher.mailbox)
        self._connections = UpstreamConnections(clock)
        self._forwarder = Forwarder(
            lambda: self._keeper.config,
            Environment(
                self._dispatcher.mailbox,
                codec,
                self._connections,
                clock,
                metrics,
                count(1),
            ),
            self._rng,
        )
        self._callers = Acceptor(
            settings.caller_address,
            self._forwarder.handle,
            self._forwarder.refuse,
            self._limits,
            settings.max_connections,
        )
        self._peers = Server(
            [PeerService(self._keeper.mailbox, self._exchange)], codec=NewsCodec()
        )
        self._readiness = HttpServer(
            settings.ready_address, self._answer_ready, _refuse_bad, HttpLimits()
        )
        self._admin = AdminServer(
            settings.admin_address,
            lambda: self.is_ready,
            self._dump,
            self._render_metrics,
        )

    @property
    def is_ready(self) -> bool:
        """Return whether this gateway takes new connections."""
        return self._state is ProcessState.SERVING and self._keeper.is_ready

    @property
    def config(self) -> ForwardingConfig | None:
        """Return the configuration in force."""
        return self._keeper.config

    @property
    def caller_port(self) -> int:
        """Return the port on which callers are served."""
        return self._callers.port

    async def start(self) -> None:
        """Start the tasks and listen."""
        self._tasks.start("dispatcher", self._dispatcher.run())
        pace = WatchPace(_WATCH_S, _WATCH_PAUSE_S, self._rng)
        self._catalog.start(self._tasks, pace)
        address = self._settings.peer_address
        await self._peers.start(address.host, address.port)
        self._catalog.start_exchange(self._tasks)
        self._tasks.start("beacons", self._beacons.run())
        self._tasks.start("connections", self._drop_old_connections())
        await self._callers.start()
        await self._readiness.start()
        await self._admin.start()
        self._state = ProcessState.SERVING

    def reload(self) -> None:
        """Read the settings again; only the seeds may change in a running process."""
        self._catalog.reload()

    async def drain(self) -> None:
        """Leave the rotation and return when the open requests have ended."""
        self._state = ProcessState.DRAINING
        end = self._clock.now() + self._settings.drain_timeout_s - _EXIT_MARGIN_S
        self._callers.close_after_answers()
        await asyncio.sleep(min(_LEAVE_ROTATION_S, self._settings.drain_timeout_s / 3))
        self._callers.stop_listening()
        while self._callers.open_connections and self._clock.now() < end:  # noqa: ASYNC110
            await asyncio.sleep(0.05)

    async def close(self) -> list[str]:
        """End all tasks and return the ids of the requests that were cut."""
        cut = [str(request) for request in self._forwarder.open_requests]
        await self._callers.close()
        self._connections.close()
        await self._readiness.close()
        await self._admin.close()
        self._peers.close()
        await self._tasks.cancel_all()
        return cut

    async def wait_failed(self) -> None:
        """Return when a task has failed."""
        await self._tasks.wait_failed()

    def _limits(self) -> AcceptLimits:
        config = self._keeper.config
        limits = FrontLimits() if config is None else config.limits
        return AcceptLimits(
            limits.max_head_bytes,
            limits.max_body_bytes,
            limits.head_timeout_s,
            limits.idle_timeout_s,
        )

    async def _answer_ready(self, request: HttpRequest, exchange: Exchange) -> None:
        await exchange.send(200 if self.is_ready else 503, {})

    async def _drop_old_connections(self) -> None:
        while True:
            await asyncio.sleep(_OLD_CONNECTIONS_S)
            self._connections.drop_old()

    async def _dump(self) -> object:
        gateway: Reply[GatewayDump] = Reply()
        self._dispatcher.mailbox.post(DumpGateway(gateway))
        return {
            "process": self._settings.process,
            "state": self._state.value,
            "peers": self._exchange.alive,
            "open_requests": self._forwarder.open_requests,
            "catalog": await self._catalog.dump(),
            "gateway": await gateway.wait(),
        }

    async def _render_metrics(self) -> tuple[dict[str, str], bytes]:
        self._metrics.process_state(self._state)
        self._metrics.document_in_force(self._catalog.version)
        self._metrics.connections("callers", self._callers.open_connections)
        self._metrics.connections("upstreams_idle", self._connections.idle_count)
        return self._metrics.render()


async def _refuse_bad(kind: ErrorKind, detail: str, exchange: Exchange) -> None:
    await exchange.send(400, {})
