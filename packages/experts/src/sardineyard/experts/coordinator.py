"""Coordinator of the commit protocol for expert maps."""

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

# Fencing numbers per round. The low bits within a round are random, so that two
# coordinators that start together rarely choose the same number. If they do, each
# member accepts it from only one of them.
_ROUND_SIZE = 1 << 20

Orders = dict["UpstreamId", Order]


@unique
class Phase(Enum):
    """Phase of an attempt to change the map."""

    IDLE = "idle"
    READING = "reading"
    ABORTING = "aborting"
    # All members were read and no change is pending.
    READY = "ready"
    PREPARING = "preparing"
    COMMITTING = "committing"
    # All members have accepted the change.
    COMMITTED = "committed"


class Coordinator:
    """Changes the map of one group, or completes a change of another coordinator.

    Each method returns orders to send; their replies are passed to `receive`. Any
    refusal ends the attempt: a new attempt needs a greater number and starts by reading
    all members.
    """

    def __init__(self, members: Sequence[UpstreamId], rng: Random) -> None:
        self._members = tuple(members)
        self._rng = rng
        self._phase = Phase.IDLE
        self._number = FencingNumber(0)
        self._highest_seen = 0
        self._waiting: Orders = {}
        self._states: dict[UpstreamId, RunnerState] = {}
        self._change: Change | None = None
        self._refusal: Refusal | None = None

    @property
    def phase(self) -> Phase:
        """Return the phase of the current attempt."""
        return self._phase

    @property
    def number(self) -> FencingNumber:
        """Return the fencing number of the current attempt."""
        return self._number

    @property
    def states(self) -> Mapping[UpstreamId, RunnerState]:
        """Return the last reported state of each member."""
        return self._states

    @property
    def refusal(self) -> Refusal | None:
        """Return the refusal that ended the last attempt, if any."""
        return self._refusal

    def begin(self) -> Orders:
        """Start a new attempt, with a greater number, by reading all members."""
        self._highest_seen = max(self._highest_seen, self._number)
        round_number = self._highest_seen // _ROUND_SIZE + 1
        self._number = FencingNumber(
            round_number * _ROUND_SIZE + self._rng.randrange(_ROUND_SIZE)
        )
        self._states = {}
        self._change = None
        self._refusal = None
        return self._send(
            Phase.READING, {member: Read(self._number) for member in self._members}
        )

    def propose(self, placement: Placement, step: StepNumber) -> Orders:
        """Prepare a new map on all members; allowed only in phase READY."""
        if self._phase is not Phase.READY:
            raise ValueError(
                f"cannot propose a map in phase {self._phase.value}; must be ready"
            )
        return self._prepare(ExpertMap(MapVersion(self._number), placement), step)

    def receive(self, member: UpstreamId, reply: OrderReply) -> Orders:
        """Process one reply; replies to earlier orders are ignored."""
        if reply.state is not None:
            self._highest_seen = max(self._highest_seen, reply.state.promised)
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
            return self._resolve_states()
        if self._phase is Phase.PREPARING:
            return self._commit()
        next_phase = Phase.READY if self._phase is Phase.ABORTING else Phase.COMMITTED
        return self._send(next_phase, {})

    def _resolve_states(self) -> Orders:
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

    def _prepare(self, new_map: ExpertMap, step: StepNumber) -> Orders:
        # The group makes no step while some ranks have no map, so the map in use on the
        # others cannot change before the prepared one takes effect.
        in_use = [s.in_use for s in self._states.values() if s.in_use is not None]
        base = max(in_use, key=lambda expert_map: expert_map.version, default=None)
        return self._send(
            Phase.PREPARING,
            {
                member: Prepare(
                    self._number,
                    state.incarnation,
                    new_map,
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
                raise ValueError(
                    f"{member} accepted a change but its state contains none"
                )
            orders[member] = Commit(self._number, state.incarnation, change.map.version)
        return self._send(Phase.COMMITTING, orders)
