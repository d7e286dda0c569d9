"""Random walks of agents, callers and faults against a plain record of runs."""

from __future__ import annotations

from collections import Counter
from random import Random

import pytest

from sardineyard.core.errors import Outcome
from sardineyard.standins.key_model import Mechanism
from sardineyard.standins.key_world import World


def _faults(
    seeds: range, without: Mechanism | None
) -> tuple[list[str], Counter[Outcome]]:
    outcomes: Counter[Outcome] = Counter()
    for seed in seeds:
        world = World(Random(seed), without)
        world.walk(2000)
        outcomes += world.outcomes
        if world.faults:
            return [f"seed {seed}: {fault}" for fault in world.faults], outcomes
    return [], outcomes


def test_no_key_runs_twice_and_none_that_ran_is_called_not_run() -> None:
    """Guards against an interleaving of faults that breaks the promise."""
    faults, outcomes = _faults(range(60), None)
    assert faults == []
    # A walk that refuses everything would prove nothing.
    assert min(outcomes[each] for each in Outcome) > 100, outcomes


@pytest.mark.parametrize("without", Mechanism)
def test_the_walk_finds_a_fault_without_each_mechanism(without: Mechanism) -> None:
    """Guards against a walk too weak to need the floor, the lease and the rule."""
    faults, _ = _faults(range(60), without)
    assert faults
