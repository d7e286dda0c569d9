"""Task that changes the expert map of a group while its agent is the coordinator."""

from __future__ import annotations

import asyncio
import logging
from functools import singledispatchmethod
from math import ceil
from typing import TYPE_CHECKING, Any

from sardineyard.agent.group_balance import GroupBalancer
from sardineyard.agent.group_links import GroupLinks
from sardineyard.agent.group_messages import PeerOrderAccepted, ReadGroup
from sardineyard.configsync.messages import DocumentAdopted
from sardineyard.core.clock import NO_DEADLINE, deadline_after, remaining
from sardineyard.core.ids import StepNumber
from sardineyard.core.mailbox import Mailbox
from sardineyard.experts.coordinator import Coordinator, Phase
from sardineyard.experts.orders import OrderReply, Refusal
from sardineyard.telemetry.state import GroupView

if TYPE_CHECKING:
    from random import Random

    from sardineyard.core.clock import Clock
    from sardineyard.core.control import ControlMeter
    from sardineyard.core.ids import UpstreamId
    from sardineyard.document.model import Document, Group
    from sardineyard.experts.coordinator import Orders
    from sardineyard.experts.maps import Placement
    from sardineyard.experts.report import RankReport
    from sardineyard.wire.dialer import Dialer

_logger = logging.getLogger(__name__)

# An agent takes over after this many rebalance intervals without an order from an agent
# listed before it in the group, times its index in the list, so that normally only one
# takes over.
_TAKEOVER_INTERVALS = 3
# Range of the random delay after an attempt that was refused or got no reply. Random,
# so that two coordinators do not interrupt each other repeatedly.
_RETRY_DELAY_S = (0.05, 0.4)
# Time between the order to prepare a map and the step at which it comes into use. It is
# doubled when a rank had already passed the step before it was prepared.
_LEAD_TIME_S = 0.2
_MAX_LEAD_TIME_S = 5.0
_MIN_LEAD_STEPS = 2


class GroupCoordinator:
    """Poll the ranks and change their map, unless an agent listed earlier does so."""

    def __init__(
        self,
        upstream: UpstreamId,
        clock: Clock,
        rng: Random,
        dialer: Dialer,
        meter: ControlMeter,
    ) -> None:
        self.mailbox: Mailbox[Any] = Mailbox()
        self._upstream = upstream
        self._clock = clock
        self._rng = rng
        self._links = GroupLinks(upstream, dialer, meter)
        self._group: Group | None = None
        self._attempt_due = NO_DEADLINE
        self._takeover_at = NO_DEADLINE
        self._reports: dict[UpstreamId, RankReport] = {}
        self._lead_time_s = _LEAD_TIME_S
        self._rate_measured_at = 0.0
        self._rate_measured_step = 0
        self._steps_per_s = 0.0

    def set_participant(self, participant: Mailbox[Any]) -> None:
        """Set the mailbox of the local participant."""
        self._links.local_participant = participant

    def close(self) -> None:
        """Close the connections to the other agents."""
        self._links.close()

    async def run(self) -> None:
        """Handle messages and start an attempt to rebalance whenever one is due."""
        while True:
            try:
                async with asyncio.timeout(self._wait_s()):
                    message = await self.mailbox.receive()
            except TimeoutError:
                await self._attempt()
            else:
                self._handle(message)

    @singledispatchmethod
    def _handle(self, message: object) -> None:
        raise TypeError(f"unexpected message {type(message).__name__}")

    @_handle.register(DocumentAdopted)
    def _document_adopted(self, message: DocumentAdopted) -> None:
        document = message.document
        group = next(
            (g for g in document.groups if self._upstream in g.upstreams), None
        )
        if group != self._group:
            self._set_group(group)
        if group is not None:
            self._links.update(group, _addresses(document))

    @_handle.register(PeerOrderAccepted)
    def _peer_order_accepted(self, message: PeerOrderAccepted) -> None:
        group = self._group
        if group is None or message.sender not in group.upstreams:
            return
        if group.upstreams.index(message.sender) < self._position(group):
            self._postpone_takeover(group)

    @_handle.register(ReadGroup)
    def _read_group(self, message: ReadGroup) -> None:
        message.reply.send(self._view())

    def _set_group(self, group: Group | None) -> None:
        self._group = group
        self._attempt_due = NO_DEADLINE
        if group is not None:
            self._coordinator = Coordinator(group.upstreams, self._rng)
            self._balancer = GroupBalancer(group, self._clock)
            self._postpone_takeover(group)
            self._attempt_due = deadline_after(self._clock, 0.0)

    def _position(self, group: Group) -> int:
        return group.upstreams.index(self._upstream)

    def _postpone_takeover(self, group: Group) -> None:
        timeout_s = _TAKEOVER_INTERVALS * group.rebalance_interval_s
        wait_s = self._position(group) * timeout_s
        self._takeover_at = deadline_after(self._clock, wait_s)

    def _wait_s(self) -> float | None:
        due = max(self._attempt_due, self._takeover_at)
        return None if due == NO_DEADLINE else remaining(self._clock, due)

    async def _attempt(self) -> None:
        group = self._group
        if group is None:
            return
        await self._exchange(group, self._coordinator.begin())
        if self._coordinator.phase is Phase.READY:
            self._measure_step_rate()
            self._balancer.observe(self._reports)
            await self._propose(group)
        done = self._coordinator.phase in (Phase.READY, Phase.COMMITTED)
        if not done:
            self._log_unfinished(group)
        wait_s = (
            group.rebalance_interval_s if done else self._rng.uniform(*_RETRY_DELAY_S)
        )
        self._attempt_due = deadline_after(self._clock, wait_s)

    async def _propose(self, group: Group) -> None:
        states = self._coordinator.states.values()
        if any(state.decided is not None for state in states):
            # The previous change has not reached its step yet.
            return
        decision = self._balancer.decide(self._newest_placement())
        is_map_missing = any(state.in_use is None for state in states)
        placement = decision.placement if decision is not None else None
        if placement is None and is_map_missing:
            # Ranks that lost their map recover it by a change that moves no expert.
            placement = self._newest_placement()
        if placement is None:
            return
        await self._exchange(
            group, self._coordinator.propose(placement, self._next_step())
        )
        if self._coordinator.phase is Phase.COMMITTED and decision is not None:
            if decision.placement is not None:
                self._balancer.record_commit(decision)
            self._lead_time_s = _LEAD_TIME_S
        elif self._coordinator.refusal is Refusal.STEP_PASSED:
            self._lead_time_s = min(_MAX_LEAD_TIME_S, 2 * self._lead_time_s)

    async def _exchange(self, group: Group, orders: Orders) -> None:
        """Send orders and process their replies until no further orders result."""
        while orders:
            replies = await self._links.send_all(group, orders)
            next_orders: Orders = {}
            for member, reply in replies.items():
                if reply.report is not None:
                    self._reports[member] = reply.report
                state = reply.report.state if reply.report is not None else None
                order_reply = OrderReply(orders[member], reply.refusal, state)
                next_orders |= self._coordinator.receive(member, order_reply)
            orders = next_orders

    def _newest_placement(self) -> Placement | None:
        maps = [s.in_use for s in self._coordinator.states.values() if s.in_use]
        newest = max(maps, key=lambda known: known.version, default=None)
        self._links.known_map = newest
        return newest.ranks if newest is not None else None

    def _next_step(self) -> StepNumber:
        states = self._coordinator.states.values()
        step = max(state.step for state in states)
        if all(state.in_use is None for state in states):
            # While no rank has a map, the group is stopped at this step.
            return step
        lead = ceil(self._steps_per_s * self._lead_time_s)
        return StepNumber(step + max(_MIN_LEAD_STEPS, lead))

    def _measure_step_rate(self) -> None:
        now = self._clock.now()
        step = max(state.step for state in self._coordinator.states.values())
        if now > self._rate_measured_at:
            self._steps_per_s = max(0, step - self._rate_measured_step) / (
                now - self._rate_measured_at
            )
        self._rate_measured_at, self._rate_measured_step = now, step

    def _log_unfinished(self, group: Group) -> None:
        refusal = self._coordinator.refusal
        _logger.info(
            "attempt to change the expert map did not finish",
            extra={
                "event": "group_attempt_unfinished",
                "group": group.id,
                "phase": self._coordinator.phase.value,
                "refusal": refusal.value if refusal is not None else None,
            },
        )

    def _view(self) -> GroupView | None:
        if self._group is None:
            return None
        local_report = self._reports.get(self._upstream)
        state = local_report.state if local_report is not None else None
        prepared = state.prepared if state is not None else None
        in_use = state.in_use if state is not None else None
        return GroupView(
            group=self._group.id,
            promised=state.promised if state is not None else 0,
            prepared=prepared.number if prepared is not None else 0,
            committed=in_use.version if in_use is not None else 0,
            map_version=in_use.version if in_use is not None else 0,
            stragglers=self._balancer.stragglers,
            stalled=self._balancer.stalled,
            problem=self._balancer.problem,
            coordinating=self._takeover_at <= self._clock.now(),
        )


def _addresses(document: Document) -> dict[UpstreamId, str]:
    return {upstream.id: upstream.agent_address for upstream in document.upstreams}
