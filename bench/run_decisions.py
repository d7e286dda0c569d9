"""Run one scenario on the routing and admission libraries alone."""

from __future__ import annotations

from typing import TYPE_CHECKING

from decisions import Simulation
from workload import arrivals, measure

if TYPE_CHECKING:
    from workload import Scenario


def run_once(scenario: Scenario, combination: str, seed: int) -> dict[str, float]:
    """Return the figures of one simulated run.

    Teams listed in `alone` are compared with a run without the other teams.
    """
    requests = arrivals(scenario, seed)
    figures = measure(scenario, Simulation(scenario, requests, combination, seed).run())
    if scenario.alone:
        isolated_requests = arrivals(scenario, seed, scenario.alone)
        isolated_figures = measure(
            scenario, Simulation(scenario, isolated_requests, combination, seed).run()
        )
        compare_with_isolated(scenario, figures, isolated_figures)
    return figures


def compare_with_isolated(
    scenario: Scenario, figures: dict[str, float], isolated_figures: dict[str, float]
) -> None:
    """Replace the small teams' figures by their lowest ratio to the isolated run."""
    ratios = []
    for team in scenario.alone:
        with_others = figures.pop(f"team {team}")
        isolated = isolated_figures[f"team {team}"]
        ratios.append(with_others / isolated if isolated else 0.0)
    figures["least small team"] = min(ratios)
