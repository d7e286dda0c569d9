"""Run one scenario on the decision libraries alone."""

from __future__ import annotations

from typing import TYPE_CHECKING

from decisions import Run
from workload import arrivals, measure

if TYPE_CHECKING:
    from workload import Scenario


def run_once(scenario: Scenario, combination: str, seed: int) -> dict[str, float]:
    """Return the figures of one simulated run, with teams relative to alone."""
    requests = arrivals(scenario, seed)
    figures = measure(scenario, Run(scenario, requests, combination, seed).samples())
    if scenario.alone:
        calm = arrivals(scenario, seed, scenario.alone)
        alone = measure(scenario, Run(scenario, calm, combination, seed).samples())
        compare_with_alone(scenario, figures, alone)
    return figures


def compare_with_alone(
    scenario: Scenario, figures: dict[str, float], alone: dict[str, float]
) -> None:
    """Replace the service of each small team by the least share of that alone."""
    shares = []
    for team in scenario.alone:
        together = figures.pop(f"team {team}")
        apart = alone[f"team {team}"]
        shares.append(together / apart if apart else 0.0)
    figures["least small team"] = min(shares)
