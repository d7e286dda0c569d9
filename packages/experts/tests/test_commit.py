"""Tests of the commit protocol over random interleavings and faults."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

import pytest

from sardineyard.experts import coordinator, ranks
from sardineyard.experts.coordinator import Coordinator, Phase
from sardineyard.experts.orders import (
    Abort,
    Commit,
    OrderReply,
    Prepare,
    Read,
    Refusal,
)
from sardineyard.experts.participant import Participant
from sardineyard.experts.recovery import resolve

if TYPE_CHECKING:
    from collections.abc import Callable

Patch = pytest.MonkeyPatch


@pytest.mark.parametrize("ignores_numbers", [False, True])
def test_no_step_has_two_maps_and_the_group_makes_progress(
    explore, ignores_numbers
) -> None:
    """Guards against two maps in a step, decreasing numbers and a blocked group."""
    assert explore(range(400), ignores_numbers) > 400


def accept_any_number(patch: Patch) -> None:
    """Disable the check of fencing numbers."""
    patch.setattr(ranks, "number_refusal", lambda order, promised: None)


def forget_promises_of_ranks(patch: Patch) -> None:
    """Keep promises in the agent only, so that they are lost when it restarts."""
    check = Participant.check
    patch.setattr(
        Participant,
        "check",
        lambda self, order, state: check(
            self, order, replace(state, promised=self.promised)
        ),
    )


def begin_steps_before_the_decision(patch: Patch) -> None:
    """Let prepared ranks begin steps instead of waiting for the decision."""
    patch.setattr(
        ranks, "may_begin", lambda state: state.in_use or ranks._is_due(state)
    )


def commit_with_a_majority(patch: Patch) -> None:
    """Commit when two of three members have prepared."""
    receive = Coordinator.receive

    def receive_early(self, member, reply):
        orders = receive(self, member, reply)
        if self.phase is Phase.PREPARING and len(self._waiting) == 1:
            for missing in self._waiting:
                change = reply.state.prepared or reply.state.decided
                state = self._states[missing]
                self._states[missing] = replace(state, prepared=change)
            return self._commit()
        return orders

    patch.setattr(Coordinator, "receive", receive_early)


def forget_decided_changes(patch: Patch) -> None:
    """Recover without checking whether a member has already committed."""

    def resolve_prepared(states):
        return resolve([replace(state, decided=None) for state in states])

    patch.setattr(coordinator, "resolve", resolve_prepared)


def abort_any_change(patch: Patch) -> None:
    """Let an abort drop any prepared change, not only its target."""
    follow = ranks.follow

    def drop(order, state):
        if isinstance(order, Abort) and state.prepared is not None:
            order = replace(order, target=state.prepared.number)
        return follow(order, state)

    patch.setattr(ranks, "follow", drop)


def ignore_incarnations(patch: Patch) -> None:
    """Accept orders that were sent to an earlier incarnation of the ranks."""
    refusal_of = ranks.refusal_of

    def accept(order, state):
        refusal = refusal_of(order, state)
        if refusal is Refusal.OTHER_INCARNATION:
            return refusal_of(replace(order, incarnation=state.incarnation), state)
        return refusal

    patch.setattr(ranks, "refusal_of", accept)
    patch.setattr(Participant, "answer", _answer_any_incarnation)


def _answer_any_incarnation(self, order, refusal, state):
    if state is None:
        return OrderReply(order, Refusal.RUNNER_LOST, None)
    return OrderReply(order, refusal, state)


MUTANTS: list[tuple[Callable[[Patch], None], bool]] = [
    (accept_any_number, False),
    (accept_any_number, True),
    (begin_steps_before_the_decision, False),
    (commit_with_a_majority, False),
    (forget_decided_changes, False),
]


@pytest.mark.parametrize(("mutant", "ignores_numbers"), MUTANTS)
def test_the_simulation_detects_a_disabled_rule(
    explore, unsafe, monkeypatch, mutant, ignores_numbers
) -> None:
    """Guards against a simulation that no longer reaches the failing schedules."""
    mutant(monkeypatch)
    with pytest.raises(unsafe) as failure:
        explore(range(1500), ignores_numbers, maps_only=True)
    print(mutant.__name__, ignores_numbers, failure.value, failure.value.__notes__)


def late_abort(world) -> None:
    """Duplicate an abort after the same coordinator has prepared its next change."""
    first, second, _ = world.runners
    world.coordinate(first)
    world.drain()
    world.coordinate(first, steps_ahead=1)
    world.drain(held=lambda m: m[1] != second)
    world.network.clear()
    world.coordinate(first)
    world.drain()
    world.coordinate(first, steps_ahead=1)
    world.drain(held=lambda m: isinstance(m[3], Commit))
    world.deliver_duplicate(Abort, second, first)


def prepare_after_restart(world) -> None:
    """Let orders of a superseded coordinator reach a restarted runner."""
    first, second, third = world.runners
    world.coordinate(first)
    world.drain()
    world.coordinate(first, steps_ahead=0)
    world.drain(held=lambda m: m[1] == third)
    world.coordinate(second)
    world.drain(held=lambda m: not isinstance(m[3], Read))
    world.coordinate(second)
    world.drain(held=lambda m: not isinstance(m[3], Read))
    assert any(isinstance(m[3], Abort) for m in world.network)
    world.crash(third)
    world.restart_ranks(third)
    world.deliver_duplicate(Read, third, first)
    world.drain(held=lambda m: isinstance(m[3], Abort))


def orders_after_agent_restart(world) -> None:
    """Duplicate all orders of an aborted change to a restarted agent."""
    first, second, third = world.runners
    world.coordinate(first)
    world.drain()
    world.coordinate(first, steps_ahead=2)
    world.drain(held=lambda m: isinstance(m[3], Commit))
    world.restart_ranks(third)
    for _ in range(2):
        world.coordinate(second)
        world.drain(held=lambda m: isinstance(m[3], Commit))
    world.coordinate(second, steps_ahead=5)
    world.drain(held=lambda m: isinstance(m[3], Commit) or m[1] == first)
    world.crash(first)
    for order in (Read, Prepare, Commit):
        world.deliver_duplicate(order, first, first)


SCHEDULES: list[tuple[Callable[..., None], Callable[[Patch], None], bool]] = [
    (late_abort, abort_any_change, False),
    (prepare_after_restart, ignore_incarnations, False),
    (orders_after_agent_restart, forget_promises_of_ranks, True),
]


@pytest.mark.parametrize(("schedule", "mutant", "ignores_numbers"), SCHEDULES)
def test_rare_schedules_detect_a_disabled_rule(
    make_world, unsafe, monkeypatch, schedule, mutant, ignores_numbers
) -> None:
    """Guards against faults that random schedules seldom reach."""

    def run() -> None:
        world = make_world(ignores_numbers)
        world.checks_monotonic = False
        schedule(world)
        world.drain()
        for _ in range(9):
            world.step()
        world.check_progress()

    run()
    mutant(monkeypatch)
    with pytest.raises(unsafe):
        run()
