"""Fixtures of the expert map tests: an explorer of interleavings."""

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
    """Report a step with two maps or a fencing number that went back."""


@dataclass
class Agent:
    """Hold the memory of one agent process, which a crash empties."""

    incarnation: int
    coordinator: Coordinator
    participant: Participant = field(default_factory=Participant)
    # The order in work, its sender and the stage: asked, or sent to the ranks.
    work: tuple[Any, ...] | None = None
    calls: int = 0


class World:
    """Run agents, coordinators and ranks in an order drawn from a seed.

    A paused process is one whose messages are late. Runners that ignore fencing
    numbers get orders in sequence and none from a dead agent: see docs/experts.md.
    """

    def __init__(self, seed: int, *, ignoring: bool) -> None:
        self.rng = Random(seed)
        self.ignoring = ignoring
        self.checks_numbers = True
        self.network: list[tuple[Any, ...]] = []
        # Orders that a late copy may repeat.
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
        """Take one random action."""
        member = self.rng.choice(MEMBERS)
        # Most faults come while a change is open, when they can do harm.
        is_open = any(state.prepared for state in self.runners.values())
        draw = self.rng.random() * (1.0 if is_open else 5.0)
        if draw < 0.004:
            self.crash(member)
        elif draw < 0.010:
            self.restart_ranks(member)
        elif draw < 0.012:
            self.crash(member)
            self.restart_ranks(member)
        elif draw < (0.022 if self.network else 1.5):
            self.lead(member)
        elif self.sent and self.rng.random() < 0.05:
            self.network.append(self.rng.choice(self.sent[-20:]))
        elif self.network and self.rng.random() < 0.85:
            index = self.rng.randrange(len(self.network))
            self.deliver(index, lost=self.rng.random() < 0.01)
        else:
            self.step()

    def step(self) -> None:
        """Let all ranks begin the next step if none waits at the barrier."""
        if not all(ranks.may_begin(state) for state in self.runners.values()):
            return
        for member, state in self.runners.items():
            self.runners[member] = ranks.begin_step(state)
        maps = {state.in_use for state in self.runners.values()}
        if len(maps) > 1:
            raise UnsafeError(f"{len(maps)} maps in one step")
        version = next(iter(maps)).version
        if self.checks_numbers and self.step_maps and version < self.step_maps[-1]:
            raise UnsafeError("an older map came back into use")
        self.step_maps.append(version)

    def lead(self, member: UpstreamId, lead: int | None = None) -> None:
        """Let a coordinator propose a map, or begin again after a timeout."""
        coordinator = self.agents[member].coordinator
        if self._may_propose(coordinator):
            experts = [ExpertIndex(self.rng.randrange(4)) for _ in MEMBERS]
            step = max(state.step for state in coordinator.states.values())
            if any(s.in_use is not None for s in coordinator.states.values()):
                step += self.rng.randrange(6) if lead is None else lead
            placement = tuple((expert,) for expert in experts)
            self._send(member, coordinator.propose(placement, StepNumber(step)))
        else:
            self._send(member, coordinator.begin())

    def _may_propose(self, coordinator: Coordinator) -> bool:
        pending = any(s.decided is not None for s in coordinator.states.values())
        return coordinator.phase is Phase.READY and not pending

    def crash(self, member: UpstreamId) -> None:
        """Replace an agent by one with empty memory."""
        if self.ignoring:
            self.network = [
                m
                for m in self.network
                if m[:2] not in (("ask", member), ("do", member))
            ]
        self.agents[member] = self._new_agent()

    def restart_ranks(self, member: UpstreamId) -> None:
        """Empty the ranks of a runner while another one keeps the map."""
        others = [s for m, s in self.runners.items() if m != member]
        if any(state.in_use is not None for state in others):
            self.runners[member] = self._new_runner(self.runners[member].step)

    def deliver(self, index: int, *, lost: bool = False) -> None:
        """Take one message from the network."""
        kind, member, sender, *rest = self.network.pop(index)
        call = kind in ("ask", "do", "told")
        if not lost or (call and self.ignoring):
            getattr(self, f"_on_{kind}")(member, sender, *rest)
        elif call:
            self._give_up(member, sender, rest[0])

    def _send(self, member: UpstreamId, orders: dict[UpstreamId, Any]) -> None:
        sender = (member, self.agents[member].incarnation)
        messages = [("order", to, sender, order) for to, order in orders.items()]
        self.network += messages
        self.sent += messages

    def _on_order(self, member: UpstreamId, sender: Any, order: Any) -> None:
        agent = self.agents[member]
        if agent.work is not None:
            self.network.append(("order", member, sender, order))
            return
        agent.calls += 1
        agent.work = (agent.calls, order, sender)
        self.network.append(("ask", member, agent.incarnation, agent.calls))

    def _on_ask(self, member: UpstreamId, agent: int, call: int) -> None:
        answer = ("told", member, agent, call, "asked", None, self.runners[member])
        self.network.append(answer)

    def _on_do(self, member: UpstreamId, agent: int, call: int, order: Any) -> None:
        state = self.runners[member]
        refusal = None
        if not self.ignoring:
            refusal = ranks.number_refusal(order, state.promised)
        refusal = refusal or ranks.refusal_of(order, state)
        if refusal is None:
            after = ranks.follow(order, state)
            if self.checks_numbers and after.promised < state.promised:
                raise UnsafeError("a promised number went back")
            self.runners[member] = after
        answer = ("told", member, agent, call, "done", refusal, self.runners[member])
        self.network.append(answer)

    def _on_told(
        self, member: UpstreamId, incarnation: int, call: int, stage: str, *rest: Any
    ) -> None:
        agent = self.agents[member]
        if incarnation != agent.incarnation or not agent.work or agent.work[0] != call:
            return
        refusal, state = rest
        _, order, _ = agent.work
        if stage == "asked":
            refusal = agent.participant.check(order, state)
            if refusal is None:
                agent.calls += 1
                agent.work = (agent.calls, *agent.work[1:])
                self.network.append(("do", member, incarnation, agent.calls, order))
                return
        self._reply(member, agent.participant.answer(order, refusal, state))

    def _give_up(self, member: UpstreamId, incarnation: int, call: int) -> None:
        agent = self.agents[member]
        if incarnation == agent.incarnation and agent.work and agent.work[0] == call:
            order = agent.work[1]
            self._reply(member, agent.participant.answer(order, None, None))

    def _reply(self, member: UpstreamId, reply: OrderReply) -> None:
        agent = self.agents[member]
        sender = agent.work[2]
        agent.work = None
        self.network.append(("reply", sender[0], sender[1], member, reply))

    def _on_reply(self, to: UpstreamId, incarnation: int, *rest: Any) -> None:
        if self.agents[to].incarnation == incarnation:
            self._send(to, self.agents[to].coordinator.receive(*rest))

    def drain(self, held: Callable[[Any], bool] = lambda message: False) -> None:
        """Deliver all messages but orders that are held back."""
        while True:
            for index, message in enumerate(self.network):
                if message[0] != "order" or not held(message):
                    self.deliver(index)
                    break
            else:
                return

    def repeat(self, order: type, to: UpstreamId, of: UpstreamId) -> None:
        """Deliver a late copy of the last such order from one agent to another."""
        copies = [
            m for m in self.sent if (m[1], m[2][0], type(m[3])) == (to, of, order)
        ]
        held, self.network = self.network, [copies[-1]]
        self.drain()
        self.network = held

    def heal(self) -> None:
        """Deliver everything, then let the first agent alone bring in a new map."""
        leader = self.agents[MEMBERS[0]]
        before = len(set(self.step_maps))
        for _ in range(20):
            while self.network:
                self.deliver(self.rng.randrange(len(self.network)))
            for _ in range(0 if self._may_propose(leader.coordinator) else 6):
                self.step()
            if len(set(self.step_maps)) > before + 1:
                return
            self.lead(MEMBERS[0])
        raise AssertionError(f"no new map in use: {leader.coordinator.refusal}")


@pytest.fixture
def explore() -> Callable[..., int]:
    """Return a function that runs seeds and counts the steps that were made."""

    def run(seeds: range, ignoring: bool = False, maps_only: bool = False) -> int:
        steps = 0
        for seed in seeds:
            world = World(seed, ignoring=ignoring)
            world.checks_numbers = not maps_only
            try:
                for _ in range(600):
                    world.act()
                if not maps_only:
                    world.heal()
            except AssertionError as error:
                error.add_note(f"seed {seed}, ignoring numbers: {ignoring}")
                raise
            steps += len(set(world.step_maps))
        return steps

    return run


@pytest.fixture
def make_world() -> Callable[[bool], World]:
    """Return a function that makes a group whose first map is in use."""

    def make(ignoring: bool) -> World:
        world = World(1, ignoring=ignoring)
        while not world.step_maps:
            world.lead(MEMBERS[0])
            world.drain()
            world.step()
        return world

    return make


@pytest.fixture
def unsafe() -> type[AssertionError]:
    """Return the error with which the explorer reports two maps in a step."""
    return UnsafeError


@pytest.fixture
def clock() -> ManualClock:
    """Return a clock that stands still."""
    return ManualClock()


@pytest.fixture
def rng() -> Random:
    """Return seeded random numbers."""
    return Random(1)
