"""Model of agents, callers and faults that takes random steps on the key table."""

from __future__ import annotations

import uuid
from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from sardineyard.core.clock import Deadline
from sardineyard.core.errors import Outcome
from sardineyard.core.ids import (
    Fingerprint,
    Incarnation,
    ServiceName,
    TeamId,
    UpstreamId,
)
from sardineyard.idempotency.keys import ScopedKey, UntimedKey, parse_key
from sardineyard.idempotency.lease import begin_renewal
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
from sardineyard.idempotency.table import KeyLimits
from sardineyard.standins.key_model import (
    EPOCH,
    Job,
    Mechanism,
    ModelAgent,
    Phase,
    SkewedClock,
)

if TYPE_CHECKING:
    from random import Random

SERVICE = ServiceName("booking")
SKEW_S = 0.2
WINDOW_S = 6.0
LIMITS = KeyLimits(max_clock_skew_s=SKEW_S, untimed_key_window_s=WINDOW_S)
UPSTREAMS = [UpstreamId(name) for name in "ABCD"]
ANSWER = StoredAnswer(200, "text/plain", b"booked")
# Documents whose sets a new document still lists, so a process may be this far behind.
LAG = 2


@dataclass
class World:
    """Hold the whole fleet and move it by one random step at a time."""

    random: Random
    without: Mechanism | None = None
    time: float = 0.0
    incarnations: int = 0
    runs: Counter[ScopedKey] = field(default_factory=Counter)
    # Keys that passed the last check; a paused agent may run them much later.
    permitted: set[ScopedKey] = field(default_factory=set)
    faults: list[str] = field(default_factory=list)
    outcomes: Counter[Outcome] = field(default_factory=Counter)

    def __post_init__(self) -> None:
        """Start the agents and write the first document."""
        self.documents = [UpstreamSets(tuple(UPSTREAMS[:3]))]
        self.agents = [self._new_agent(upstream) for upstream in UPSTREAMS]
        self.at_address = {agent.upstream: agent for agent in self.agents}
        for agent in self.agents:
            self._adopt(agent, 0)
        self.keys: list[ScopedKey] = []
        self.sent: dict[ScopedKey, float] = {}
        self.in_flight: list[tuple[ModelAgent, Attempt]] = []
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

    def _new_agent(self, upstream: UpstreamId) -> ModelAgent:
        self.incarnations += 1
        clock = SkewedClock(lambda: self.time, self._skew())
        return ModelAgent(upstream, Incarnation(self.incarnations), clock, self.without)

    def _skew(self) -> float:
        # Two offsets differ by the bound at most.
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
        assert owner is not None
        sessions = [agent for agent in self.agents if agent.upstream == owner]
        agent = self.random.choice([*sessions, self.at_address[owner]])
        deadline = Deadline(self.time + self.random.uniform(0.1, 8.0))
        attempt = Attempt(scoped, Fingerprint("body"), deadline, agent.incarnation)
        self.in_flight.append((agent, attempt))

    def _new_key(self) -> ScopedKey:
        text = str(uuid.UUID(int=self.random.getrandbits(128)))
        if self.random.random() < 0.8:
            created = round((EPOCH + self.time + self._skew()) * 1000)
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
            agent.jobs.append(Job(attempt, decision.ticket, Phase.START))
        elif isinstance(decision, AskPrevious):
            job = Job(attempt, decision.ticket, Phase.ASK, decision)
            agent.jobs.append(job)
        elif isinstance(decision, Refuse):
            self._answer(attempt, decision)

    def _work(self) -> None:
        busy = [agent for agent in self.agents if agent.jobs and not agent.paused]
        if not busy:
            return
        agent = self.random.choice(busy)
        job = agent.jobs.pop(self.random.randrange(len(agent.jobs)))
        if job.phase is Phase.ASK:
            decision = agent.table.resolve(job.ticket, self._surrenders(job.asked))
            job.phase = Phase.START
        elif job.phase is Phase.START:
            decision = agent.table.start(job.ticket, job.attempt)
            job.phase = Phase.WRITE
            if isinstance(decision, Run):
                self.permitted.add(job.attempt.scoped)
        elif job.phase is Phase.WRITE:
            self._run(job.attempt.scoped)
            job.phase = Phase.FINISH
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
        permitted = attempt.scoped in self.permitted
        if refuse.error.outcome is Outcome.NOT_RUN and permitted:
            self.faults.append(f"{refuse.error.kind} after a run of {attempt.scoped}")

    def _pause(self) -> None:
        self.random.choice(self.agents).paused = True

    def _resume(self) -> None:
        self.random.choice(self.agents).paused = False

    def _replace(self) -> None:
        upstream = self.random.choice(UPSTREAMS)
        old = self.at_address[upstream]
        successor = self._new_agent(upstream)
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

    def _adopt(self, agent: ModelAgent, version: int) -> None:
        agent.version = version
        ownership = Ownership({SERVICE: self.documents[version]})
        agent.table.follow(ownership, LIMITS, version + 1)
