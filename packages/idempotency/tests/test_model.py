"""Random walks of a model of agents, callers and faults that counts the runs."""

from __future__ import annotations

from collections import Counter
from random import Random

import pytest

from sardineyard.core.errors import Outcome
from sardineyard.standins.key_simulation import KeySimulation
from sardineyard.standins.simulated_agent import Mechanism


def _faults(
    seeds: range, without: Mechanism | None
) -> tuple[list[str], Counter[Outcome]]:
    outcomes: Counter[Outcome] = Counter()
    for seed in seeds:
        world = KeySimulation(Random(seed), without)
        world.run_random_steps(2000)
        outcomes += world.outcomes
        if world.violations:
            return [f"seed {seed}: {fault}" for fault in world.violations], outcomes
    return [], outcomes


def test_no_key_runs_twice_and_none_that_ran_is_reported_as_not_run() -> None:
    """Guards against a sequence of faults that breaks the at-most-once guarantee."""
    violations, outcomes = _faults(range(60), None)
    assert violations == []
    # Every outcome has to occur: walks that refuse every attempt prove nothing.
    assert min(outcomes[each] for each in Outcome) > 100, outcomes


@pytest.mark.parametrize("without", Mechanism)
def test_the_walk_finds_a_fault_when_a_mechanism_is_disabled(
    without: Mechanism,
) -> None:
    """Guards against walks that never need the cutoff, the lease or the surrender."""
    violations, _ = _faults(range(60), without)
    assert violations
