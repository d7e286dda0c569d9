"""State machine of the ranks of one runner: orders of the commit protocol, steps."""

from __future__ import annotations

from dataclasses import replace
from functools import singledispatch
from typing import TYPE_CHECKING

from sardineyard.core.ids import StepNumber
from sardineyard.experts.orders import Abort, Change, Commit, Prepare, Read, Refusal

if TYPE_CHECKING:
    from sardineyard.core.ids import FencingNumber
    from sardineyard.experts.orders import Order, RunnerState


def number_refusal(order: Order, promised: FencingNumber) -> Refusal | None:
    """Return the refusal of an order whose fencing number is not acceptable.

    A read needs a number above the promised one. Every other order needs the promised
    number itself: a coordinator with a greater one has not read these ranks.
    """
    if isinstance(order, Read):
        return Refusal.OLD_NUMBER if order.number <= promised else None
    return Refusal.OLD_NUMBER if order.number != promised else None


@singledispatch
def refusal_of(order: Order, state: RunnerState) -> Refusal | None:
    """Return the reason to refuse an order in a state, if any.

    Does not check the fencing number.
    """
    raise TypeError(f"unknown order {type(order).__name__}")


@refusal_of.register(Read)
def _(order: Read, state: RunnerState) -> Refusal | None:
    return None


@refusal_of.register(Prepare)
def _(order: Prepare, state: RunnerState) -> Refusal | None:
    if order.incarnation != state.incarnation:
        return Refusal.OTHER_INCARNATION
    if state.decided is not None:
        is_same_change = (
            state.decided.map == order.map and state.decided.step == order.step
        )
        return None if is_same_change else Refusal.CHANGE_PENDING
    if order.step < state.step:
        return Refusal.STEP_PASSED
    if state.in_use is None and order.base is None and order.step != state.step:
        return Refusal.NO_MAP
    return None


@refusal_of.register(Commit)
def _(order: Commit, state: RunnerState) -> Refusal | None:
    if order.incarnation != state.incarnation:
        return Refusal.OTHER_INCARNATION
    if state.prepared is not None and state.prepared.number == order.number:
        return None
    latest_map = state.decided.map if state.decided is not None else state.in_use
    if latest_map is not None and latest_map.version == order.version:
        return None
    return Refusal.NOT_PREPARED


@refusal_of.register(Abort)
def _(order: Abort, state: RunnerState) -> Refusal | None:
    if order.incarnation != state.incarnation:
        return Refusal.OTHER_INCARNATION
    return None


@singledispatch
def follow(order: Order, state: RunnerState) -> RunnerState:
    """Return the state after an accepted order."""
    raise TypeError(f"unknown order {type(order).__name__}")


@follow.register(Read)
def _(order: Read, state: RunnerState) -> RunnerState:
    return replace(state, promised=order.number)


@follow.register(Prepare)
def _(order: Prepare, state: RunnerState) -> RunnerState:
    if state.decided is not None:
        return state
    return replace(
        state,
        in_use=state.in_use or order.base,
        prepared=Change(order.number, order.map, order.step),
    )


@follow.register(Commit)
def _(order: Commit, state: RunnerState) -> RunnerState:
    if state.prepared is None or state.prepared.number != order.number:
        return state
    return replace(state, prepared=None, decided=state.prepared)


@follow.register(Abort)
def _(order: Abort, state: RunnerState) -> RunnerState:
    if state.prepared is None or state.prepared.number != order.target:
        return state
    return replace(state, prepared=None)


def may_begin(state: RunnerState) -> bool:
    """Return whether the ranks may begin their next step.

    Ranks that have prepared a change wait at its step until it is decided, and ranks
    without a map for the step wait until they receive one.
    """
    if state.prepared is not None and state.prepared.step <= state.step:
        return False
    return state.in_use is not None or _is_due(state)


def begin_step(state: RunnerState) -> RunnerState:
    """Return the state after the next step has begun with the map of that step."""
    step = StepNumber(state.step + 1)
    if state.decided is not None and _is_due(state):
        return replace(state, step=step, in_use=state.decided.map, decided=None)
    return replace(state, step=step)


def _is_due(state: RunnerState) -> bool:
    return state.decided is not None and state.decided.step <= state.step
