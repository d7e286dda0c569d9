"""The entry daemon: its tasks and how they are connected."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

from grpclib.server import Server

from sardineyard.configsync.members import PeerMember
from sardineyard.configsync.sync import ConfigSync
from sardineyard.core.mailbox import Reply
from sardineyard.core.states import ProcessState
from sardineyard.core.tasks import TaskSet
from sardineyard.daemon.admin import AdminServer
from sardineyard.daemon.identity import identify
from sardineyard.entry.attempts import Attempts
from sardineyard.entry.completions import CompletionFront
from sardineyard.entry.directory import Directory
from sardineyard.entry.front import CallerFront
from sardineyard.entry.messages import DumpRouter
from sardineyard.entry.router import Router
from sardineyard.entry.services import ServiceFront
from sardineyard.httpio.messages import HttpLimits
from sardineyard.httpio.server import HttpServer
from sardineyard.wire.control import Hello

if TYPE_CHECKING:
    from sardineyard.core.clock import Clock
    from sardineyard.settings.processes import EntrySettings


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
        self._router = Router(hello, clock, Random())
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
        )
        self._sync.subscribe(self._router.mailbox)
        self._sync.read_vm_list(self._router.mailbox)
        attempts = Attempts(self._router.mailbox, clock)
        self._front = CallerFront(
            self._directory,
            self._is_draining,
            CompletionFront(attempts, clock),
            ServiceFront(attempts),
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
        return self._indexed[1]

    def _is_draining(self) -> bool:
        return self._state is ProcessState.DRAINING

    def _is_ready(self) -> bool:
        return self._state is ProcessState.SERVING and self._sync.current is not None

    async def _dump(self) -> object:
        current = self._sync.current
        reply: Reply[dict[str, object]] = Reply()
        self._router.mailbox.post(DumpRouter(reply))
        return {
            "process": self._identity.process,
            "incarnation": self._identity.incarnation,
            "state": self._state,
            "document_version": current.order.version if current else None,
            "config": await self._sync.dump(),
            "open_requests": self._front.open_requests,
            "router": await reply.wait(),
        }

    def _metrics(self) -> tuple[dict[str, str], bytes]:
        return {"content-type": "text/plain"}, b""
