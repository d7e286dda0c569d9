"""Scenario files, the requests that they generate, and the figures of a run."""

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
# Sessions open and load estimates settle in this time; figures leave it out.
WARM_UP_S = 1.5


class ScenarioPriority(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Priority of a scenario, which lists the most urgent one first."""

    name: str
    target_s: float
    worth: float
    reserved_share: float = 0.0


class Load(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Requests of one team and priority with Poisson arrivals."""

    team: str
    priority: str
    # Offered load as a multiple of the capacity of all slots.
    capacity_share: float
    output_tokens: int
    timeout_s: float
    from_s: float = 0.0
    until_s: float = 1e9
    # Number of shared prompt prefixes to draw from; 0 makes every prompt unique.
    prefixes: int = 0


class Fault(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Fault of a scenario; its kind is slow, agent_gone or entry_gone."""

    kind: str
    at_s: float
    index: int = 0
    factor: float = 1.0


class Scenario(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Fleet, load and faults of a scenario, and the policies that it compares."""

    name: str
    about: str
    seconds: float
    priorities: list[ScenarioPriority]
    loads: list[Load]
    compare: list[str]
    entries: int = 2
    agents: int = 3
    slots: int = 6
    token_s: float = 0.025
    # Start of the window in which the effect of a flood or fault is measured.
    during_s: float = 0.0
    faults: list[Fault] = []
    # Teams that are also measured in a run without the other teams.
    alone: list[str] = []
    report_lag_s: float = 0.0


class Arrival(msgspec.Struct, frozen=True):
    """Request of the generated load."""

    at_s: float
    team: str
    priority: str
    output_tokens: int
    timeout_s: float
    prompt: str


class Sample(msgspec.Struct):
    """Outcome of one request."""

    arrival: Arrival
    first_token_s: float | None = None
    finished: bool = False
    # Tokens received, and the time of the last one since the start of the run.
    tokens: int = 0
    last_s: float = 0.0
    # Error kind, HTTP status or exception name if it was refused or failed.
    error: str = ""


def load_scenario(name: str) -> Scenario:
    """Read one scenario by its name."""
    path = SCENARIOS / f"{name}.json"
    return msgspec.json.decode(path.read_bytes(), type=Scenario)


def capacity_tokens_per_s(scenario: Scenario) -> float:
    """Return the token rate that all slots together can generate."""
    return scenario.agents * scenario.slots / scenario.token_s


def arrivals(
    scenario: Scenario, seed: int, teams: Sequence[str] | None = None
) -> list[Arrival]:
    """Return the requests of a run by arrival time; a seed always gives the same ones.

    Given a list of teams, only the requests of these teams are returned, unchanged.
    """
    requests = []
    for number, load in enumerate(scenario.loads):
        rng = random.Random(f"{seed}/{number}")
        rate = load.capacity_share * capacity_tokens_per_s(scenario)
        rate /= load.output_tokens
        at = load.from_s + rng.expovariate(rate)
        while at < min(load.until_s, scenario.seconds):
            if teams is None or load.team in teams:
                requests.append(_arrival(load, at, rng))
            at += rng.expovariate(rate)
    return sorted(requests, key=lambda arrival: arrival.at_s)


def _arrival(load: Load, at: float, rng: random.Random) -> Arrival:
    unique = f"{rng.getrandbits(64):016x}"
    prompt = f"{unique} question"
    if load.prefixes:
        # Longer than the 256 characters that routing and caches treat as the prefix.
        shared = f"system prompt {rng.randrange(load.prefixes)} ".ljust(300, "x")
        prompt = f"{shared} {unique}"
    return Arrival(
        at, load.team, load.priority, load.output_tokens, load.timeout_s, prompt
    )


def measure(scenario: Scenario, samples: Iterable[Sample]) -> dict[str, float]:
    """Return the figures of one run by their names."""
    priorities_by_name = {priority.name: priority for priority in scenario.priorities}
    met_before: dict[str, list[bool]] = defaultdict(list)
    met_during: dict[str, list[bool]] = defaultdict(list)
    met_by_team: dict[str, list[bool]] = defaultdict(list)
    tokens_by_priority: dict[str, float] = defaultdict(float)
    first_token_times: dict[str, list[float]] = defaultdict(list)
    worth = 0.0
    figures: dict[str, float] = {}
    start = max(scenario.during_s, WARM_UP_S)
    for sample in samples:
        arrival = sample.arrival
        tokens_by_priority[arrival.priority] += _tokens_within(
            sample, start, scenario.seconds
        )
        if arrival.at_s < WARM_UP_S:
            continue
        priority = priorities_by_name[arrival.priority]
        if _is_undecided(sample, priority, scenario.seconds):
            continue
        met = not sample.error and (sample.first_token_s or 1e9) <= priority.target_s
        if arrival.at_s < scenario.during_s:
            met_before[arrival.priority].append(met)
            continue
        met_during[arrival.priority].append(met)
        met_by_team[arrival.team].append(met)
        if sample.first_token_s is not None:
            first_token_times[arrival.priority].append(sample.first_token_s)
        worth += priority.worth * met
    seconds = scenario.seconds - start
    capacity = capacity_tokens_per_s(scenario) * seconds
    for priority in scenario.priorities:
        if not met_during[priority.name]:
            continue
        figures[f"in target {priority.name}"] = _fraction_met(met_during[priority.name])
        fraction_before = _fraction_met(met_before[priority.name])
        if fraction_before:
            kept = _fraction_met(met_during[priority.name]) / fraction_before
            figures[f"kept {priority.name}"] = kept
        if first_token_times[priority.name]:
            median = statistics.median(first_token_times[priority.name])
            figures[f"first token {priority.name}"] = median
        figures[f"capacity {priority.name}"] = (
            tokens_by_priority[priority.name] / capacity
        )
    for team in scenario.alone:
        figures[f"team {team}"] = _fraction_met(met_by_team[team])
    figures["worth/s"] = worth / seconds
    figures["goodput"] = sum(tokens_by_priority.values()) / capacity
    return figures


def _is_undecided(sample: Sample, priority: ScenarioPriority, end: float) -> bool:
    """Return whether the run ended before a waiting request reached its target time."""
    is_waiting = sample.first_token_s is None and not sample.error
    return is_waiting and sample.arrival.at_s + priority.target_s > end


def _tokens_within(sample: Sample, start: float, end: float) -> float:
    """Return the tokens received in a window; those of failed requests do not count."""
    if sample.error or sample.first_token_s is None:
        return 0.0
    first_s = sample.arrival.at_s + sample.first_token_s
    duration_s = max(sample.last_s - first_s, 1e-9)
    overlap_s = min(sample.last_s, end) - max(first_s, start)
    return sample.tokens * min(1.0, max(0.0, overlap_s / duration_s))


def _fraction_met(met: Sequence[bool]) -> float:
    return sum(met) / len(met) if met else 0.0


def summarize(runs: Sequence[dict[str, float]]) -> dict[str, list[float]]:
    """Return the median, lowest and highest value of each figure."""
    values_by_name: dict[str, list[float]] = {}
    for run in runs:
        for name, value in run.items():
            values_by_name.setdefault(name, []).append(value)
    return {
        name: [
            round(value, 4)
            for value in (statistics.median(values), min(values), max(values))
        ]
        for name, values in values_by_name.items()
    }
