"""Task that owns the table of upstreams and chooses one for each attempt."""

from __future__ import annotations

import asyncio
import logging
from dataclasses import dataclass
from functools import singledispatchmethod
from typing import TYPE_CHECKING, Any

from returns.result import Failure, Success

from sardineyard.configsync.messages import (
    CrashesCounted,
    CrashesHeard,
    DocumentAdopted,
    VmListRead,
)
from sardineyard.core.address import parse_address
from sardineyard.core.errors import ErrorKind
from sardineyard.core.mailbox import Mailbox
from sardineyard.core.states import UpstreamState
from sardineyard.entry.agent_link import AgentLink
from sardineyard.entry.messages import (
    AskRetry,
    AttemptEnded,
    DumpRouter,
    LinkDown,
    LinkUp,
    LoadReceived,
    PauseCheckDue,
    Pick,
    PickUpstream,
)
from sardineyard.entry.route_state import RouteState
from sardineyard.membership.evidence import (
    Heartbeat,
    OwnPause,
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


_logger = logging.getLogger(__name__)

_PAUSE_CHECK_INTERVAL_S = 0.25


@dataclass(slots=True)
class _Known:
    """Hold the link to one agent."""

    upstream: Upstream
    link: AgentLink
    task: asyncio.Task[None]
    incarnation: Incarnation | None = None
    load: LoadReport | None = None


class Router:
    """Own what is known about the upstreams and the links to their agents."""

    def __init__(
        self,
        hello: Hello,
        clock: Clock,
        random: Random,
        meter: ControlMeter,
        policy: RoutingPolicy,
    ) -> None:
        self.mailbox: Mailbox[Any] = Mailbox()
        self._hello = hello
        self._clock = clock
        self._random = random
        self._meter = meter
        self._known: dict[UpstreamId, _Known] = {}
        self._routes = RouteState(hello.process, policy, clock, random)
        self._peers: Mailbox[Any] | None = None
        self._members = MembershipTable(clock)
        self._pauses = PauseDetector(clock, _PAUSE_CHECK_INTERVAL_S)
        self._parked: list[PickUpstream] = []

    def share_crashes(self, peers: Mailbox[Any]) -> None:
        """Tell peers about crashes through a mailbox."""
        self._peers = peers

    async def run(self) -> None:
        """Handle messages for ever."""
        ticker = asyncio.get_running_loop().create_task(self._tick())
        try:
            while True:
                self._handle(await self.mailbox.receive())
        finally:
            ticker.cancel()
            for known in self._known.values():
                known.task.cancel()

    @singledispatchmethod
    def _handle(self, message: object) -> None:
        raise TypeError(f"unexpected message {type(message).__name__}")

    @_handle.register(DocumentAdopted)
    def _document_adopted(self, message: DocumentAdopted) -> None:
        upstreams = self._routes.adopt(message.document)
        wanted = {upstream.id: upstream for upstream in upstreams}
        for upstream_id, known in list(self._known.items()):
            replacement = wanted.get(upstream_id)
            if (
                replacement is None
                or replacement.agent_address != known.upstream.agent_address
            ):
                known.task.cancel()
                del self._known[upstream_id]
                self._members.forget(upstream_id)
            else:
                known.upstream = replacement
        self._members.configure(wanted)
        for upstream in wanted.values():
            if upstream.id not in self._known:
                self._add(upstream)
        self._follow_members()
        self._pick_for_parked()

    @_handle.register(PickUpstream)
    def _pick_upstream(self, message: PickUpstream) -> None:
        match self._routes.pick(message.request, message.excluded):
            case Success(upstream):
                message.reply.send(Success(self._to_pick(upstream)))
            case Failure(error) if error.kind is ErrorKind.OWNER_UNAVAILABLE:
                # Only the owner may run the call, so it waits for the owner's return.
                self._parked = [each for each in self._parked if not each.reply.done]
                self._parked.append(message)
            case Failure(error):
                message.reply.send(Failure(error))

    def _pick_for_parked(self) -> None:
        parked, self._parked = self._parked, []
        for message in parked:
            if not message.reply.done:
                self._pick_upstream(message)

    def _to_pick(self, upstream: UpstreamId) -> Pick:
        # The last known set may hold upstreams whose session is lost for now.
        incarnation = self._members.incarnation(upstream)
        assert incarnation is not None
        return Pick(upstream, incarnation, self._known[upstream].link.mailbox)

    @_handle.register(AttemptEnded)
    def _attempt_ended(self, message: AttemptEnded) -> None:
        self._routes.ended(message)
        if message.error is not None and message.error.kind is ErrorKind.UPSTREAM_LOST:
            counts = tuple(self._routes.quarantine.records())
            if self._peers is not None:
                self._peers.offer(CrashesCounted(counts))

    @_handle.register(CrashesHeard)
    def _crashes_heard(self, message: CrashesHeard) -> None:
        self._routes.quarantine.merge(message.counts)

    @_handle.register(AskRetry)
    def _ask_retry(self, message: AskRetry) -> None:
        message.reply.send(self._routes.may_retry(message.cause))

    @_handle.register(LinkUp)
    def _link_up(self, message: LinkUp) -> None:
        known = self._known.get(message.upstream)
        if known is not None:
            known.incarnation = message.incarnation
            self._learn(SessionUp(message.upstream, message.incarnation))
            self._pick_for_parked()

    @_handle.register(LinkDown)
    def _link_down(self, message: LinkDown) -> None:
        known = self._known.get(message.upstream)
        if known is not None:
            known.incarnation = None
            known.load = None
            self._learn(SessionDown(message.upstream))

    @_handle.register(LoadReceived)
    def _load_received(self, message: LoadReceived) -> None:
        load = message.load
        known = self._known.get(load.upstream)
        if known is not None and known.incarnation is not None:
            known.load = load
            self._routes.table.report(load, self._clock.now())
            self._learn(Heartbeat(load.upstream, load.incarnation, load.draining))

    @_handle.register(VmListRead)
    def _vm_list_read(self, message: VmListRead) -> None:
        ids = {
            parse_address(known.upstream.agent_address): upstream_id
            for upstream_id, known in self._known.items()
        }
        live, leaving = (
            frozenset(ids[address] for address in addresses if address in ids)
            for addresses in (message.live, message.leaving)
        )
        self._learn(VmReport(live, leaving))

    @_handle.register(PauseCheckDue)
    def _pause_check_due(self, message: PauseCheckDue) -> None:
        paused_s = self._pauses.tick()
        if paused_s:
            _logger.warning(
                "this process was paused, its view of the upstreams is checked again",
                extra={"event": "own_pause", "paused_s": round(paused_s, 3)},
            )
            self._learn(OwnPause(paused_s))
        else:
            # States also change with time, when an upstream stays silent.
            self._follow_members()

    def _learn(self, evidence: Evidence) -> None:
        self._members.learn(evidence)
        self._follow_members()

    def _follow_members(self) -> None:
        returned = False
        for upstream in self._known:
            state = self._members.routing_state(upstream)
            view = self._routes.table.view(upstream)
            if view is not None and view.state is not state:
                returned |= state is UpstreamState.LIVE
                self._routes.table.set_state(upstream, state)
        if returned:
            self._pick_for_parked()

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(_PAUSE_CHECK_INTERVAL_S)
            self.mailbox.offer(PauseCheckDue())

    @_handle.register(DumpRouter)
    def _dump(self, message: DumpRouter) -> None:
        message.reply.send(tuple(self._view(known) for known in self._known.values()))

    def _add(self, upstream: Upstream) -> None:
        link = AgentLink(
            upstream.id,
            parse_address(upstream.agent_address),
            self._hello,
            self.mailbox,
            self._clock,
            self._random,
            self._meter,
        )
        task = asyncio.get_running_loop().create_task(
            link.run(), name=f"agent-link-{upstream.id}"
        )
        self._known[upstream.id] = _Known(upstream, link, task)

    def _view(self, known: _Known) -> UpstreamView:
        load = known.load
        routed = self._routes.table.view(known.upstream.id)
        return UpstreamView(
            upstream=known.upstream.id,
            state=self._members.state(known.upstream.id),
            in_flight=routed.in_flight if routed else 0,
            connected=known.incarnation is not None,
            incarnation=known.incarnation,
            queued=load.queued if load else 0,
            running=load.running if load else 0,
            latency_s=routed.latency_s if routed else 0.0,
        )
