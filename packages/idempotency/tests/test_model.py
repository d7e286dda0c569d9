"""Random walks of agents, callers and faults against a plain record of runs."""

from __future__ import annotations

import uuid
from collections import Counter
from dataclasses import dataclass, field
from enum import Enum, unique
from random import Random
from typing import TYPE_CHECKING

import pytest

from sardineyard.core.clock import Deadline, WallTime
from sardineyard.core.errors import Outcome
from sardineyard.core.ids import (
    Fingerprint,
    Incarnation,
    ServiceName,
    TeamId,
    UpstreamId,
)
from sardineyard.idempotency.keys import ScopedKey, UntimedKey, parse_key
from sardineyard.idempotency.lease import AddressLease, begin_renewal
from sardineyard.idempotency.messages import (
    AskPrevious,
    Attempt,
    Finish,
    Refuse,
    Run,
    StoredAnswer,
    SurrenderAnswer,
    SurrenderState,
)
from sardineyard.idempotency.ownership import Ownership, UpstreamSets, owner_of
from sardineyard.idempotency.store import KeyStore
from sardineyard.idempotency.table import KeyLimits, KeyTable

if TYPE_CHECKING:
    from sardineyard.idempotency.lease import Renewal
    from sardineyard.idempotency.messages import (
        Ticket,
    )

SERVICE = ServiceName("booking")
SKEW_S = 0.2
WINDOW_S = 6.0
LIMITS = KeyLimits(max_clock_skew_s=SKEW_S, untimed_key_window_s=WINDOW_S)
UPSTREAMS = [UpstreamId(name) for name in "ABCD"]
ANSWER = StoredAnswer(200, "text/plain", b"booked")
# Documents whose sets a new document still lists, so a process may be this far behind.
LAG = 2


@unique
class Mechanism(Enum):
    """Name what a walk of the harness can switch off."""

    FLOOR = "floor"
    LEASE = "lease"
    SURRENDER = "surrender"


class _NoFloorStore(KeyStore):
    def raise_floor(self, floor: WallTime) -> None:
        pass


class _AlwaysHeldLease(AddressLease):
    @property
    def held(self) -> bool:
        return True


@dataclass
class _SkewedClock:
    world: World
    offset: float

    def now(self) -> float:
        return self.world.time

    def wall(self) -> WallTime:
        return WallTime(1.8e9 + self.world.time + self.offset)


@unique
class _Phase(Enum):
    ASK = "ask"
    START = "start"
    WRITE = "write"
    FINISH = "finish"


@dataclass
class _Job:
    attempt: Attempt
    ticket: Ticket
    phase: _Phase
    asked: AskPrevious | None = None


class _Agent:
    def __init__(self, world: World, upstream: UpstreamId) -> None:
        self.upstream = upstream
        self.incarnation = Incarnation(world.next_incarnation())
        self.paused = False
        self.version = 0
        self.jobs: list[_Job] = []
        self.renewals: list[tuple[Renewal, Incarnation]] = []
        off = world.without
        self.clock = _SkewedClock(world, world.skew())
        lease = _AlwaysHeldLease if off is Mechanism.LEASE else AddressLease
        store = _NoFloorStore if off is Mechanism.FLOOR else KeyStore
        held = lease(self.clock, self.incarnation)
        self.table = KeyTable(self.clock, upstream, held, store(40, 10_000))


@dataclass
class World:
    """Hold the whole fleet and move it by one random step at a time."""

    random: Random
    without: Mechanism | None = None
    time: float = 0.0
    incarnations: int = 0
    runs: Counter[ScopedKey] = field(default_factory=Counter)
    faults: list[str] = field(default_factory=list)
    outcomes: Counter[Outcome] = field(default_factory=Counter)

    def __post_init__(self) -> None:
        """Start the agents and write the first document."""
        self.documents = [UpstreamSets(tuple(UPSTREAMS[:3]))]
        self.agents = [_Agent(self, upstream) for upstream in UPSTREAMS]
        self.at_address = {agent.upstream: agent for agent in self.agents}
        for agent in self.agents:
            self._adopt(agent, 0)
        self.keys: list[ScopedKey] = []
        self.sent: dict[ScopedKey, float] = {}
        self.in_flight: list[tuple[_Agent, Attempt]] = []
        self._steps = {
            self._advance: 30,
            self._send: 30,
            self._deliver: 40,
            self._work: 60,
            self._pause: 0.5,
            self._resume: 2,
            self._replace: 0.4,
            self._give_address_back: 0.3,
            self._move: 0.3,
            self._follow: 2,
        }

    def next_incarnation(self) -> int:
        """Return a greater number for each start of a process."""
        self.incarnations += 1
        return self.incarnations

    def skew(self) -> float:
        """Return a clock offset; two of them differ by the bound at most."""
        return self.random.uniform(-SKEW_S / 2, SKEW_S / 2)

    def walk(self, steps: int) -> None:
        """Take a number of random steps."""
        for _ in range(steps):
            weights = list(self._steps.values())
            self.random.choices(list(self._steps), weights)[0]()

    def _advance(self) -> None:
        self.time += self.random.choice((0.01, 0.05, 0.25))
        for agent in self.agents:
            if agent.paused:
                continue
            # The reply to an earlier question arrives, then a peer is asked again.
            if agent.renewals and self.random.random() < 0.95:
                renewal, answered = agent.renewals.pop(0)
                agent.table.confirm_lease(renewal, answered)
            holder = self.at_address[agent.upstream]
            if not holder.paused and len(agent.renewals) < 2:
                agent.renewals.append((begin_renewal(agent.clock), holder.incarnation))

    def _send(self) -> None:
        recent = self.keys[-30:]
        if recent and self.random.random() < 0.5:
            scoped = self.random.choice(recent)
        else:
            scoped = self._new_key()
        version = self._some_version()
        owner = owner_of(scoped, self.documents[version].current)
        sessions = [agent for agent in self.agents if agent.upstream == owner]
        agent = self.random.choice([*sessions, self.at_address[owner]])
        deadline = Deadline(self.time + self.random.uniform(0.1, 8.0))
        attempt = Attempt(scoped, Fingerprint("body"), deadline, agent.incarnation)
        self.in_flight.append((agent, attempt))

    def _new_key(self) -> ScopedKey:
        text = str(uuid.UUID(int=self.random.getrandbits(128)))
        if self.random.random() < 0.8:
            created = round((1.8e9 + self.time + self.skew()) * 1000)
            tail = self.random.getrandbits(62)
            text = str(uuid.UUID(int=created << 80 | 7 << 76 | 2 << 62 | tail))
        scoped = ScopedKey(TeamId("team"), SERVICE, parse_key(text).unwrap())
        self.keys.append(scoped)
        self.sent[scoped] = self.time
        return scoped

    def _deliver(self) -> None:
        if not self.in_flight:
            return
        chosen = self.random.randrange(len(self.in_flight))
        agent, attempt = self.in_flight[chosen]
        if agent.paused:
            return
        del self.in_flight[chosen]
        # An untimed key is covered for its window only, counted from the first try.
        age = self.time - self.sent[attempt.scoped]
        if isinstance(attempt.scoped.key, UntimedKey) and age > WINDOW_S:
            return
        decision = agent.table.admit(attempt)
        if isinstance(decision, Run):
            agent.jobs.append(_Job(attempt, decision.ticket, _Phase.START))
        elif isinstance(decision, AskPrevious):
            job = _Job(attempt, decision.ticket, _Phase.ASK, decision)
            agent.jobs.append(job)
        elif isinstance(decision, Refuse):
            self._answer(attempt, decision)

    def _work(self) -> None:
        busy = [agent for agent in self.agents if agent.jobs and not agent.paused]
        if not busy:
            return
        agent = self.random.choice(busy)
        job = agent.jobs.pop(self.random.randrange(len(agent.jobs)))
        if job.phase is _Phase.ASK:
            decision = agent.table.resolve(job.ticket, self._surrenders(job.asked))
            job.phase = _Phase.START
        elif job.phase is _Phase.START:
            decision = agent.table.start(job.ticket, job.attempt)
            job.phase = _Phase.WRITE
        elif job.phase is _Phase.WRITE:
            self._run(job.attempt.scoped)
            job.phase = _Phase.FINISH
            decision = Run(job.ticket)
        else:
            lost = self.random.random() < 0.2
            outcome = Outcome.UNKNOWN if lost else Outcome.RAN
            agent.table.finish(Finish(job.ticket, outcome, None if lost else ANSWER))
            self.outcomes[outcome] += 1
            return
        if isinstance(decision, Run):
            agent.jobs.append(job)
        elif isinstance(decision, Refuse):
            self._answer(job.attempt, decision)

    def _surrenders(self, ask: AskPrevious | None) -> list[SurrenderAnswer]:
        assert ask is not None
        if self.without is Mechanism.SURRENDER:
            return [SurrenderAnswer(SurrenderState.NEVER_RUNS) for _ in ask.owners]
        asked = []
        for owner in ask.owners:
            reachable = [agent for agent in self.agents if agent.upstream == owner]
            asked.append(self.random.choice([*reachable, self.at_address[owner]]))
        return [
            agent.table.surrender(ask.question) for agent in asked if not agent.paused
        ]

    def _run(self, scoped: ScopedKey) -> None:
        self.runs[scoped] += 1
        if self.runs[scoped] > 1:
            self.faults.append(f"two runs of {scoped.key}")

    def _answer(self, attempt: Attempt, refuse: Refuse) -> None:
        self.outcomes[refuse.error.outcome] += 1
        if refuse.error.outcome is Outcome.NOT_RUN and self.runs[attempt.scoped]:
            self.faults.append(f"{refuse.error.kind} after a run of {attempt.scoped}")

    def _pause(self) -> None:
        self.random.choice(self.agents).paused = True

    def _resume(self) -> None:
        self.random.choice(self.agents).paused = False

    def _replace(self) -> None:
        upstream = self.random.choice(UPSTREAMS)
        old = self.at_address[upstream]
        successor = _Agent(self, upstream)
        self._adopt(successor, self._some_version())
        self.agents.append(successor)
        self.at_address[upstream] = successor
        if self.random.random() < 0.5 or len(self.agents) > 10:
            self.agents.remove(old)
            self.in_flight = [each for each in self.in_flight if each[0] is not old]

    def _give_address_back(self) -> None:
        agent = self.random.choice(self.agents)
        self.at_address[agent.upstream] = agent

    def _move(self) -> None:
        count = self.random.choice((2, 3))
        current = tuple(self.random.sample(UPSTREAMS, count))
        previous = tuple(each.current for each in self.documents[-LAG:])
        self.documents.append(UpstreamSets(current, previous))
        for agent in self.agents:
            self._adopt(agent, max(agent.version, len(self.documents) - 1 - LAG))

    def _follow(self) -> None:
        agent = self.random.choice(self.agents)
        self._adopt(agent, max(agent.version, self._some_version()))

    def _some_version(self) -> int:
        newest = len(self.documents) - 1
        return self.random.randint(max(0, newest - LAG), newest)

    def _adopt(self, agent: _Agent, version: int) -> None:
        agent.version = version
        ownership = Ownership({SERVICE: self.documents[version]})
        agent.table.follow(ownership, LIMITS, version + 1)


def _faults(
    seeds: range, without: Mechanism | None
) -> tuple[list[str], Counter[Outcome]]:
    outcomes: Counter[Outcome] = Counter()
    for seed in seeds:
        world = World(Random(seed), without)
        world.walk(2000)
        outcomes += world.outcomes
        if world.faults:
            return [f"seed {seed}: {fault}" for fault in world.faults], outcomes
    return [], outcomes


def test_no_key_runs_twice_and_none_that_ran_is_called_not_run() -> None:
    """Guards against an interleaving of faults that breaks the promise."""
    faults, outcomes = _faults(range(60), None)
    assert faults == []
    # A walk that refuses everything would prove nothing.
    assert min(outcomes[each] for each in Outcome) > 100, outcomes


@pytest.mark.parametrize("without", Mechanism)
def test_the_walk_finds_a_fault_without_each_mechanism(without: Mechanism) -> None:
    """Guards against a walk too weak to need the floor, the lease and the rule."""
    faults, _ = _faults(range(60), without)
    assert faults
