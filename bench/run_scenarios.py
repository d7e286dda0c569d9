"""Run scenarios and compare the policies of the fleet with baseline policies."""

from __future__ import annotations

import argparse
from collections import defaultdict
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import TYPE_CHECKING

import fleet_run
import msgspec
import run_decisions
from workload import SCENARIOS, load_scenario, summarize

if TYPE_CHECKING:
    from concurrent.futures import Future

    from workload import Scenario

Figures = dict[str, float]


def main() -> None:
    """Run the named scenarios (default: all), print and write the figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("names", nargs="*")
    parser.add_argument("--runs", type=int, default=5)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--at-once", type=int, default=1, help="number of concurrent runs"
    )
    parser.add_argument(
        "--fast",
        action="store_true",
        help="simulate in virtual time, without processes",
    )
    parser.add_argument("--output", type=Path, help="JSON file for the figures")
    options = parser.parse_args()
    names = options.names or sorted(path.stem for path in SCENARIOS.glob("*.json"))
    seeds = [options.seed + number for number in range(options.runs)]
    mode = "decision libraries alone" if options.fast else "processes"
    print(f"{mode}, seeds {seeds}, {options.at_once} at once")
    summaries = {}
    for name in names:
        scenario = load_scenario(name)
        with ProcessPoolExecutor(options.at_once) as pool:
            results = run_scenario(scenario, seeds, pool, fast=options.fast)
        summaries[name] = {
            combination: summarize(runs) for combination, runs in results.items()
        }
        print_table(scenario, summaries[name])
        if options.output:
            result = {"form": mode, "seeds": seeds, "scenarios": summaries}
            options.output.write_bytes(
                msgspec.json.format(msgspec.json.encode(result)) + b"\n"
            )


def run_scenario(
    scenario: Scenario, seeds: list[int], pool: ProcessPoolExecutor, *, fast: bool
) -> dict[str, list[Figures]]:
    """Return the figures of every run by combination.

    The order of the combinations rotates with each seed, so that a temporary slowdown
    of the machine does not always affect the same one.
    """
    run = run_decisions.run_once if fast else run_on_processes
    futures_by_combination: dict[str, list[Future[Figures]]] = defaultdict(list)
    for index, seed in enumerate(seeds):
        offset = index % len(scenario.compare)
        for combination in scenario.compare[offset:] + scenario.compare[:offset]:
            futures_by_combination[combination].append(
                pool.submit(run, scenario, combination, seed)
            )
    return {
        name: [future.result() for future in futures_by_combination[name]]
        for name in scenario.compare
    }


def run_on_processes(scenario: Scenario, combination: str, seed: int) -> Figures:
    """Run once on processes, and again with only the `alone` teams if there are any."""
    try:
        figures = fleet_run.run_once(scenario, combination, seed)
    except TimeoutError:
        print(
            f"{scenario.name} {combination} seed {seed}: "
            "fleet did not start in time; retrying"
        )
        figures = fleet_run.run_once(scenario, combination, seed)
    if scenario.alone:
        isolated_figures = fleet_run.run_once(
            scenario, combination, seed, scenario.alone
        )
        run_decisions.compare_with_isolated(scenario, figures, isolated_figures)
    return figures


def print_table(scenario: Scenario, figures: dict[str, dict[str, list[float]]]) -> None:
    """Print the median, lowest and highest value of each figure."""
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
