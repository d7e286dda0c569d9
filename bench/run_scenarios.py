"""Run the scenarios against running processes, the policy and baselines in turn."""

from __future__ import annotations

import argparse
from collections import defaultdict
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import TYPE_CHECKING

import fleet_run
import msgspec
import run_decisions
from workload import SCENARIOS, load_scenario, summary

if TYPE_CHECKING:
    from concurrent.futures import Future

    from workload import Scenario

Figures = dict[str, float]


def main() -> None:
    """Run the named scenarios, or all of them, and print and write the figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("names", nargs="*")
    parser.add_argument("--runs", type=int, default=5)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--at-once", type=int, default=1, help="fleets that run at once"
    )
    parser.add_argument("--fast", action="store_true", help="without processes")
    parser.add_argument(
        "--output", type=Path, help="where to write the figures as JSON"
    )
    options = parser.parse_args()
    names = options.names or sorted(path.stem for path in SCENARIOS.glob("*.json"))
    seeds = [options.seed + number for number in range(options.runs)]
    form = "decision libraries alone" if options.fast else "processes"
    print(f"{form}, seeds {seeds}, {options.at_once} at once")
    written = {}
    for name in names:
        scenario = load_scenario(name)
        with ProcessPoolExecutor(options.at_once) as pool:
            found = run_scenario(scenario, seeds, pool, fast=options.fast)
        written[name] = {
            combination: summary(runs) for combination, runs in found.items()
        }
        print_table(scenario, written[name])
        if options.output:
            result = {"form": form, "seeds": seeds, "scenarios": written}
            options.output.write_bytes(
                msgspec.json.format(msgspec.json.encode(result)) + b"\n"
            )


def run_scenario(
    scenario: Scenario, seeds: list[int], pool: ProcessPoolExecutor, *, fast: bool
) -> dict[str, list[Figures]]:
    """Return the figures of every run by combination.

    The order of the combinations turns with each seed, so that a slow spell of the
    machine does not always hit the same one.
    """
    run = run_decisions.run_once if fast else run_with_alone
    started: dict[str, list[Future[Figures]]] = defaultdict(list)
    for turn, seed in enumerate(seeds):
        place = turn % len(scenario.compare)
        for combination in scenario.compare[place:] + scenario.compare[:place]:
            started[combination].append(pool.submit(run, scenario, combination, seed))
    return {name: [one.result() for one in started[name]] for name in scenario.compare}


def run_with_alone(scenario: Scenario, combination: str, seed: int) -> Figures:
    """Run once, and once more with the small teams alone if there are any."""
    try:
        figures = fleet_run.run_once(scenario, combination, seed)
    except TimeoutError:
        print(f"{scenario.name} {combination} {seed}: no start in time, once more")
        figures = fleet_run.run_once(scenario, combination, seed)
    if scenario.alone:
        alone = fleet_run.run_once(scenario, combination, seed, scenario.alone)
        run_decisions.compare_with_alone(scenario, figures, alone)
    return figures


def print_table(scenario: Scenario, figures: dict[str, dict[str, list[float]]]) -> None:
    """Print median, lowest and highest value of each figure."""
    print(f"\n{scenario.name}: {scenario.about}")
    names = list(next(iter(figures.values())))
    print(f"{'':24}" + "".join(f"{name:>26}" for name in figures))
    for name in names:
        cells = (
            "{:.3f} [{:.3f} {:.3f}]".format(*values.get(name, [0.0, 0.0, 0.0]))
            for values in figures.values()
        )
        print(f"{name:24}" + "".join(f"{cell:>26}" for cell in cells), flush=True)


if __name__ == "__main__":
    main()
