"""Router task: owns the links to all upstreams and picks one for each attempt."""

from __future__ import annotations

import asyncio
import logging
from dataclasses import dataclass
from functools import singledispatchmethod
from typing import TYPE_CHECKING, Any

from returns.result import Failure, Success

from sardineyard.configsync.messages import (
    DocumentAdopted,
    LocalCrashesCounted,
    PeerCrashesReceived,
    VmListRead,
)
from sardineyard.core.address import parse_address
from sardineyard.core.errors import ErrorKind
from sardineyard.core.mailbox import Mailbox
from sardineyard.core.states import UpstreamState
from sardineyard.entry.agent_link import AgentLink
from sardineyard.entry.messages import (
    AcquireRetry,
    AttemptEnded,
    DumpRouter,
    LinkDown,
    LinkUp,
    LoadReceived,
    PauseCheckDue,
    PickedUpstream,
    PickUpstream,
)
from sardineyard.entry.route_state import RouteState
from sardineyard.membership.evidence import (
    Heartbeat,
    ProcessPaused,
    SessionDown,
    SessionUp,
    VmReport,
)
from sardineyard.membership.pauses import PauseDetector
from sardineyard.membership.table import MembershipTable
from sardineyard.telemetry.state import UpstreamView

if TYPE_CHECKING:
    from random import Random

    from sardineyard.core.clock import Clock
    from sardineyard.core.control import ControlMeter
    from sardineyard.core.ids import Incarnation, UpstreamId
    from sardineyard.core.requests import LoadReport
    from sardineyard.document.model import Upstream
    from sardineyard.membership.evidence import Evidence
    from sardineyard.routing.policies import Policy as RoutingPolicy
    from sardineyard.wire.control import Hello
    from sardineyard.wire.dialer import Dialer


_logger = logging.getLogger(__name__)

_PAUSE_CHECK_INTERVAL_S = 0.25


@dataclass(slots=True)
class _LinkedUpstream:
    """An upstream of the document, the link to its agent and its last load report."""

    upstream: Upstream
    link: AgentLink
    task: asyncio.Task[None]
    incarnation: Incarnation | None = None
    load: LoadReport | None = None


class Router:
    """Owner of the agent links, the membership table and the routing state."""

    def __init__(
        self,
        hello: Hello,
        clock: Clock,
        random: Random,
        dialer: Dialer,
        meter: ControlMeter,
        policy: RoutingPolicy,
    ) -> None:
        self.mailbox: Mailbox[Any] = Mailbox()
        self._hello = hello
        self._clock = clock
        self._random = random
        self._dialer = dialer
        self._meter = meter
        self._linked: dict[UpstreamId, _LinkedUpstream] = {}
        self._routes = RouteState(hello.process, policy, clock, random)
        self._crash_recipient: Mailbox[Any] | None = None
        self._members = MembershipTable(clock)
        self._pause_detector = PauseDetector(clock, _PAUSE_CHECK_INTERVAL_S)
        self._waiting_picks: list[PickUpstream] = []

    def send_crashes_to(self, recipient: Mailbox[Any]) -> None:
        """Set the mailbox that forwards crash counts to peers."""
        self._crash_recipient = recipient

    async def run(self) -> None:
        """Handle messages until the task is cancelled."""
        ticker = asyncio.get_running_loop().create_task(self._tick())
        try:
            while True:
                self._handle(await self.mailbox.receive())
        finally:
            ticker.cancel()
            for linked in self._linked.values():
                linked.task.cancel()

    @singledispatchmethod
    def _handle(self, message: object) -> None:
        raise TypeError(f"unexpected message {type(message).__name__}")

    @_handle.register(DocumentAdopted)
    def _document_adopted(self, message: DocumentAdopted) -> None:
        upstreams = self._routes.adopt(message.document)
        wanted = {upstream.id: upstream for upstream in upstreams}
        for upstream_id, linked in list(self._linked.items()):
            replacement = wanted.get(upstream_id)
            if (
                replacement is None
                or replacement.agent_address != linked.upstream.agent_address
            ):
                linked.task.cancel()
                del self._linked[upstream_id]
                self._members.reset(upstream_id)
            else:
                linked.upstream = replacement
        self._members.configure(wanted)
        for upstream in wanted.values():
            if upstream.id not in self._linked:
                self._add_link(upstream)
        self._update_routing_states()
        self._retry_waiting_picks()

    @_handle.register(PickUpstream)
    def _pick_upstream(self, message: PickUpstream) -> None:
        match self._routes.pick(message.request, message.excluded):
            case Success(upstream):
                message.reply.send(Success(self._picked_upstream(upstream)))
            case Failure(error) if error.kind is ErrorKind.OWNER_UNAVAILABLE:
                # Only the owner of the key may run the call: wait until available.
                self._waiting_picks = [
                    each for each in self._waiting_picks if not each.reply.done
                ]
                self._waiting_picks.append(message)
            case Failure(error):
                message.reply.send(Failure(error))

    def _retry_waiting_picks(self) -> None:
        waiting_picks, self._waiting_picks = self._waiting_picks, []
        for message in waiting_picks:
            if not message.reply.done:
                self._pick_upstream(message)

    def _picked_upstream(self, upstream: UpstreamId) -> PickedUpstream:
        # A suspect upstream may be picked, so its session may be lost at the moment.
        incarnation = self._members.incarnation(upstream)
        assert incarnation is not None
        return PickedUpstream(
            upstream, incarnation, self._linked[upstream].link.mailbox
        )

    @_handle.register(AttemptEnded)
    def _attempt_ended(self, message: AttemptEnded) -> None:
        self._routes.record_attempt(message)
        if message.error is not None and message.error.kind is ErrorKind.UPSTREAM_LOST:
            crash_counts = tuple(self._routes.quarantine.records())
            if self._crash_recipient is not None:
                self._crash_recipient.offer(LocalCrashesCounted(crash_counts))

    @_handle.register(PeerCrashesReceived)
    def _peer_crashes_received(self, message: PeerCrashesReceived) -> None:
        self._routes.quarantine.merge(message.counts)

    @_handle.register(AcquireRetry)
    def _acquire_retry(self, message: AcquireRetry) -> None:
        message.reply.send(self._routes.acquire_retry(message.cause))

    @_handle.register(LinkUp)
    def _link_up(self, message: LinkUp) -> None:
        linked = self._linked.get(message.upstream)
        if linked is not None:
            linked.incarnation = message.incarnation
            self._apply_evidence(SessionUp(message.upstream, message.incarnation))
            self._retry_waiting_picks()

    @_handle.register(LinkDown)
    def _link_down(self, message: LinkDown) -> None:
        linked = self._linked.get(message.upstream)
        if linked is not None:
            linked.incarnation = None
            linked.load = None
            self._apply_evidence(SessionDown(message.upstream))

    @_handle.register(LoadReceived)
    def _load_received(self, message: LoadReceived) -> None:
        load = message.load
        linked = self._linked.get(load.upstream)
        if linked is not None and linked.incarnation is not None:
            linked.load = load
            self._routes.table.report(load, self._clock.now())
            self._apply_evidence(
                Heartbeat(load.upstream, load.incarnation, load.draining)
            )

    @_handle.register(VmListRead)
    def _vm_list_read(self, message: VmListRead) -> None:
        ids = {
            parse_address(linked.upstream.agent_address): upstream_id
            for upstream_id, linked in self._linked.items()
        }
        live, leaving = (
            frozenset(ids[address] for address in addresses if address in ids)
            for addresses in (message.live, message.leaving)
        )
        self._apply_evidence(VmReport(live, leaving))

    @_handle.register(PauseCheckDue)
    def _pause_check_due(self, message: PauseCheckDue) -> None:
        paused_s = self._pause_detector.tick()
        if paused_s:
            _logger.warning(
                "this process was paused; not counting the pause as upstream silence",
                extra={"event": "own_pause", "paused_s": round(paused_s, 3)},
            )
            self._apply_evidence(ProcessPaused(paused_s))
        else:
            # The state of a silent upstream changes with time, without new evidence.
            self._update_routing_states()

    def _apply_evidence(self, evidence: Evidence) -> None:
        self._members.apply(evidence)
        self._update_routing_states()

    def _update_routing_states(self) -> None:
        any_became_live = False
        for upstream in self._linked:
            state = self._members.routing_state(upstream)
            view = self._routes.table.view(upstream)
            if view is not None and view.state is not state:
                any_became_live |= state is UpstreamState.LIVE
                self._routes.table.set_state(upstream, state)
        if any_became_live:
            self._retry_waiting_picks()

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(_PAUSE_CHECK_INTERVAL_S)
            self.mailbox.offer(PauseCheckDue())

    @_handle.register(DumpRouter)
    def _dump(self, message: DumpRouter) -> None:
        message.reply.send(
            tuple(self._view(linked) for linked in self._linked.values())
        )

    def _add_link(self, upstream: Upstream) -> None:
        link = AgentLink(
            upstream.id,
            parse_address(upstream.agent_address),
            self._hello,
            self.mailbox,
            self._clock,
            self._random,
            self._dialer,
            self._meter,
        )
        task = asyncio.get_running_loop().create_task(
            link.run(), name=f"agent-link-{upstream.id}"
        )
        self._linked[upstream.id] = _LinkedUpstream(upstream, link, task)

    def _view(self, linked: _LinkedUpstream) -> UpstreamView:
        load = linked.load
        route_view = self._routes.table.view(linked.upstream.id)
        return UpstreamView(
            upstream=linked.upstream.id,
            state=self._members.state(linked.upstream.id),
            in_flight=route_view.in_flight if route_view else 0,
            connected=linked.incarnation is not None,
            incarnation=linked.incarnation,
            queued=load.queued if load else 0,
            running=load.running if load else 0,
            latency_s=route_view.latency_s if route_view else 0.0,
        )
