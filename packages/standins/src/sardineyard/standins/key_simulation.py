"""Simulation of agents, callers and faults that drives the key table at random."""

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
    Attempt,
    Finish,
    QueryPreviousOwners,
    Refuse,
    Run,
    StoredResponse,
    SurrenderResult,
    SurrenderState,
)
from sardineyard.idempotency.ownership import Ownership, UpstreamSets, owner_of
from sardineyard.idempotency.table import KeyLimits
from sardineyard.standins.simulated_agent import (
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
RESPONSE = StoredResponse(200, "text/plain", b"booked")
# A document lists the upstream sets of this many earlier ones, so a process may be this
# many versions behind.
MAX_VERSION_LAG = 2


@dataclass
class KeySimulation:
    """Simulated fleet that advances by one random step at a time."""

    random: Random
    disabled: Mechanism | None = None
    time: float = 0.0
    incarnations: int = 0
    runs: Counter[ScopedKey] = field(default_factory=Counter)
    # Keys that passed the last check before a run; a paused agent may run them much
    # later.
    may_have_run: set[ScopedKey] = field(default_factory=set)
    violations: list[str] = field(default_factory=list)
    outcomes: Counter[Outcome] = field(default_factory=Counter)

    def __post_init__(self) -> None:
        """Create the first document and the agents."""
        self.documents = [UpstreamSets(tuple(UPSTREAMS[:3]))]
        self.agents = [self._new_agent(upstream) for upstream in UPSTREAMS]
        self.agent_at_address = {agent.upstream: agent for agent in self.agents}
        for agent in self.agents:
            self._configure_agent(agent, 0)
        self.keys: list[ScopedKey] = []
        self.first_sent_at: dict[ScopedKey, float] = {}
        self.in_flight: list[tuple[ModelAgent, Attempt]] = []
        self._step_weights = {
            self._advance_time: 30,
            self._send: 30,
            self._deliver: 40,
            self._advance_job: 60,
            self._pause_agent: 0.5,
            self._resume_agent: 2,
            self._replace_agent: 0.4,
            self._reassign_address: 0.3,
            self._publish_document: 0.3,
            self._update_agent: 2,
        }

    def _new_agent(self, upstream: UpstreamId) -> ModelAgent:
        self.incarnations += 1
        clock = SkewedClock(lambda: self.time, self._random_clock_offset())
        return ModelAgent(
            upstream, Incarnation(self.incarnations), clock, self.disabled
        )

    def _random_clock_offset(self) -> float:
        # Two clocks differ by SKEW_S at most.
        return self.random.uniform(-SKEW_S / 2, SKEW_S / 2)

    def run_random_steps(self, steps: int) -> None:
        """Take a number of random steps."""
        for _ in range(steps):
            weights = list(self._step_weights.values())
            self.random.choices(list(self._step_weights), weights)[0]()

    def _advance_time(self) -> None:
        self.time += self.random.choice((0.01, 0.05, 0.25))
        for agent in self.agents:
            if agent.paused:
                continue
            # The reply to an earlier lease renewal arrives, then the next one is sent.
            if agent.renewals and self.random.random() < 0.95:
                renewal, replying_incarnation = agent.renewals.pop(0)
                agent.table.confirm_lease(renewal, replying_incarnation)
            current_agent = self.agent_at_address[agent.upstream]
            if not current_agent.paused and len(agent.renewals) < 2:
                agent.renewals.append(
                    (begin_renewal(agent.clock), current_agent.incarnation)
                )

    def _send(self) -> None:
        recent = self.keys[-30:]
        if recent and self.random.random() < 0.5:
            scoped = self.random.choice(recent)
        else:
            scoped = self._new_key()
        version = self._recent_version()
        owner = owner_of(scoped, self.documents[version].current)
        assert owner is not None
        sessions = [agent for agent in self.agents if agent.upstream == owner]
        agent = self.random.choice([*sessions, self.agent_at_address[owner]])
        deadline = Deadline(self.time + self.random.uniform(0.1, 8.0))
        attempt = Attempt(scoped, Fingerprint("body"), deadline, agent.incarnation)
        self.in_flight.append((agent, attempt))

    def _new_key(self) -> ScopedKey:
        text = str(uuid.UUID(int=self.random.getrandbits(128)))
        if self.random.random() < 0.8:
            created = round((EPOCH + self.time + self._random_clock_offset()) * 1000)
            tail = self.random.getrandbits(62)
            text = str(uuid.UUID(int=created << 80 | 7 << 76 | 2 << 62 | tail))
        scoped = ScopedKey(TeamId("team"), SERVICE, parse_key(text).unwrap())
        self.keys.append(scoped)
        self.first_sent_at[scoped] = self.time
        return scoped

    def _deliver(self) -> None:
        if not self.in_flight:
            return
        chosen = self.random.randrange(len(self.in_flight))
        agent, attempt = self.in_flight[chosen]
        if agent.paused:
            return
        del self.in_flight[chosen]
        # Keys without a creation time are protected only for WINDOW_S after the first
        # attempt.
        age = self.time - self.first_sent_at[attempt.scoped]
        if isinstance(attempt.scoped.key, UntimedKey) and age > WINDOW_S:
            return
        decision = agent.table.admit(attempt)
        if isinstance(decision, Run):
            agent.jobs.append(Job(attempt, decision.ticket, Phase.START))
        elif isinstance(decision, QueryPreviousOwners):
            job = Job(attempt, decision.ticket, Phase.QUERY_OWNERS, decision)
            agent.jobs.append(job)
        elif isinstance(decision, Refuse):
            self._check_refusal(attempt, decision)

    def _advance_job(self) -> None:
        busy = [agent for agent in self.agents if agent.jobs and not agent.paused]
        if not busy:
            return
        agent = self.random.choice(busy)
        job = agent.jobs.pop(self.random.randrange(len(agent.jobs)))
        if job.phase is Phase.QUERY_OWNERS:
            decision = agent.table.resolve(job.ticket, self._query_owners(job.query))
            job.phase = Phase.START
        elif job.phase is Phase.START:
            decision = agent.table.start(job.ticket, job.attempt)
            job.phase = Phase.EXECUTE
            if isinstance(decision, Run):
                self.may_have_run.add(job.attempt.scoped)
        elif job.phase is Phase.EXECUTE:
            self._count_run(job.attempt.scoped)
            job.phase = Phase.FINISH
            decision = Run(job.ticket)
        else:
            lost = self.random.random() < 0.2
            outcome = Outcome.UNKNOWN if lost else Outcome.RAN
            agent.table.finish(Finish(job.ticket, outcome, None if lost else RESPONSE))
            self.outcomes[outcome] += 1
            return
        if isinstance(decision, Run):
            agent.jobs.append(job)
        elif isinstance(decision, Refuse):
            self._check_refusal(job.attempt, decision)

    def _query_owners(
        self, owner_query: QueryPreviousOwners | None
    ) -> list[SurrenderResult]:
        assert owner_query is not None
        if self.disabled is Mechanism.SURRENDER:
            return [
                SurrenderResult(SurrenderState.NEVER_RUNS) for _ in owner_query.owners
            ]
        queried_agents = []
        for owner in owner_query.owners:
            reachable = [agent for agent in self.agents if agent.upstream == owner]
            queried_agents.append(
                self.random.choice([*reachable, self.agent_at_address[owner]])
            )
        return [
            agent.table.surrender(owner_query.question)
            for agent in queried_agents
            if not agent.paused
        ]

    def _count_run(self, scoped: ScopedKey) -> None:
        self.runs[scoped] += 1
        if self.runs[scoped] > 1:
            self.violations.append(f"two runs of {scoped.key}")

    def _check_refusal(self, attempt: Attempt, refuse: Refuse) -> None:
        self.outcomes[refuse.error.outcome] += 1
        may_have_run = attempt.scoped in self.may_have_run
        if refuse.error.outcome is Outcome.NOT_RUN and may_have_run:
            self.violations.append(
                f"{refuse.error.kind} after a run of {attempt.scoped}"
            )

    def _pause_agent(self) -> None:
        self.random.choice(self.agents).paused = True

    def _resume_agent(self) -> None:
        self.random.choice(self.agents).paused = False

    def _replace_agent(self) -> None:
        upstream = self.random.choice(UPSTREAMS)
        old = self.agent_at_address[upstream]
        successor = self._new_agent(upstream)
        self._configure_agent(successor, self._recent_version())
        self.agents.append(successor)
        self.agent_at_address[upstream] = successor
        if self.random.random() < 0.5 or len(self.agents) > 10:
            self.agents.remove(old)
            self.in_flight = [each for each in self.in_flight if each[0] is not old]

    def _reassign_address(self) -> None:
        agent = self.random.choice(self.agents)
        self.agent_at_address[agent.upstream] = agent

    def _publish_document(self) -> None:
        count = self.random.choice((2, 3))
        current = tuple(self.random.sample(UPSTREAMS, count))
        previous = tuple(each.current for each in self.documents[-MAX_VERSION_LAG:])
        self.documents.append(UpstreamSets(current, previous))
        for agent in self.agents:
            self._configure_agent(
                agent, max(agent.version, len(self.documents) - 1 - MAX_VERSION_LAG)
            )

    def _update_agent(self) -> None:
        agent = self.random.choice(self.agents)
        self._configure_agent(agent, max(agent.version, self._recent_version()))

    def _recent_version(self) -> int:
        newest = len(self.documents) - 1
        return self.random.randint(max(0, newest - MAX_VERSION_LAG), newest)

    def _configure_agent(self, agent: ModelAgent, version: int) -> None:
        agent.version = version
        ownership = Ownership({SERVICE: self.documents[version]})
        agent.table.configure(ownership, LIMITS, version + 1)
