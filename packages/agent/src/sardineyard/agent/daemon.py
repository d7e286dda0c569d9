"""Agent daemon: creates its tasks and connects their mailboxes."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

from grpclib.server import Server

from sardineyard.admission.policies import policy_named as admission_policy
from sardineyard.agent.group_coordinator import GroupCoordinator
from sardineyard.agent.group_messages import ReadGroup
from sardineyard.agent.group_participant import GroupParticipant
from sardineyard.agent.key_messages import DrainKeys
from sardineyard.agent.key_owner import KeyOwner
from sardineyard.agent.lease_task import LeaseTask
from sardineyard.agent.messages import Drain, ReadLoad, ReadQueues
from sardineyard.agent.scheduler import Scheduler
from sardineyard.agent.service import AgentService
from sardineyard.configsync.members import PeerMember
from sardineyard.configsync.sync import ConfigSync
from sardineyard.core.ids import UpstreamId
from sardineyard.core.mailbox import Reply
from sardineyard.core.states import ProcessRole, ProcessState, UpstreamKind
from sardineyard.core.tasks import TaskSet
from sardineyard.daemon.admin import AdminServer
from sardineyard.daemon.identity import create_identity
from sardineyard.daemon.process_status import (
    config_view,
    document_in_force,
    update_process_metrics,
)
from sardineyard.httpio.pool import ConnectionPool
from sardineyard.runner import ModelRunner, PlainService
from sardineyard.runner.ranks import RankClient
from sardineyard.telemetry.metrics import AgentMetrics
from sardineyard.telemetry.state import AgentDump
from sardineyard.wire.authentication import check_calls
from sardineyard.wire.credentials import Caller, Credentials
from sardineyard.wire.dialer import Dialer

if TYPE_CHECKING:
    from sardineyard.core.clock import Clock
    from sardineyard.core.requests import LoadReport
    from sardineyard.runner import Runner
    from sardineyard.settings.processes import AgentSettings
    from sardineyard.telemetry.state import GroupView, QueueView

# A runner next to the agent responds within milliseconds; one that exceeds this
# timeout is treated as lost.
_RANKS_TIMEOUT_S = 1.0


class AgentDaemon:
    """Run the tasks of one agent."""

    def __init__(self, settings: AgentSettings, clock: Clock) -> None:
        self._settings = settings
        self._identity = create_identity(settings, clock)
        self._state = ProcessState.STARTING
        self._tasks = TaskSet()
        self._clock = clock
        self._started = clock.now()
        self._agent_metrics = AgentMetrics(settings.process)
        self._pool = ConnectionPool(settings.upstream_address)
        upstream = UpstreamId(settings.upstream)
        incarnation = self._identity.incarnation
        caller = Caller(self._identity.process, ProcessRole.AGENT)
        dialer = Dialer(Credentials(caller, settings.fleet_key), clock)
        self._scheduler = Scheduler(
            upstream,
            incarnation,
            self._runner(),
            clock,
            self._agent_metrics,
            admission_policy(settings.admission),
        )
        self._key_owner = KeyOwner(
            self._scheduler.mailbox, upstream, incarnation, clock, dialer
        )
        self._lease = LeaseTask(
            settings.advertised_address,
            settings.seed_peers,
            self._key_owner.mailbox,
            clock,
            Random(),
            dialer,
        )
        self._config_sync = ConfigSync(
            PeerMember(
                self._identity.process,
                self._identity.advertised_address,
                incarnation,
                self._identity.failure_domain,
                clock.now(),
            ),
            settings.platform_address,
            settings.seed_peers,
            clock,
            Random(),
            dialer,
            self._agent_metrics,
        )
        self._config_sync.subscribe(self._scheduler.mailbox)
        self._coordinator = GroupCoordinator(
            upstream, clock, Random(), dialer, self._agent_metrics
        )
        self._participant = GroupParticipant(
            upstream,
            RankClient(self._pool, _RANKS_TIMEOUT_S),
            self._coordinator.mailbox,
        )
        self._coordinator.set_participant(self._participant.mailbox)
        self._config_sync.subscribe(self._participant.mailbox)
        self._config_sync.subscribe(self._coordinator.mailbox)
        self._config_sync.subscribe(self._key_owner.mailbox)
        if self._serves_keyed_calls:
            self._config_sync.subscribe(self._lease.mailbox)
        self._service = AgentService(
            upstream,
            incarnation,
            self._scheduler.mailbox,
            self._key_owner.mailbox,
            self._participant.mailbox,
            clock,
            self._agent_metrics,
        )
        self._server = Server(
            [
                self._service,
                self._config_sync.peer_service,
            ]
        )
        check_calls(self._server, settings.fleet_key, clock)
        self._admin = AdminServer(
            settings.admin_address, self._is_ready, self._dump, self._render_metrics
        )

    async def start(self) -> None:
        """Start the tasks and the servers."""
        self._tasks.start("scheduler", self._scheduler.run())
        self._tasks.start("key-owner", self._key_owner.run())
        self._tasks.start("group-participant", self._participant.run())
        self._tasks.start("group-coordinator", self._coordinator.run())
        if self._serves_keyed_calls:
            self._tasks.start("address-lease", self._lease.run())
        address = self._settings.peer_address
        await self._server.start(address.host, address.port)
        self._config_sync.start(self._tasks)
        await self._admin.start()
        self._state = ProcessState.SERVING

    async def drain(self) -> None:
        """Refuse new requests and wait until all open calls have ended."""
        self._state = ProcessState.DRAINING
        reply: Reply[None] = Reply()
        self._scheduler.mailbox.post(Drain(reply))
        await reply.wait()
        # Keyed calls may still be waiting for a previous owner or for their last event.
        keys_drained: Reply[None] = Reply()
        self._key_owner.mailbox.post(DrainKeys(keys_drained))
        await keys_drained.wait()
        # The last events of the calls may still be queued in the sessions.
        await self._service.flush()

    async def close(self) -> list[str]:
        """Stop all tasks; return the ids of the requests that were aborted."""
        aborted = [str(request) for request in self._scheduler.open_requests]
        self._server.close()
        await self._server.wait_closed()
        await self._admin.close()
        await self._tasks.cancel_all()
        self._coordinator.close()
        self._pool.close()
        return aborted

    async def wait_failed(self) -> None:
        """Wait until a task has failed."""
        await self._tasks.wait_failed()

    def _runner(self) -> Runner:
        if self._settings.upstream_kind is UpstreamKind.MODEL_RUNNER:
            return ModelRunner(self._pool)
        return PlainService(self._pool)

    @property
    def _serves_keyed_calls(self) -> bool:
        # Only plain services have calls with idempotency keys, which need the address
        # lease.
        return self._settings.upstream_kind is UpstreamKind.PLAIN_SERVICE

    def _is_ready(self) -> bool:
        if self._state is not ProcessState.SERVING or self._config_sync.current is None:
            return False
        return not self._serves_keyed_calls or self._key_owner.accepts_new_keys

    async def _dump(self) -> AgentDump:
        load = await self._load()
        return AgentDump(
            process=self._identity.process,
            incarnation=self._identity.incarnation,
            failure_domain=self._identity.failure_domain,
            state=self._state,
            uptime_s=self._clock.now() - self._started,
            document=document_in_force(self._config_sync.current),
            tasks=tuple(self._tasks.names),
            upstream=load.upstream,
            slots=load.slots,
            running=load.running,
            queued=load.queued,
            queues=await self._queues(),
            groups=await self._groups(),
            lease_held=self._key_owner.lease_held,
            idempotency_keys=self._key_owner.key_count,
            idempotency_floor=self._key_owner.history_cutoff,
            config=config_view(await self._config_sync.dump()),
        )

    async def _load(self) -> LoadReport:
        reply: Reply[LoadReport] = Reply()
        self._scheduler.mailbox.post(ReadLoad(reply))
        return await reply.wait()

    async def _groups(self) -> tuple[GroupView, ...]:
        reply: Reply[GroupView | None] = Reply()
        self._coordinator.mailbox.post(ReadGroup(reply))
        view = await reply.wait()
        return () if view is None else (view,)

    async def _queues(self) -> tuple[QueueView, ...]:
        reply: Reply[tuple[QueueView, ...]] = Reply()
        self._scheduler.mailbox.post(ReadQueues(reply))
        return await reply.wait()

    async def _render_metrics(self) -> tuple[dict[str, str], bytes]:
        update_process_metrics(
            self._agent_metrics, self._state, self._config_sync.current
        )
        for queue in await self._queues():
            self._agent_metrics.queued(queue.priority, queue.queued)
        self._agent_metrics.running((await self._load()).running)
        for group in await self._groups():
            self._agent_metrics.group_stragglers(group.group, len(group.stragglers))
            self._agent_metrics.group_map(group.group, group.map_version)
        if self._serves_keyed_calls:
            self._agent_metrics.address_lease(self._key_owner.lease_held)
            self._agent_metrics.idempotency_keys(self._key_owner.key_count)
        return self._agent_metrics.render()
