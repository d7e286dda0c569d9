"""The coordinator of a change of the expert map."""

from __future__ import annotations

from enum import Enum, unique
from typing import TYPE_CHECKING

from sardineyard.core.ids import FencingNumber
from sardineyard.experts.maps import ExpertMap, MapVersion
from sardineyard.experts.orders import Abort, Commit, Order, Prepare, Read
from sardineyard.experts.recovery import Resolution, resolve

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence
    from random import Random

    from sardineyard.core.ids import StepNumber, UpstreamId
    from sardineyard.experts.maps import Placement
    from sardineyard.experts.orders import Change, OrderReply, Refusal, RunnerState

# Numbers of one round differ in their low bits, which are random, so that two
# coordinators that start together rarely pick the same one. When they do, the
# members accept it from only one of them.
_ROUND = 1 << 20

Orders = dict["UpstreamId", Order]


@unique
class Phase(Enum):
    """Say what a coordinator is waiting for."""

    IDLE = "idle"
    READING = "reading"
    ABORTING = "aborting"
    # Every member was read and no change is pending.
    READY = "ready"
    PREPARING = "preparing"
    COMMITTING = "committing"
    # The last change was accepted by every member.
    COMMITTED = "committed"


class Coordinator:
    """Change the map of one group, or finish a change that another one began.

    Each method returns orders to send; their replies come back through `receive`.
    Every refusal ends the attempt: only a new one with a greater number, which
    begins by reading all members, may go on.
    """

    def __init__(self, members: Sequence[UpstreamId], rng: Random) -> None:
        self._members = tuple(members)
        self._rng = rng
        self._phase = Phase.IDLE
        self._number = FencingNumber(0)
        self._highest = 0
        self._waiting: Orders = {}
        self._states: dict[UpstreamId, RunnerState] = {}
        self._change: Change | None = None
        self._refusal: Refusal | None = None

    @property
    def phase(self) -> Phase:
        """Return what this coordinator is waiting for."""
        return self._phase

    @property
    def number(self) -> FencingNumber:
        """Return the number of the current attempt."""
        return self._number

    @property
    def states(self) -> Mapping[UpstreamId, RunnerState]:
        """Return the state of each member as last reported."""
        return self._states

    @property
    def refusal(self) -> Refusal | None:
        """Return why the last attempt ended, if it was refused."""
        return self._refusal

    def begin(self) -> Orders:
        """Start an attempt with a greater number by reading every member."""
        self._highest = max(self._highest, self._number)
        round_number = self._highest // _ROUND + 1
        self._number = FencingNumber(
            round_number * _ROUND + self._rng.randrange(_ROUND)
        )
        self._states = {}
        self._change = None
        self._refusal = None
        return self._send(
            Phase.READING, {member: Read(self._number) for member in self._members}
        )

    def propose(self, placement: Placement, step: StepNumber) -> Orders:
        """Prepare a new map on every member; only in phase READY."""
        if self._phase is not Phase.READY:
            raise ValueError(f"no proposal is possible in phase {self._phase.value}")
        return self._prepare(ExpertMap(MapVersion(self._number), placement), step)

    def receive(self, member: UpstreamId, reply: OrderReply) -> Orders:
        """Take one reply; replies to earlier orders are ignored."""
        if reply.state is not None:
            self._highest = max(self._highest, reply.state.promised)
        if self._waiting.get(member) != reply.order:
            return {}
        if reply.refusal is not None or reply.state is None:
            self._refusal = reply.refusal
            self._phase, self._waiting = Phase.IDLE, {}
            return {}
        del self._waiting[member]
        self._states[member] = reply.state
        return {} if self._waiting else self._advance()

    def _send(self, phase: Phase, orders: Orders) -> Orders:
        self._phase = phase
        self._waiting = dict(orders)
        return orders

    def _advance(self) -> Orders:
        if self._phase is Phase.READING:
            return self._read_all()
        if self._phase is Phase.PREPARING:
            return self._commit()
        done = Phase.READY if self._phase is Phase.ABORTING else Phase.COMMITTED
        return self._send(done, {})

    def _read_all(self) -> Orders:
        resolution, change = resolve(list(self._states.values()))
        if resolution is Resolution.COMMIT and change is not None:
            return self._prepare(change.map, change.step)
        if resolution is Resolution.ABORT:
            return self._abort()
        return self._send(Phase.READY, {})

    def _abort(self) -> Orders:
        return self._send(
            Phase.ABORTING,
            {
                member: Abort(self._number, state.incarnation, state.prepared.number)
                for member, state in self._states.items()
                if state.prepared is not None
            },
        )

    def _prepare(self, new: ExpertMap, step: StepNumber) -> Orders:
        # Ranks without a map stop the group, so the map that the others use cannot
        # change before the one that is prepared here.
        in_use = [s.in_use for s in self._states.values() if s.in_use is not None]
        base = max(in_use, key=lambda known: known.version, default=None)
        return self._send(
            Phase.PREPARING,
            {
                member: Prepare(
                    self._number,
                    state.incarnation,
                    new,
                    step,
                    base if state.in_use is None else None,
                )
                for member, state in self._states.items()
            },
        )

    def _commit(self) -> Orders:
        orders: Orders = {}
        for member, state in self._states.items():
            change = state.prepared or state.decided
            if change is None:
                raise ValueError(f"{member} accepted a change and does not report it")
            orders[member] = Commit(self._number, state.incarnation, change.map.version)
        return self._send(Phase.COMMITTING, orders)
