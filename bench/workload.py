"""Scenarios, the requests that they produce, and the measures of a run."""

from __future__ import annotations

import random
import statistics
from collections import defaultdict
from pathlib import Path
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

SCENARIOS = Path(__file__).parent / "scenarios"
# Estimates have settled and the sessions are open after this time.
WARM_UP_S = 1.5


class PriorityPart(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Describe one priority of a scenario, most urgent first."""

    name: str
    target_s: float
    worth: float
    reserved_share: float = 0.0


class Load(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Describe one stream of requests with Poisson arrivals."""

    team: str
    priority: str
    # Offered work as a multiple of the capacity of all slots.
    capacity_share: float
    output_tokens: int
    timeout_s: float
    from_s: float = 0.0
    until_s: float = 1e9
    # Shared prompt prefixes to draw from; zero makes every prompt unique.
    prefixes: int = 0


class Fault(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Describe one fault: slow, agent_gone, entry_gone or stale."""

    kind: str
    at_s: float
    index: int = 0
    factor: float = 1.0


class Scenario(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Describe a fleet, its load and its faults."""

    name: str
    about: str
    seconds: float
    priorities: list[PriorityPart]
    loads: list[Load]
    compare: list[str]
    entries: int = 2
    agents: int = 3
    slots: int = 6
    token_s: float = 0.025
    # Start of the window that the measures of a flood or fault cover.
    during_s: float = 0.0
    faults: list[Fault] = []
    # Teams whose service is also measured without the others.
    alone: list[str] = []
    report_lag_s: float = 0.0


class Arrival(msgspec.Struct, frozen=True):
    """Hold one request of the load."""

    at_s: float
    team: str
    priority: str
    output_tokens: int
    timeout_s: float
    prompt: str


class Sample(msgspec.Struct):
    """Hold what happened to one request."""

    arrival: Arrival
    first_token_s: float | None = None
    finished: bool = False
    # Tokens received and when the last one came.
    tokens: int = 0
    last_s: float = 0.0
    # Error kind when it was refused or failed.
    error: str = ""


def load_scenario(name: str) -> Scenario:
    """Read one scenario by its name."""
    path = SCENARIOS / f"{name}.json"
    return msgspec.json.decode(path.read_bytes(), type=Scenario)


def capacity_tokens_per_s(scenario: Scenario) -> float:
    """Return the output that all slots together can produce."""
    return scenario.agents * scenario.slots / scenario.token_s


def arrivals(
    scenario: Scenario, seed: int, teams: Sequence[str] | None = None
) -> list[Arrival]:
    """Return the requests of a run in order; the same seed gives the same ones.

    With a list of teams, the requests of the others are left out and those of
    the listed ones stay as they are.
    """
    found = []
    for number, load in enumerate(scenario.loads):
        rng = random.Random(f"{seed}/{number}")
        rate = load.capacity_share * capacity_tokens_per_s(scenario)
        rate /= load.output_tokens
        at = load.from_s + rng.expovariate(rate)
        while at < min(load.until_s, scenario.seconds):
            if teams is None or load.team in teams:
                found.append(_arrival(load, at, rng))
            at += rng.expovariate(rate)
    return sorted(found, key=lambda arrival: arrival.at_s)


def _arrival(load: Load, at: float, rng: random.Random) -> Arrival:
    unique = f"{rng.getrandbits(64):016x}"
    prompt = f"{unique} question"
    if load.prefixes:
        # Longer than the part of a prompt that stands for its prefix.
        shared = f"system prompt {rng.randrange(load.prefixes)} ".ljust(300, "x")
        prompt = f"{shared} {unique}"
    return Arrival(
        at, load.team, load.priority, load.output_tokens, load.timeout_s, prompt
    )


def measure(scenario: Scenario, samples: Iterable[Sample]) -> dict[str, float]:
    """Return the figures of one run by name."""
    targets = {part.name: part for part in scenario.priorities}
    before: dict[str, list[bool]] = defaultdict(list)
    during: dict[str, list[bool]] = defaultdict(list)
    teams: dict[str, list[bool]] = defaultdict(list)
    tokens: dict[str, float] = defaultdict(float)
    waits: dict[str, list[float]] = defaultdict(list)
    worth = 0.0
    figures: dict[str, float] = {}
    start = max(scenario.during_s, WARM_UP_S)
    for sample in samples:
        arrival = sample.arrival
        tokens[arrival.priority] += _tokens_within(sample, start, scenario.seconds)
        if arrival.at_s < WARM_UP_S:
            continue
        part = targets[arrival.priority]
        if _is_undecided(sample, part, scenario.seconds):
            continue
        met = not sample.error and (sample.first_token_s or 1e9) <= part.target_s
        if arrival.at_s < scenario.during_s:
            before[arrival.priority].append(met)
            continue
        during[arrival.priority].append(met)
        teams[arrival.team].append(met)
        if sample.first_token_s is not None:
            waits[arrival.priority].append(sample.first_token_s)
        worth += part.worth * met
    seconds = scenario.seconds - start
    capacity = capacity_tokens_per_s(scenario) * seconds
    for part in scenario.priorities:
        if not during[part.name]:
            continue
        figures[f"in target {part.name}"] = _share(during[part.name])
        share_before = _share(before[part.name])
        if share_before:
            kept = _share(during[part.name]) / share_before
            figures[f"kept {part.name}"] = kept
        if waits[part.name]:
            median = statistics.median(waits[part.name])
            figures[f"first token {part.name}"] = median
        figures[f"capacity {part.name}"] = tokens[part.name] / capacity
    for team in scenario.alone:
        figures[f"team {team}"] = _share(teams[team])
    figures["worth/s"] = worth / seconds
    figures["goodput"] = sum(tokens.values()) / capacity
    return figures


def _is_undecided(sample: Sample, part: PriorityPart, end: float) -> bool:
    """Return whether a request still waited inside its target when the run ended."""
    waits = sample.first_token_s is None and not sample.error
    return waits and sample.arrival.at_s + part.target_s > end


def _tokens_within(sample: Sample, start: float, end: float) -> float:
    """Return the output in a window; the output of a failed request is no use."""
    if sample.error or sample.first_token_s is None:
        return 0.0
    first_s = sample.arrival.at_s + sample.first_token_s
    took = max(sample.last_s - first_s, 1e-9)
    inside = min(sample.last_s, end) - max(first_s, start)
    return sample.tokens * min(1.0, max(0.0, inside / took))


def _share(met: Sequence[bool]) -> float:
    return sum(met) / len(met) if met else 0.0


def summary(runs: Sequence[dict[str, float]]) -> dict[str, list[float]]:
    """Return median, lowest and highest value of each figure."""
    found: dict[str, list[float]] = {}
    for run in runs:
        for name, value in run.items():
            found.setdefault(name, []).append(value)
    return {
        name: [
            round(value, 4)
            for value in (statistics.median(values), min(values), max(values))
        ]
        for name, values in found.items()
    }
