"""The entry daemon: creates, connects, starts and stops its tasks and servers."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

from grpclib.server import Server

from sardineyard.configsync.members import PeerMember
from sardineyard.configsync.sync import ConfigSync
from sardineyard.core.mailbox import Reply
from sardineyard.core.states import ProcessRole, ProcessState, UpstreamState
from sardineyard.core.tasks import TaskSet
from sardineyard.daemon.admin import AdminServer
from sardineyard.daemon.identity import create_identity
from sardineyard.daemon.process_status import (
    config_view,
    document_in_force,
    update_process_metrics,
)
from sardineyard.entry.completions import CompletionHandler
from sardineyard.entry.document_index import DocumentIndex
from sardineyard.entry.front import CallerHandler
from sardineyard.entry.messages import DumpRouter
from sardineyard.entry.observe import team_views
from sardineyard.entry.request_executor import RequestExecutor
from sardineyard.entry.router import Router
from sardineyard.entry.services import ServiceHandler
from sardineyard.httpio.messages import HttpLimits
from sardineyard.httpio.server import HttpServer
from sardineyard.routing.policies import policy_named
from sardineyard.telemetry.metrics import EntryMetrics
from sardineyard.telemetry.state import EntryDump
from sardineyard.wire.authentication import check_calls
from sardineyard.wire.control import Hello
from sardineyard.wire.credentials import Caller, Credentials
from sardineyard.wire.dialer import Dialer

if TYPE_CHECKING:
    from sardineyard.core.clock import Clock
    from sardineyard.document.model import Limits
    from sardineyard.settings.processes import EntrySettings
    from sardineyard.telemetry.state import UpstreamView


class EntryDaemon:
    """One entry process: its router, configuration sync and HTTP and gRPC servers."""

    def __init__(self, settings: EntrySettings, clock: Clock) -> None:
        self._settings = settings
        self._identity = create_identity(settings, clock)
        self._state = ProcessState.STARTING
        self._tasks = TaskSet()
        self._index_cache: tuple[object, DocumentIndex] | None = None
        hello = Hello(
            self._identity.process,
            self._identity.incarnation,
            self._identity.failure_domain,
        )
        self._clock = clock
        self._started_at = clock.now()
        self._entry_metrics = EntryMetrics(settings.process)
        caller = Caller(self._identity.process, ProcessRole.ENTRY)
        dialer = Dialer(Credentials(caller, settings.fleet_key), clock)
        self._router = Router(
            hello,
            clock,
            Random(),
            dialer,
            self._entry_metrics,
            policy_named(settings.routing, self._identity.failure_domain),
        )
        self._config_sync = ConfigSync(
            PeerMember(
                self._identity.process,
                self._identity.advertised_address,
                self._identity.incarnation,
                self._identity.failure_domain,
                clock.now(),
            ),
            settings.platform_address,
            settings.seed_peers,
            clock,
            Random(),
            dialer,
            self._entry_metrics,
        )
        self._config_sync.subscribe(self._router.mailbox)
        self._router.send_crashes_to(
            self._config_sync.subscribe_crashes(self._router.mailbox)
        )
        self._config_sync.subscribe_vm_list(self._router.mailbox)
        executor = RequestExecutor(self._router.mailbox, clock, self._entry_metrics)
        self._caller_handler = CallerHandler(
            self._document_index,
            self._is_draining,
            CompletionHandler(executor, clock),
            ServiceHandler(executor),
            self._entry_metrics,
            self._render_metrics,
            clock,
        )
        self._caller_server = HttpServer(
            settings.caller_address,
            self._caller_handler.handle,
            self._caller_handler.refuse,
            HttpLimits(),
        )
        self._peer_server = Server([self._config_sync.peer_service])
        check_calls(self._peer_server, settings.fleet_key, clock)
        self._admin_server = AdminServer(
            settings.admin_address, self._is_ready, self._dump, self._render_metrics
        )

    async def start(self) -> None:
        """Start the tasks and servers."""
        self._tasks.start("router", self._router.run())
        address = self._settings.peer_address
        await self._peer_server.start(address.host, address.port)
        self._config_sync.start(self._tasks)
        await self._admin_server.start()
        await self._caller_server.start()
        self._state = ProcessState.SERVING

    async def drain(self) -> None:
        """Refuse new requests and wait until the open ones have ended."""
        self._state = ProcessState.DRAINING
        await self._caller_handler.wait_idle()
        await self._caller_server.stop_listening()

    async def close(self) -> list[str]:
        """Stop all tasks; return the ids of the requests that were aborted."""
        aborted = [str(request) for request in self._caller_handler.open_requests]
        await self._caller_server.close()
        self._peer_server.close()
        await self._peer_server.wait_closed()
        await self._admin_server.close()
        await self._tasks.cancel_all()
        return aborted

    async def wait_failed(self) -> None:
        """Wait until a task fails."""
        await self._tasks.wait_failed()

    def _document_index(self) -> DocumentIndex | None:
        current = self._config_sync.current
        if current is None:
            return None
        if self._index_cache is None or self._index_cache[0] is not current:
            self._index_cache = (current, DocumentIndex(current.document))
            self._caller_server.use_limits(_http_limits(current.document.limits))
        return self._index_cache[1]

    def _is_draining(self) -> bool:
        return self._state is ProcessState.DRAINING

    def _is_ready(self) -> bool:
        return (
            self._state is ProcessState.SERVING
            and self._config_sync.current is not None
        )

    async def _dump(self) -> EntryDump:
        requests = self._caller_handler.request_views
        return EntryDump(
            process=self._identity.process,
            incarnation=self._identity.incarnation,
            failure_domain=self._identity.failure_domain,
            state=self._state,
            uptime_s=self._clock.now() - self._started_at,
            document=document_in_force(self._config_sync.current),
            tasks=tuple(self._tasks.names),
            teams=team_views(requests),
            requests=requests,
            upstreams=await self._upstream_views(),
            config=config_view(await self._config_sync.dump()),
        )

    async def _upstream_views(self) -> tuple[UpstreamView, ...]:
        reply: Reply[tuple[UpstreamView, ...]] = Reply()
        self._router.mailbox.post(DumpRouter(reply))
        return await reply.wait()

    async def _render_metrics(self) -> tuple[dict[str, str], bytes]:
        update_process_metrics(
            self._entry_metrics, self._state, self._config_sync.current
        )
        states = [view.state for view in await self._upstream_views()]
        for state in UpstreamState:
            self._entry_metrics.upstreams(state, states.count(state))
        return self._entry_metrics.render()


def _http_limits(limits: Limits) -> HttpLimits:
    return HttpLimits(
        max_head_bytes=limits.max_head_bytes,
        max_body_bytes=limits.max_body_bytes,
        max_connections=limits.max_connections,
    )
