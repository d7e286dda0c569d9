"""Run one scenario against a fleet of real processes."""

from __future__ import annotations

import asyncio
import hashlib
import tempfile
import time
from pathlib import Path
from typing import TYPE_CHECKING, Any

import msgspec
from workload import Sample, arrivals, measure

from sardineyard.httpio.client import ClientConnection, ResponseError, fetch
from sardineyard.httpio.messages import HttpRequest
from sardineyard.standins.fleet import MODEL, Fleet, FleetSpec

if TYPE_CHECKING:
    from collections.abc import Sequence

    from workload import Arrival, Fault, Scenario

# Combination name -> `routing` setting of the entries, `admission` of the agents.
COMBINATIONS = {
    "policy": ("power_of_two", "fair_shares"),
    "first_come": ("power_of_two", "first_come"),
    "round_robin": ("round_robin", "fair_shares"),
    "random": ("random", "fair_shares"),
    "least_reported": ("least_reported", "fair_shares"),
}
# Prefill time that a runner saves when the prefix of a prompt is in its cache.
_PREFILL_S = 0.2
# Prompt prefixes that the cache of a runner holds.
_CACHED_PREFIXES = 8


class ScenarioFleet(Fleet):
    """Fleet of a scenario that uses one combination of policies."""

    def __init__(self, scenario: Scenario, combination: str, folder: Path) -> None:
        spec = FleetSpec(
            entries=scenario.entries,
            model_runners=scenario.agents,
            booking_runners=0,
            slots=scenario.slots,
            token_interval_s=scenario.token_s,
            prefill_s=_PREFILL_S if _has_prefixes(scenario) else 0.0,
            drain_timeout_s=0.5,
        )
        super().__init__(spec, folder)
        self._scenario = scenario
        self._routing, self._admission = COMBINATIONS[combination]

    def initial_document(self) -> dict[str, Any]:
        """Return the document with the priorities and teams of the scenario."""
        document = super().initial_document()
        document["priorities"] = [
            {
                "name": priority.name,
                "first_token_target_s": priority.target_s,
                "finish_target_s": 10 * priority.target_s,
                "worth": priority.worth,
                "reserved_share": priority.reserved_share,
            }
            for priority in self._scenario.priorities
        ]
        default_priority = self._scenario.priorities[0].name
        document["teams"] = [
            {
                "id": team,
                "key_sha256": hashlib.sha256(_bearer_key(team).encode()).hexdigest(),
                "default_priority": default_priority,
                "max_in_flight": 100_000,
            }
            for team in sorted({load.team for load in self._scenario.loads})
        ]
        return document

    def _add_daemon(self, name: str, role: str, section: dict[str, str]) -> None:
        policy = (
            {"routing": self._routing}
            if role == "entry"
            else {"admission": self._admission}
        )
        super()._add_daemon(name, role, {**section, **policy})

    async def inject(self, fault: Fault) -> None:
        """Inject one fault into the running fleet."""
        match fault.kind:
            case "slow":
                runner = self.model_upstreams[fault.index]
                interval_s = self._scenario.token_s * fault.factor
                await self.control_runner(runner, {"token_interval_s": interval_s})
            case "agent_gone":
                self.processes[f"agent-{self.model_upstreams[fault.index]}"].kill()
            case "entry_gone":
                self.processes[self.entries[-1]].kill()
            case unknown_kind:
                raise ValueError(f"unknown fault kind: {unknown_kind}")

    async def control_runner(self, runner: str, change: dict[str, Any]) -> None:
        """Change the token interval or the cache size of a model runner."""
        body = msgspec.json.encode(change)
        request = HttpRequest("POST", "/control", {}, body)
        await fetch(self.runners[runner], request, 5.0)


def run_once(
    scenario: Scenario, combination: str, seed: int, teams: Sequence[str] | None = None
) -> dict[str, float]:
    """Start a fleet, run the scenario once, stop the fleet, return the figures."""
    return asyncio.run(_run(scenario, combination, seed, teams))


async def _run(
    scenario: Scenario, combination: str, seed: int, teams: Sequence[str] | None
) -> dict[str, float]:
    samples = [Sample(arrival) for arrival in arrivals(scenario, seed, teams)]
    with tempfile.TemporaryDirectory(prefix="sardineyard-scenario-") as folder:
        async with ScenarioFleet(scenario, combination, Path(folder)) as fleet:
            if _has_prefixes(scenario):
                for runner in fleet.model_upstreams:
                    await fleet.control_runner(
                        runner, {"cache_prefixes": _CACHED_PREFIXES}
                    )
            start = time.monotonic()
            async with asyncio.TaskGroup() as group:
                faults = [
                    group.create_task(_inject(fleet, fault, start))
                    for fault in scenario.faults
                ]
                calls = []
                for number, sample in enumerate(samples):
                    await _sleep_until(start + sample.arrival.at_s)
                    calls.append(
                        group.create_task(
                            _send_with_retry(fleet, sample, number, start)
                        )
                    )
                await _sleep_until(start + scenario.seconds)
                # Requests still open after this timeout are cancelled, as their
                # deadlines are later.
                longest_target_s = max(
                    priority.target_s for priority in scenario.priorities[:2]
                )
                await asyncio.wait(calls, timeout=longest_target_s)
                for task in (*faults, *calls):
                    task.cancel()
    return measure(scenario, samples)


async def _sleep_until(at: float) -> None:
    delay = at - time.monotonic()
    if delay > 0:
        await asyncio.sleep(delay)


async def _inject(fleet: ScenarioFleet, fault: Fault, start: float) -> None:
    await _sleep_until(start + fault.at_s)
    await fleet.inject(fault)


async def _send_with_retry(
    fleet: ScenarioFleet, sample: Sample, number: int, start: float
) -> None:
    """Send one request and retry it once at another entry if the exchange fails."""
    entries = fleet.entries
    for attempt in range(2):
        entry = entries[(number + attempt) % len(entries)]
        try:
            async with asyncio.timeout(sample.arrival.timeout_s + 2.0):
                await _exchange(fleet, sample, entry, start)
        except (OSError, ResponseError, TimeoutError) as error:
            sample.error = type(error).__name__
            sample.first_token_s, sample.tokens = None, 0
            continue
        if sample.finished:
            sample.error = ""
        return


async def _exchange(
    fleet: ScenarioFleet, sample: Sample, entry: str, start: float
) -> None:
    arrival = sample.arrival
    request = _request(arrival)
    async with await ClientConnection.open(fleet.caller_address(entry)) as connection:
        await connection.send(request)
        head = await connection.receive_head()
        body = b""
        async for chunk in connection.receive_body():
            if head.status == 200:
                sample.last_s = time.monotonic() - start
                if sample.first_token_s is None:
                    sample.first_token_s = sample.last_s - arrival.at_s
                # The finish reason and [DONE] are events, too, but hold no token.
                tokens = sample.tokens + chunk.count(b"data: ")
                sample.tokens = min(tokens, arrival.output_tokens)
            body += chunk
        if head.status == 200 and b"[DONE]" in body:
            sample.finished = True
        else:
            sample.error = str(head.status)


def _request(arrival: Arrival) -> HttpRequest:
    body = {
        "model": MODEL,
        "prompt": arrival.prompt,
        "max_tokens": arrival.output_tokens,
        "stream": True,
    }
    headers = {
        "authorization": f"Bearer {_bearer_key(arrival.team)}",
        "x-priority": arrival.priority,
        "x-timeout-ms": str(int(arrival.timeout_s * 1000)),
        "content-type": "application/json",
    }
    return HttpRequest("POST", "/v1/completions", headers, msgspec.json.encode(body))


def _bearer_key(team: str) -> str:
    return f"key of {team}".replace(" ", "-")


def _has_prefixes(scenario: Scenario) -> bool:
    return any(load.prefixes for load in scenario.loads)
