"""The gateway daemon: builds and connects its tasks, and starts and stops them."""

from __future__ import annotations

import asyncio
import logging
from itertools import count
from random import Random
from typing import TYPE_CHECKING

from grpclib.server import Server

from sardineyard.catalog.beacons import BeaconSocket
from sardineyard.catalog.client import CatalogClient
from sardineyard.catalog.follower import WatchTiming
from sardineyard.catalog.peers import MessagePackCodec, PeerService
from sardineyard.core.clock import Deadline
from sardineyard.core.ids import FailureDomain
from sardineyard.core.mailbox import Reply
from sardineyard.core.states import ProcessState
from sardineyard.core.tasks import TaskSet
from sardineyard.daemon.admin import AdminServer
from sardineyard.forwarding.budget import BudgetRules
from sardineyard.forwarding.config import CallerLimits
from sardineyard.gateway.connections import UpstreamConnections
from sardineyard.gateway.dispatcher import Dispatcher
from sardineyard.gateway.environment import Environment
from sardineyard.gateway.forwarder import Forwarder
from sardineyard.gateway.messages import DumpGateway
from sardineyard.gateway.quarantine import QuarantineKeeper
from sardineyard.httpio.acceptor import Acceptor
from sardineyard.httpio.buffers import BufferBudget
from sardineyard.httpio.messages import HttpLimits
from sardineyard.httpio.request_reader import AcceptLimits
from sardineyard.httpio.server import HttpServer

if TYPE_CHECKING:
    from collections.abc import Callable

    from sardineyard.core.clock import Clock
    from sardineyard.core.errors import ErrorKind
    from sardineyard.forwarding.config import ForwardingConfig
    from sardineyard.forwarding.messages import MessageCodec
    from sardineyard.forwarding.store import CatalogStore
    from sardineyard.gateway.state import GatewayDump
    from sardineyard.httpio.exchange import Exchange
    from sardineyard.httpio.messages import HttpRequest
    from sardineyard.settings.gateway import GatewaySettings
    from sardineyard.telemetry.gateway_metrics import GatewayMetrics

_logger = logging.getLogger(__name__)

# Mean duration of one watch of the platform's store. Renewing a watch detects a dead
# connection. Gateways renew at different times, and the first one to receive a change
# sends it to the others, so a change takes effect everywhere well within this time.
_WATCH_DURATION_S = 5.0
# Delay between two watches, so that changes made together are received together.
_WATCH_DELAY_S = 0.15
_PEER_EXCHANGE_INTERVAL_S = 1.0
_IDLE_CHECK_INTERVAL_S = 1.0
# Time for which a draining gateway still serves new connections. The platform polls
# readiness once a second and routes no more callers here after two negative responses.
_LEAVE_ROTATION_S = 2.5
# Time reserved for the exit at the end of the drain timeout, in seconds: the platform
# then sends SIGKILL.
_EXIT_MARGIN_S = 0.7
# Time before that end at which open requests are answered, in seconds, so that callers
# receive the answers.
_LAST_ANSWERS_S = 0.2


class GatewayDaemon:
    """Daemon that runs the tasks of one gateway."""

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
        local_address = str(settings.peer_address)
        self._catalog = CatalogClient(
            store,
            clock,
            self._rng,
            local_address,
            settings.seed_peers,
            _PEER_EXCHANGE_INTERVAL_S,
            reload_seeds,
        )
        self._catalog_keeper, self._peer_exchange = (
            self._catalog.keeper,
            self._catalog.exchange,
        )
        self._dispatcher = Dispatcher(
            clock,
            self._rng,
            FailureDomain(settings.failure_domain),
            BudgetRules(
                settings.repeat_ratio, settings.repeat_extra, settings.repeat_window_s
            ),
            metrics,
        )
        self._catalog_keeper.subscribe(self._dispatcher.mailbox)
        self._quarantine = QuarantineKeeper(clock, self._dispatcher.mailbox)
        self._catalog_keeper.subscribe(self._quarantine.mailbox)
        self._beacons = BeaconSocket(
            settings.peer_address,
            settings.beacon_address,
            clock,
            lambda: self._peer_exchange.alive,
            self._dispatcher.in_flight,
            self._dispatcher.pass_factors,
            lambda: self._catalog_keeper.versions,
            self._peer_exchange.request_update,
            self._quarantine.statements,
            self._dispatcher.limit_statements,
        )
        self._beacons.subscribe(self._dispatcher.mailbox)
        self._beacons.subscribe_findings(self._quarantine.mailbox)
        self._connections = UpstreamConnections(clock)
        self._forwarder = Forwarder(
            lambda: self._catalog_keeper.config,
            Environment(
                self._dispatcher.mailbox,
                self._quarantine.mailbox,
                codec,
                self._connections,
                clock,
                metrics,
                count(1),
                self._dispatcher.accepts_requests,
            ),
            self._rng,
        )
        self._caller_acceptor = Acceptor(
            settings.caller_address,
            self._forwarder.handle,
            self._forwarder.refuse,
            self._accept_limits,
            settings.max_connections,
            BufferBudget(settings.request_buffer_mb * 2**20),
        )
        self._peer_server = Server(
            [PeerService(self._catalog_keeper.mailbox, self._peer_exchange)],
            codec=MessagePackCodec(),
        )
        self._ready_server = HttpServer(
            settings.ready_address,
            self._send_readiness,
            _reject_malformed,
            HttpLimits(),
        )
        self._admin_server = AdminServer(
            settings.admin_address,
            lambda: self.is_ready,
            self._dump,
            self._render_metrics,
        )

    @property
    def is_ready(self) -> bool:
        """Return whether this gateway accepts new connections."""
        return self._state is ProcessState.SERVING and self._catalog_keeper.is_ready

    @property
    def config(self) -> ForwardingConfig | None:
        """Return the configuration in force."""
        return self._catalog_keeper.config

    @property
    def alive_peers(self) -> list[str]:
        """Return the addresses of the peers that are not silent."""
        return self._peer_exchange.alive

    @property
    def refused_traits(self) -> list[str]:
        """Return the traits whose requests are refused."""
        return sorted(map(str, self._quarantine.refused))

    @property
    def caller_port(self) -> int:
        """Return the port on which this gateway listens for callers."""
        return self._caller_acceptor.port

    async def start(self) -> None:
        """Start the tasks and listen on all addresses."""
        self._tasks.start("dispatcher", self._dispatcher.run())
        self._tasks.start("quarantine", self._quarantine.run())
        watch_timing = WatchTiming(_WATCH_DURATION_S, _WATCH_DELAY_S, self._rng)
        self._catalog.start(self._tasks, watch_timing)
        address = self._settings.peer_address
        await self._peer_server.start(address.host, address.port)
        self._catalog.start_exchange(self._tasks)
        self._tasks.start("beacons", self._beacons.run())
        self._tasks.start("connections", self._close_expired_connections())
        await self._caller_acceptor.start()
        await self._ready_server.start()
        await self._admin_server.start()
        self._state = ProcessState.SERVING

    def reload(self) -> None:
        """Reload the settings; only the seed peers can change in a running process."""
        self._catalog.reload()

    async def drain(self) -> None:
        """Report not ready and wait for open requests, up to the drain timeout."""
        self._state = ProcessState.DRAINING
        drain_end = self._clock.now() + self._settings.drain_timeout_s - _EXIT_MARGIN_S
        self._caller_acceptor.close_after_responses()
        await asyncio.sleep(min(_LEAVE_ROTATION_S, self._settings.drain_timeout_s / 3))
        self._caller_acceptor.stop_listening()
        self._forwarder.end_requests_by(Deadline(drain_end - _LAST_ANSWERS_S))
        while self._caller_acceptor.open_connections and self._clock.now() < drain_end:  # noqa: ASYNC110
            await asyncio.sleep(0.05)

    async def close(self) -> list[str]:
        """Stop all tasks and return the ids of the requests that were aborted."""
        aborted = [str(request_id) for request_id in self._forwarder.open_requests]
        await self._caller_acceptor.close()
        self._connections.close()
        await self._ready_server.close()
        await self._admin_server.close()
        self._peer_server.close()
        await self._tasks.cancel_all()
        return aborted

    async def wait_failed(self) -> None:
        """Wait until a task has failed."""
        await self._tasks.wait_failed()

    def _accept_limits(self) -> AcceptLimits:
        config = self._catalog_keeper.config
        limits = CallerLimits() if config is None else config.limits
        return AcceptLimits(
            limits.max_head_bytes,
            limits.max_body_bytes,
            limits.head_timeout_s,
            limits.idle_timeout_s,
        )

    async def _send_readiness(self, request: HttpRequest, exchange: Exchange) -> None:
        await exchange.send(200 if self.is_ready else 503, {})

    async def _close_expired_connections(self) -> None:
        while True:
            await asyncio.sleep(_IDLE_CHECK_INTERVAL_S)
            self._connections.close_expired()

    async def _dump(self) -> object:
        dispatcher_state: Reply[GatewayDump] = Reply()
        self._dispatcher.mailbox.post(DumpGateway(dispatcher_state))
        return {
            "process": self._settings.process,
            "state": self._state.value,
            "peers": self._peer_exchange.alive,
            "open_requests": self._forwarder.open_requests,
            "catalog": await self._catalog.dump(),
            "gateway": await dispatcher_state.wait(),
            "refused_traits": self.refused_traits,
        }

    async def _render_metrics(self) -> tuple[dict[str, str], bytes]:
        self._metrics.process_state(self._state)
        self._metrics.document_in_force(self._catalog.version)
        self._metrics.refused_traits(len(self.refused_traits))
        self._metrics.connections("callers", self._caller_acceptor.open_connections)
        self._metrics.connections("upstreams_idle", self._connections.idle_count)
        return self._metrics.render()


async def _reject_malformed(kind: ErrorKind, detail: str, exchange: Exchange) -> None:
    await exchange.send(400, {})
