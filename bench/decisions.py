"""Simulate scenarios with the routing and admission libraries in virtual time."""

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
from sardineyard.routing import policies as routing_policies
from sardineyard.routing.table import UpstreamTable

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from workload import Arrival, Scenario

MODEL = ModelName("m")
REPORT_INTERVAL_S = 0.5
# Prefill time of a long prompt; skipped if its prefix is in the runner's cache.
PREFILL_S = 0.2


def _power_of_two() -> routing_policies.Policy:
    return routing_policies.PowerOfTwo(FailureDomain("a"))


# Combination name -> routing policy of the entries, admission policy of the agents.
COMBINATIONS: dict[
    str, tuple[Callable[[], routing_policies.Policy], Callable[[], Any]]
] = {
    "policy": (_power_of_two, FairShares),
    "first_come": (_power_of_two, FirstComeFirstServed),
    "round_robin": (routing_policies.RoundRobin, FairShares),
    "random": (routing_policies.RandomChoice, FairShares),
    "least_reported": (routing_policies.LeastReportedLoad, FairShares),
}


class _SimulatedAgent:
    """Agent with the admission queue and the prefix cache of one upstream."""

    def __init__(
        self, scenario: Scenario, index: int, clock: ManualClock, policy: Any
    ) -> None:
        rules = [
            PriorityRule(
                PriorityName(priority.name), priority.target_s, priority.reserved_share
            )
            for priority in scenario.priorities
        ]
        weights = {TeamId(load.team): 1.0 for load in scenario.loads}
        limits = QueueLimits(slots=scenario.slots)
        self.id = UpstreamId(f"u{index}")
        self.queue = AdmissionQueue(rules, weights, clock, limits, policy)
        self.factor = 1.0
        self.is_unavailable = False
        self.cached_prefixes: dict[str, None] = {}

    def prefill_s(self, prompt: str) -> float:
        prefix = prompt[:256]
        if len(prefix) < 256:
            return 0.0
        is_cached = prefix in self.cached_prefixes
        self.cached_prefixes.pop(prefix, None)
        self.cached_prefixes[prefix] = None
        if len(self.cached_prefixes) > 8:
            self.cached_prefixes.pop(next(iter(self.cached_prefixes)))
        return 0.0 if is_cached else PREFILL_S

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


class Simulation:
    """Discrete-event simulation of a scenario under one combination of policies."""

    def __init__(
        self,
        scenario: Scenario,
        requests: Sequence[Arrival],
        combination: str,
        seed: int,
    ) -> None:
        make_routing_policy, make_admission_policy = COMBINATIONS[combination]
        self._scenario = scenario
        self._clock = ManualClock()
        self._rng = random.Random(seed)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = count()
        self._agents = [
            _SimulatedAgent(scenario, index, self._clock, make_admission_policy())
            for index in range(scenario.agents)
        ]
        self._tables = [
            UpstreamTable(
                [PriorityName(priority.name) for priority in scenario.priorities]
            )
            for _ in range(scenario.entries)
        ]
        self._routing = [make_routing_policy() for _ in self._tables]
        self._removed_entries: set[int] = set()
        for table in self._tables:
            for agent in self._agents:
                table.add(agent.id, [MODEL], FailureDomain("a"), scenario.slots)
        self._samples = [Sample(arrival) for arrival in requests]
        self._in_flight: dict[str, tuple[Sample, int, float]] = {}
        for number, sample in enumerate(self._samples):
            at = sample.arrival.at_s
            self._schedule(
                at, lambda s=sample, n=number: self._submit(s, n, entry_number=n)
            )
        for fault in scenario.faults:
            self._schedule(fault.at_s, lambda f=fault: self._apply_fault(f))
        self._schedule(0.0, self._send_reports)

    def run(self) -> list[Sample]:
        """Process all events and return the outcome of each request."""
        while self._events:
            at, _, action = heapq.heappop(self._events)
            self._clock.advance(max(0.0, at - self._clock.now()))
            action()
        return self._samples

    def _schedule(self, at: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at, next(self._sequence), action))

    def _send_reports(self) -> None:
        now = self._clock.now()
        for agent in self._agents:
            report = agent.report(self._scenario)
            self._schedule(
                now + self._scenario.report_lag_s,
                lambda r=report: self._deliver_report(r),
            )
        if now < self._scenario.seconds:
            self._schedule(now + REPORT_INTERVAL_S, self._send_reports)

    def _deliver_report(self, report: LoadReport) -> None:
        for table in self._tables:
            table.report(report, self._clock.now())

    def _apply_fault(self, fault: Any) -> None:
        if fault.kind == "slow":
            self._agents[fault.index].factor = fault.factor
        elif fault.kind == "agent_gone":
            agent = self._agents[fault.index]
            agent.is_unavailable = True
            for table in self._tables:
                table.set_state(agent.id, UpstreamState.GONE)
            for key, (sample, _, _) in list(self._in_flight.items()):
                if key.endswith(f"@{agent.id}"):
                    del self._in_flight[key]
                    number = int(key.partition(".")[0])
                    self._submit(sample, number, entry_number=number, is_retry=True)

    def _submit(
        self, sample: Sample, number: int, entry_number: int, *, is_retry: bool = False
    ) -> None:
        index = entry_number % len(self._tables)
        table = self._tables[index]
        arrival = sample.arrival
        excluded: set[UpstreamId] = set()
        # At most one retry, which the retry budget grants to 1 in 10 refused requests.
        for attempt in range(2):
            request = routing_policies.RouteRequest(
                MODEL,
                PriorityName(arrival.priority),
                arrival.prompt,
                excluded=frozenset(excluded),
            )
            view = routing_policies.choose(
                self._routing[index], table, request, self._clock.now(), self._rng
            )
            if view is None:
                sample.error = sample.error or "no_upstream"
                return
            agent = next(a for a in self._agents if a.id == view.upstream)
            key = f"{number}.{attempt}{is_retry}@{agent.id}"
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
            self._in_flight[key] = (sample, index, self._clock.now())
            self._start(agent)
            return

    def _start(self, agent: _SimulatedAgent) -> None:
        self._expire(agent)
        while (started := agent.queue.start_next()) is not None:
            key = started.work.request_id
            sample, _, _ = self._in_flight[key]
            arrival = sample.arrival
            now = self._clock.now()
            prefill = agent.prefill_s(arrival.prompt)
            token_interval_s = self._scenario.token_s * agent.factor
            sample.first_token_s = now + prefill + token_interval_s - arrival.at_s
            duration_s = prefill + token_interval_s * arrival.output_tokens
            self._schedule(
                now + duration_s, lambda k=key, t=duration_s: self._finish(agent, k, t)
            )
        next_expiry_s = agent.queue.next_expiry
        if next_expiry_s is not None and next_expiry_s < self._scenario.seconds:
            self._schedule(
                max(next_expiry_s, self._clock.now()), lambda: self._expire(agent)
            )

    def _finish(self, agent: _SimulatedAgent, key: str, duration_s: float) -> None:
        in_flight = self._in_flight.pop(key, None)
        if in_flight is None:
            return
        sample, index, _ = in_flight
        tokens = sample.arrival.output_tokens
        sample.finished = True
        sample.tokens = tokens
        sample.last_s = self._clock.now()
        agent.queue.finish(RequestId(key), tokens, first_token_s=duration_s / tokens)
        priority = PriorityName(sample.arrival.priority)
        self._tables[index].ended(agent.id, priority)
        self._tables[index].observe(agent.id, duration_s, tokens)
        self._start(agent)

    def _expire(self, agent: _SimulatedAgent) -> None:
        for refused in agent.queue.expire():
            key = refused.work.request_id
            in_flight = self._in_flight.pop(key, None)
            if in_flight is not None:
                in_flight[0].error = refused.kind.value
                priority = refused.work.priority
                self._tables[in_flight[1]].ended(agent.id, priority)
