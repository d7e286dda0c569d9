"""The entry daemon: its tasks and how they are connected."""

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
from sardineyard.daemon.identity import identify
from sardineyard.daemon.observe import config_view, document_in_force, measure_process
from sardineyard.entry.attempts import Attempts
from sardineyard.entry.completions import CompletionFront
from sardineyard.entry.directory import Directory
from sardineyard.entry.front import CallerFront
from sardineyard.entry.messages import DumpRouter
from sardineyard.entry.observe import team_views
from sardineyard.entry.router import Router
from sardineyard.entry.services import ServiceFront
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
    """Run the tasks of one entry."""

    def __init__(self, settings: EntrySettings, clock: Clock) -> None:
        self._settings = settings
        self._identity = identify(settings, clock)
        self._state = ProcessState.STARTING
        self._tasks = TaskSet()
        self._indexed: tuple[object, Directory] | None = None
        hello = Hello(
            self._identity.process,
            self._identity.incarnation,
            self._identity.failure_domain,
        )
        self._clock = clock
        self._started = clock.now()
        self._measured = EntryMetrics(settings.process)
        caller = Caller(self._identity.process, ProcessRole.ENTRY)
        dialer = Dialer(Credentials(caller, settings.fleet_key), clock)
        self._router = Router(
            hello,
            clock,
            Random(),
            dialer,
            self._measured,
            policy_named(settings.routing, self._identity.failure_domain),
        )
        self._sync = ConfigSync(
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
            self._measured,
        )
        self._sync.subscribe(self._router.mailbox)
        self._router.share_crashes(self._sync.subscribe_crashes(self._router.mailbox))
        self._sync.read_vm_list(self._router.mailbox)
        attempts = Attempts(self._router.mailbox, clock, self._measured)
        self._front = CallerFront(
            self._directory,
            self._is_draining,
            CompletionFront(attempts, clock),
            ServiceFront(attempts),
            self._measured,
            self._metrics,
            clock,
        )
        self._callers = HttpServer(
            settings.caller_address,
            self._front.handle,
            self._front.refuse,
            HttpLimits(),
        )
        self._peers = Server([self._sync.service])
        check_calls(self._peers, settings.fleet_key, clock)
        self._admin = AdminServer(
            settings.admin_address, self._is_ready, self._dump, self._metrics
        )

    async def start(self) -> None:
        """Start the tasks and listen."""
        self._tasks.start("router", self._router.run())
        address = self._settings.peer_address
        await self._peers.start(address.host, address.port)
        self._sync.start(self._tasks)
        await self._admin.start()
        await self._callers.start()
        self._state = ProcessState.SERVING

    async def drain(self) -> None:
        """Refuse new work and return when the open requests have ended."""
        self._state = ProcessState.DRAINING
        await self._front.wait_idle()
        await self._callers.stop_listening()

    async def close(self) -> list[str]:
        """End all tasks and return the ids of the requests that were cut."""
        cut = [str(request) for request in self._front.open_requests]
        await self._callers.close()
        self._peers.close()
        await self._peers.wait_closed()
        await self._admin.close()
        await self._tasks.cancel_all()
        return cut

    async def wait_failed(self) -> None:
        """Return when a task has failed."""
        await self._tasks.wait_failed()

    def _directory(self) -> Directory | None:
        current = self._sync.current
        if current is None:
            return None
        if self._indexed is None or self._indexed[0] is not current:
            self._indexed = (current, Directory(current.document))
            self._callers.use_limits(_http_limits(current.document.limits))
        return self._indexed[1]

    def _is_draining(self) -> bool:
        return self._state is ProcessState.DRAINING

    def _is_ready(self) -> bool:
        return self._state is ProcessState.SERVING and self._sync.current is not None

    async def _dump(self) -> EntryDump:
        requests = self._front.request_views
        return EntryDump(
            process=self._identity.process,
            incarnation=self._identity.incarnation,
            failure_domain=self._identity.failure_domain,
            state=self._state,
            uptime_s=self._clock.now() - self._started,
            document=document_in_force(self._sync.current),
            tasks=tuple(self._tasks.names),
            teams=team_views(requests),
            requests=requests,
            upstreams=await self._upstreams(),
            config=config_view(await self._sync.dump()),
        )

    async def _upstreams(self) -> tuple[UpstreamView, ...]:
        reply: Reply[tuple[UpstreamView, ...]] = Reply()
        self._router.mailbox.post(DumpRouter(reply))
        return await reply.wait()

    async def _metrics(self) -> tuple[dict[str, str], bytes]:
        measure_process(self._measured, self._state, self._sync.current)
        states = [view.state for view in await self._upstreams()]
        for state in UpstreamState:
            self._measured.upstreams(state, states.count(state))
        return self._measured.render()


def _http_limits(limits: Limits) -> HttpLimits:
    return HttpLimits(
        max_head_bytes=limits.max_head_bytes,
        max_body_bytes=limits.max_body_bytes,
        max_connections=limits.max_connections,
    )
