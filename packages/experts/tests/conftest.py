"""Fixtures of the expert map tests: simulation of random message interleavings."""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random
from typing import TYPE_CHECKING, Any

import pytest

from sardineyard.core.clock import ManualClock
from sardineyard.core.ids import (
    ExpertIndex,
    FencingNumber,
    Incarnation,
    StepNumber,
    UpstreamId,
)
from sardineyard.experts import ranks
from sardineyard.experts.coordinator import Coordinator, Phase
from sardineyard.experts.orders import RunnerState
from sardineyard.experts.participant import Participant

if TYPE_CHECKING:
    from collections.abc import Callable

    from sardineyard.experts.orders import OrderReply

MEMBERS = tuple(UpstreamId(f"runner-{index}") for index in range(3))


class UnsafeError(AssertionError):
    """A step used two maps, or a map version or fencing number decreased."""


@dataclass
class Agent:
    """Memory of one agent process, which is lost in a crash."""

    incarnation: int
    coordinator: Coordinator
    participant: Participant = field(default_factory=Participant)
    # Number of the latest call to the ranks, the order in progress and its sender.
    in_progress: tuple[Any, ...] | None = None
    calls: int = 0


class World:
    """Simulation of agents, coordinators and ranks in an order drawn from a seed.

    Agents exchange `order` and `reply`. An agent queries its ranks with `ask`, sends
    them the order with `do`, and gets `told` as the reply to both. Late messages stand
    for a paused process. Runners that ignore fencing numbers (`ignores_numbers`) get
    orders in sequence and none from a crashed agent: see docs/experts.md.
    """

    def __init__(self, seed: int, *, ignores_numbers: bool) -> None:
        self.rng = Random(seed)
        self.ignores_numbers = ignores_numbers
        self.checks_monotonic = True
        self.network: list[tuple[Any, ...]] = []
        # Orders of which a late duplicate may be delivered.
        self.sent: list[tuple[Any, ...]] = []
        self.started = 0
        self.step_maps: list[int] = []
        self.runners = {m: self._new_runner(StepNumber(0)) for m in MEMBERS}
        self.agents = {m: self._new_agent() for m in MEMBERS}

    def _new_runner(self, step: StepNumber) -> RunnerState:
        self.started += 1
        return RunnerState(Incarnation(self.started), FencingNumber(0), step)

    def _new_agent(self) -> Agent:
        self.started += 1
        return Agent(self.started, Coordinator(MEMBERS, self.rng))

    def act(self) -> None:
        """Perform one random action."""
        member = self.rng.choice(MEMBERS)
        # Faults are more frequent during a change, when they can do harm.
        is_open = any(state.prepared for state in self.runners.values())
        roll = self.rng.random() * (1.0 if is_open else 5.0)
        if roll < 0.004:
            self.crash(member)
        elif roll < 0.010:
            self.restart_ranks(member)
        elif roll < 0.012:
            self.crash(member)
            self.restart_ranks(member)
        elif roll < (0.022 if self.network else 1.5):
            self.coordinate(member)
        elif self.sent and self.rng.random() < 0.05:
            self.network.append(self.rng.choice(self.sent[-20:]))
        elif self.network and self.rng.random() < 0.85:
            index = self.rng.randrange(len(self.network))
            self.deliver(index, lost=self.rng.random() < 0.01)
        else:
            self.step()

    def step(self) -> None:
        """Let all ranks begin the next step unless one waits at the step barrier."""
        if not all(ranks.may_begin(state) for state in self.runners.values()):
            return
        for member, state in self.runners.items():
            self.runners[member] = ranks.begin_step(state)
        maps = {state.in_use for state in self.runners.values()}
        if len(maps) > 1:
            raise UnsafeError(f"{len(maps)} maps in use in one step")
        version = next(iter(maps)).version
        if self.checks_monotonic and self.step_maps and version < self.step_maps[-1]:
            raise UnsafeError("an older map is in use again")
        self.step_maps.append(version)

    def coordinate(self, member: UpstreamId, steps_ahead: int | None = None) -> None:
        """Let a coordinator propose a map, or start a new attempt after a timeout."""
        coordinator = self.agents[member].coordinator
        if self._can_propose(coordinator):
            experts = [ExpertIndex(self.rng.randrange(4)) for _ in MEMBERS]
            step = max(state.step for state in coordinator.states.values())
            if any(s.in_use is not None for s in coordinator.states.values()):
                step += self.rng.randrange(6) if steps_ahead is None else steps_ahead
            placement = tuple((expert,) for expert in experts)
            self._send(member, coordinator.propose(placement, StepNumber(step)))
        else:
            self._send(member, coordinator.begin())

    def _can_propose(self, coordinator: Coordinator) -> bool:
        pending = any(s.decided is not None for s in coordinator.states.values())
        return coordinator.phase is Phase.READY and not pending

    def crash(self, member: UpstreamId) -> None:
        """Replace an agent by a restarted one that has lost its state."""
        if self.ignores_numbers:
            self.network = [
                m
                for m in self.network
                if m[:2] not in (("ask", member), ("do", member))
            ]
        self.agents[member] = self._new_agent()

    def restart_ranks(self, member: UpstreamId) -> None:
        """Restart the ranks of a runner, if another runner still has the map."""
        other_states = [s for m, s in self.runners.items() if m != member]
        if any(state.in_use is not None for state in other_states):
            self.runners[member] = self._new_runner(self.runners[member].step)

    def deliver(self, index: int, *, lost: bool = False) -> None:
        """Deliver one message from the network, or lose it."""
        kind, member, sender, *rest = self.network.pop(index)
        is_call = kind in ("ask", "do", "told")
        if not lost or (is_call and self.ignores_numbers):
            getattr(self, f"_on_{kind}")(member, sender, *rest)
        elif is_call:
            self._fail_call(member, sender, rest[0])

    def _send(self, member: UpstreamId, orders: dict[UpstreamId, Any]) -> None:
        sender = (member, self.agents[member].incarnation)
        messages = [("order", to, sender, order) for to, order in orders.items()]
        self.network += messages
        self.sent += messages

    def _on_order(self, member: UpstreamId, sender: Any, order: Any) -> None:
        agent = self.agents[member]
        if agent.in_progress is not None:
            self.network.append(("order", member, sender, order))
            return
        agent.calls += 1
        agent.in_progress = (agent.calls, order, sender)
        self.network.append(("ask", member, agent.incarnation, agent.calls))

    def _on_ask(self, member: UpstreamId, agent: int, call: int) -> None:
        result_message = (
            "told",
            member,
            agent,
            call,
            "asked",
            None,
            self.runners[member],
        )
        self.network.append(result_message)

    def _on_do(self, member: UpstreamId, agent: int, call: int, order: Any) -> None:
        state = self.runners[member]
        refusal = None
        if not self.ignores_numbers:
            refusal = ranks.number_refusal(order, state.promised)
        refusal = refusal or ranks.refusal_of(order, state)
        if refusal is None:
            after = ranks.follow(order, state)
            if self.checks_monotonic and after.promised < state.promised:
                raise UnsafeError("a promised number decreased")
            self.runners[member] = after
        result_message = (
            "told",
            member,
            agent,
            call,
            "done",
            refusal,
            self.runners[member],
        )
        self.network.append(result_message)

    def _on_told(
        self, member: UpstreamId, incarnation: int, call: int, stage: str, *rest: Any
    ) -> None:
        agent = self.agents[member]
        if (
            incarnation != agent.incarnation
            or not agent.in_progress
            or agent.in_progress[0] != call
        ):
            return
        refusal, state = rest
        _, order, _ = agent.in_progress
        if stage == "asked":
            refusal = agent.participant.check(order, state)
            if refusal is None:
                agent.calls += 1
                agent.in_progress = (agent.calls, *agent.in_progress[1:])
                self.network.append(("do", member, incarnation, agent.calls, order))
                return
        self._reply(member, agent.participant.answer(order, refusal, state))

    def _fail_call(self, member: UpstreamId, incarnation: int, call: int) -> None:
        agent = self.agents[member]
        if (
            incarnation == agent.incarnation
            and agent.in_progress
            and agent.in_progress[0] == call
        ):
            order = agent.in_progress[1]
            self._reply(member, agent.participant.answer(order, None, None))

    def _reply(self, member: UpstreamId, reply: OrderReply) -> None:
        agent = self.agents[member]
        sender = agent.in_progress[2]
        agent.in_progress = None
        self.network.append(("reply", sender[0], sender[1], member, reply))

    def _on_reply(self, to: UpstreamId, incarnation: int, *rest: Any) -> None:
        if self.agents[to].incarnation == incarnation:
            self._send(to, self.agents[to].coordinator.receive(*rest))

    def drain(self, held: Callable[[Any], bool] = lambda message: False) -> None:
        """Deliver all messages except orders that are held back."""
        while True:
            for index, message in enumerate(self.network):
                if message[0] != "order" or not held(message):
                    self.deliver(index)
                    break
            else:
                return

    def deliver_duplicate(
        self, order: type, to: UpstreamId, sender: UpstreamId
    ) -> None:
        """Deliver a late duplicate of a sender's last order of a type to one agent."""
        copies = [
            m for m in self.sent if (m[1], m[2][0], type(m[3])) == (to, sender, order)
        ]
        held, self.network = self.network, [copies[-1]]
        self.drain()
        self.network = held

    def check_progress(self) -> None:
        """Stop all faults; check that the first agent can put a new map in use."""
        leader = self.agents[MEMBERS[0]]
        before = len(set(self.step_maps))
        for _ in range(20):
            while self.network:
                self.deliver(self.rng.randrange(len(self.network)))
            for _ in range(0 if self._can_propose(leader.coordinator) else 6):
                self.step()
            if len(set(self.step_maps)) > before + 1:
                return
            self.coordinate(MEMBERS[0])
        raise AssertionError(
            f"no new map in use; last refusal: {leader.coordinator.refusal}"
        )


@pytest.fixture
def explore() -> Callable[..., int]:
    """Return a function that runs seeds and counts the maps that were in use."""

    def run(
        seeds: range, ignores_numbers: bool = False, maps_only: bool = False
    ) -> int:
        map_count = 0
        for seed in seeds:
            world = World(seed, ignores_numbers=ignores_numbers)
            world.checks_monotonic = not maps_only
            try:
                for _ in range(600):
                    world.act()
                if not maps_only:
                    world.check_progress()
            except AssertionError as error:
                error.add_note(
                    f"seed {seed}, runners ignore fencing numbers: {ignores_numbers}"
                )
                raise
            map_count += len(set(world.step_maps))
        return map_count

    return run


@pytest.fixture
def make_world() -> Callable[[bool], World]:
    """Return a function that creates a group whose first map is in use."""

    def make(ignores_numbers: bool) -> World:
        world = World(1, ignores_numbers=ignores_numbers)
        while not world.step_maps:
            world.coordinate(MEMBERS[0])
            world.drain()
            world.step()
        return world

    return make


@pytest.fixture
def unsafe() -> type[AssertionError]:
    """Return the error that the simulation raises for an unsafe step."""
    return UnsafeError


@pytest.fixture
def clock() -> ManualClock:
    """Return a clock that advances only on request."""
    return ManualClock()


@pytest.fixture
def rng() -> Random:
    """Return a seeded random number generator."""
    return Random(1)
