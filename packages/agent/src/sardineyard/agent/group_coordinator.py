"""Task that changes the expert map of a group when its agent is the coordinator."""

from __future__ import annotations

import asyncio
import logging
from functools import singledispatchmethod
from math import ceil
from typing import TYPE_CHECKING, Any

from sardineyard.agent.group_balance import GroupBalance
from sardineyard.agent.group_links import GroupLinks
from sardineyard.agent.group_messages import OrderSeen, ReadGroup
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

_logger = logging.getLogger(__name__)

# Readings that an agent misses before it takes over; each later agent of the group
# waits this many intervals longer, so that normally only one takes over.
_MISSED_READINGS = 3
# Seconds after an attempt that was refused or not answered, drawn at random, so that
# two coordinators do not stop each other again and again.
_RETRY_S = (0.05, 0.4)
# Time between the order to prepare and the step at which the map changes. It doubles
# when a rank had passed the step before it was prepared.
_LEAD_S = 0.2
_LONGEST_LEAD_S = 5.0
_LEAST_LEAD_STEPS = 2


class GroupCoordinator:
    """Read the group regularly and change its map while no earlier agent does."""

    def __init__(
        self,
        upstream: UpstreamId,
        clock: Clock,
        rng: Random,
        meter: ControlMeter,
    ) -> None:
        self.mailbox: Mailbox[Any] = Mailbox()
        self._upstream = upstream
        self._clock = clock
        self._rng = rng
        self._links = GroupLinks(upstream, meter)
        self._group: Group | None = None
        self._due = NO_DEADLINE
        self._leads_at = NO_DEADLINE
        self._reports: dict[UpstreamId, RankReport] = {}
        self._lead_s = _LEAD_S
        self._read_at = 0.0
        self._read_step = 0
        self._steps_per_s = 0.0

    def connect(self, participant: Mailbox[Any]) -> None:
        """Set the mailbox of this agent's own participant."""
        self._links.own = participant

    def close(self) -> None:
        """Close the connections to the other agents."""
        self._links.close()

    async def run(self) -> None:
        """Handle messages and begin attempts when they are due."""
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

    @_handle.register(OrderSeen)
    def _order_seen(self, message: OrderSeen) -> None:
        group = self._group
        if group is None or message.asker not in group.upstreams:
            return
        if group.upstreams.index(message.asker) < self._position(group):
            self._wait_for_turn(group)

    @_handle.register(ReadGroup)
    def _read_group(self, message: ReadGroup) -> None:
        message.reply.send(self._view())

    def _set_group(self, group: Group | None) -> None:
        self._group = group
        self._due = NO_DEADLINE
        if group is not None:
            self._coordinator = Coordinator(group.upstreams, self._rng)
            self._balance = GroupBalance(group, self._clock)
            self._wait_for_turn(group)
            self._due = deadline_after(self._clock, 0.0)

    def _position(self, group: Group) -> int:
        return group.upstreams.index(self._upstream)

    def _wait_for_turn(self, group: Group) -> None:
        silence_s = _MISSED_READINGS * group.rebalance_interval_s
        wait_s = self._position(group) * silence_s
        self._leads_at = deadline_after(self._clock, wait_s)

    def _wait_s(self) -> float | None:
        due = max(self._due, self._leads_at)
        return None if due == NO_DEADLINE else remaining(self._clock, due)

    async def _attempt(self) -> None:
        group = self._group
        if group is None:
            return
        await self._exchange(group, self._coordinator.begin())
        if self._coordinator.phase is Phase.READY:
            self._measure_rate()
            self._balance.observe(self._reports)
            await self._propose(group)
        done = self._coordinator.phase in (Phase.READY, Phase.COMMITTED)
        if not done:
            self._log_unfinished(group)
        wait_s = group.rebalance_interval_s if done else self._rng.uniform(*_RETRY_S)
        self._due = deadline_after(self._clock, wait_s)

    async def _propose(self, group: Group) -> None:
        states = self._coordinator.states.values()
        if any(state.decided is not None for state in states):
            # The last change waits for its step.
            return
        decision = self._balance.decide(self._current())
        restored = any(state.in_use is None for state in states)
        placement = decision.placement if decision is not None else None
        if placement is None and restored:
            # Ranks that lost their map get it with a change that moves nothing.
            placement = self._current()
        if placement is None:
            return
        await self._exchange(
            group, self._coordinator.propose(placement, self._next_step())
        )
        if self._coordinator.phase is Phase.COMMITTED and decision is not None:
            if decision.placement is not None:
                self._balance.committed(decision)
            self._lead_s = _LEAD_S
        elif self._coordinator.refusal is Refusal.STEP_PASSED:
            self._lead_s = min(_LONGEST_LEAD_S, 2 * self._lead_s)

    async def _exchange(self, group: Group, orders: Orders) -> None:
        """Send orders until the coordinator has none left."""
        while orders:
            answers = await self._links.send_all(group, orders)
            following: Orders = {}
            for member, answer in answers.items():
                if answer.report is not None:
                    self._reports[member] = answer.report
                state = answer.report.state if answer.report is not None else None
                reply = OrderReply(orders[member], answer.refusal, state)
                following |= self._coordinator.receive(member, reply)
            orders = following

    def _current(self) -> Placement | None:
        maps = [s.in_use for s in self._coordinator.states.values() if s.in_use]
        newest = max(maps, key=lambda known: known.version, default=None)
        self._links.known_map = newest
        return newest.ranks if newest is not None else None

    def _next_step(self) -> StepNumber:
        states = self._coordinator.states.values()
        step = max(state.step for state in states)
        if all(state.in_use is None for state in states):
            # Without any map the group stands at this step.
            return step
        lead = ceil(self._steps_per_s * self._lead_s)
        return StepNumber(step + max(_LEAST_LEAD_STEPS, lead))

    def _measure_rate(self) -> None:
        now = self._clock.now()
        step = max(state.step for state in self._coordinator.states.values())
        if now > self._read_at:
            self._steps_per_s = max(0, step - self._read_step) / (now - self._read_at)
        self._read_at, self._read_step = now, step

    def _log_unfinished(self, group: Group) -> None:
        refusal = self._coordinator.refusal
        _logger.info(
            "change of the expert map is unfinished",
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
        own = self._reports.get(self._upstream)
        state = own.state if own is not None else None
        prepared = state.prepared if state is not None else None
        in_use = state.in_use if state is not None else None
        return GroupView(
            group=self._group.id,
            promised=state.promised if state is not None else 0,
            prepared=prepared.number if prepared is not None else 0,
            committed=in_use.version if in_use is not None else 0,
            map_version=in_use.version if in_use is not None else 0,
            stragglers=self._balance.stragglers,
            stalled=self._balance.stalled,
            problem=self._balance.problem,
            coordinating=self._leads_at <= self._clock.now(),
        )


def _addresses(document: Document) -> dict[UpstreamId, str]:
    return {upstream.id: upstream.agent_address for upstream in document.upstreams}
