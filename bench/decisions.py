"""Drive the decision libraries alone, without processes, in simulated time."""

from __future__ import annotations

import heapq
import random
from itertools import count
from typing import TYPE_CHECKING, Any

from workload import Sample

from sardineyard.admission.model import PriorityRule, QueueLimits, Refused, Work
from sardineyard.admission.policies import FairShares, FirstComeFirstServed
from sardineyard.admission.queue import AdmissionQueue
from sardineyard.core.clock import Deadline, ManualClock
from sardineyard.core.ids import (
    FailureDomain,
    Incarnation,
    ModelName,
    PriorityName,
    RequestId,
    TeamId,
    UpstreamId,
)
from sardineyard.core.requests import LoadReport
from sardineyard.core.states import UpstreamState
from sardineyard.routing import policies as routes
from sardineyard.routing.table import UpstreamTable

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from workload import Arrival, Scenario

MODEL = ModelName("m")
REPORT_S = 0.5
# Requests of one prefix that find it in the runner's cache skip this part of the
# time to the first token.
PREFILL_S = 0.2


def _two() -> routes.Policy:
    return routes.PowerOfTwo(FailureDomain("a"))


# Name of a combination -> policy of the entries, policy of the agents.
COMBINATIONS: dict[str, tuple[Callable[[], routes.Policy], Callable[[], Any]]] = {
    "policy": (_two, FairShares),
    "first_come": (_two, FirstComeFirstServed),
    "round_robin": (routes.RoundRobin, FairShares),
    "random": (routes.RandomChoice, FairShares),
    "least_reported": (routes.LeastReportedLoad, FairShares),
}


class _Agent:
    """Run the queue of one upstream and its slots."""

    def __init__(
        self, scenario: Scenario, index: int, clock: ManualClock, policy: Any
    ) -> None:
        rules = [
            PriorityRule(PriorityName(part.name), part.target_s, part.reserved_share)
            for part in scenario.priorities
        ]
        weights = {TeamId(load.team): 1.0 for load in scenario.loads}
        limits = QueueLimits(slots=scenario.slots)
        self.id = UpstreamId(f"u{index}")
        self.queue = AdmissionQueue(rules, weights, clock, limits, policy)
        self.factor = 1.0
        self.gone = False
        self.cached: dict[str, None] = {}

    def prefill_s(self, prompt: str) -> float:
        head = prompt[:256]
        if len(head) < 256:
            return 0.0
        hit = head in self.cached
        self.cached.pop(head, None)
        self.cached[head] = None
        if len(self.cached) > 8:
            self.cached.pop(next(iter(self.cached)))
        return 0.0 if hit else PREFILL_S

    def report(self, scenario: Scenario) -> LoadReport:
        return LoadReport(
            self.id,
            Incarnation(1),
            False,
            self.queue.running,
            self.queue.queued,
            scenario.slots,
            1,
            self.queue.expected_waits(),
        )


class Run:
    """Run one scenario under one combination of policies."""

    def __init__(
        self,
        scenario: Scenario,
        requests: Sequence[Arrival],
        combination: str,
        seed: int,
    ) -> None:
        route, admit = COMBINATIONS[combination]
        self._scenario = scenario
        self._clock = ManualClock()
        self._rng = random.Random(seed)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = count()
        self._agents = [
            _Agent(scenario, index, self._clock, admit())
            for index in range(scenario.agents)
        ]
        self._tables = [
            UpstreamTable([PriorityName(part.name) for part in scenario.priorities])
            for _ in range(scenario.entries)
        ]
        self._routes = [route() for _ in self._tables]
        self._entries_gone: set[int] = set()
        for table in self._tables:
            for agent in self._agents:
                table.add(agent.id, [MODEL], FailureDomain("a"), scenario.slots)
        self._samples = [Sample(arrival) for arrival in requests]
        self._open: dict[str, tuple[Sample, int, float]] = {}
        for number, sample in enumerate(self._samples):
            at = sample.arrival.at_s
            self._at(at, lambda s=sample, n=number: self._arrive(s, n, at_entry=n))
        for fault in scenario.faults:
            self._at(fault.at_s, lambda f=fault: self._fault(f))
        self._at(0.0, self._reports)

    def samples(self) -> list[Sample]:
        """Run to the end and return what happened to every request."""
        while self._events:
            at, _, action = heapq.heappop(self._events)
            self._clock.advance(max(0.0, at - self._clock.now()))
            action()
        return self._samples

    def _at(self, at: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at, next(self._order), action))

    def _reports(self) -> None:
        now = self._clock.now()
        for agent in self._agents:
            report = agent.report(self._scenario)
            self._at(
                now + self._scenario.report_lag_s, lambda r=report: self._deliver(r)
            )
        if now < self._scenario.seconds:
            self._at(now + REPORT_S, self._reports)

    def _deliver(self, report: LoadReport) -> None:
        for table in self._tables:
            table.report(report, self._clock.now())

    def _fault(self, fault: Any) -> None:
        if fault.kind == "slow":
            self._agents[fault.index].factor = fault.factor
        elif fault.kind == "agent_gone":
            agent = self._agents[fault.index]
            agent.gone = True
            for table in self._tables:
                table.set_state(agent.id, UpstreamState.GONE)
            for key, (sample, _, _) in list(self._open.items()):
                if key.endswith(f"@{agent.id}"):
                    del self._open[key]
                    number = int(key.partition(".")[0])
                    self._arrive(sample, number, at_entry=number, again=True)

    def _arrive(
        self, sample: Sample, number: int, at_entry: int, *, again: bool = False
    ) -> None:
        index = at_entry % len(self._tables)
        table = self._tables[index]
        arrival = sample.arrival
        excluded: set[UpstreamId] = set()
        # Two tries, as the retry budget allows them to few requests.
        for attempt in range(2):
            request = routes.RouteRequest(
                MODEL,
                PriorityName(arrival.priority),
                arrival.prompt,
                excluded=frozenset(excluded),
            )
            view = routes.choose(
                self._routes[index], table, request, self._clock.now(), self._rng
            )
            if view is None:
                sample.error = sample.error or "no_upstream"
                return
            agent = next(a for a in self._agents if a.id == view.upstream)
            key = f"{number}.{attempt}{again}@{agent.id}"
            work = Work(
                RequestId(key),
                TeamId(arrival.team),
                PriorityName(arrival.priority),
                Deadline(arrival.at_s + arrival.timeout_s),
                len(arrival.prompt.split()),
                arrival.output_tokens,
            )
            decision = agent.queue.offer(work)
            self._expire(agent)
            if isinstance(decision, Refused):
                sample.error = decision.kind.value
                excluded.add(agent.id)
                if self._rng.random() > 0.1:
                    return
                continue
            sample.error = ""
            table.started(agent.id, work.priority)
            self._open[key] = (sample, index, self._clock.now())
            self._start(agent)
            return

    def _start(self, agent: _Agent) -> None:
        self._expire(agent)
        while (started := agent.queue.start_next()) is not None:
            key = started.work.request_id
            sample, _, _ = self._open[key]
            arrival = sample.arrival
            now = self._clock.now()
            prefill = agent.prefill_s(arrival.prompt)
            step = self._scenario.token_s * agent.factor
            sample.first_token_s = now + prefill + step - arrival.at_s
            took = prefill + step * arrival.output_tokens
            self._at(now + took, lambda k=key, t=took: self._finish(agent, k, t))
        due = agent.queue.next_expiry
        if due is not None and due < self._scenario.seconds:
            self._at(max(due, self._clock.now()), lambda: self._expire(agent))

    def _finish(self, agent: _Agent, key: str, took: float) -> None:
        found = self._open.pop(key, None)
        if found is None:
            return
        sample, index, _ = found
        tokens = sample.arrival.output_tokens
        sample.finished = True
        sample.tokens = tokens
        sample.last_s = self._clock.now()
        agent.queue.finish(RequestId(key), tokens, first_token_s=took / tokens)
        priority = PriorityName(sample.arrival.priority)
        self._tables[index].ended(agent.id, priority)
        self._tables[index].observe(agent.id, took, tokens)
        self._start(agent)

    def _expire(self, agent: _Agent) -> None:
        for refused in agent.queue.expire():
            key = refused.work.request_id
            found = self._open.pop(key, None)
            if found is not None:
                found[0].error = refused.kind.value
                priority = refused.work.priority
                self._tables[found[1]].ended(agent.id, priority)
