"""Run the scenarios on the decision libraries alone and print their figures."""

from __future__ import annotations

import argparse
from typing import TYPE_CHECKING

from decisions import Run
from workload import SCENARIOS, arrivals, load_scenario, measure, summary

if TYPE_CHECKING:
    from workload import Scenario


def run_once(scenario: Scenario, combination: str, seed: int) -> dict[str, float]:
    """Return the figures of one simulated run, with teams relative to alone."""
    figures = measure(
        scenario,
        Run(scenario, arrivals(scenario, seed), combination, seed).samples(),
    )
    if scenario.alone:
        calm = arrivals(scenario, seed, scenario.alone)
        alone = measure(scenario, Run(scenario, calm, combination, seed).samples())
        for team in scenario.alone:
            name = f"team {team}"
            figures[name] = figures[name] / alone[name] if alone[name] else 0.0
        figures["least of small teams"] = min(
            figures.pop(f"team {team}") for team in scenario.alone
        )
    return figures


def main() -> None:
    """Run the named scenarios, or all of them."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("names", nargs="*")
    parser.add_argument("--runs", type=int, default=5)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    names = options.names or sorted(path.stem for path in SCENARIOS.glob("*.json"))
    print(f"seeds {options.seed} to {options.seed + options.runs - 1}")
    for name in names:
        scenario = load_scenario(name)
        print(f"\n{name}: {scenario.about}")
        for combination in scenario.compare:
            runs = [
                run_once(scenario, combination, options.seed + number)
                for number in range(options.runs)
            ]
            cells = (
                f"{figure}={values[0]:.3f} [{values[1]:.3f} {values[2]:.3f}]"
                for figure, values in summary(runs).items()
            )
            print(f"  {combination:15} " + "  ".join(cells))


if __name__ == "__main__":
    main()
