"""Outcome of a change that an earlier coordinator may have left open."""

from __future__ import annotations

from enum import Enum, unique
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from sardineyard.experts.orders import Change, RunnerState


@unique
class Resolution(Enum):
    """Say what has to happen to a change that was found."""

    NOTHING = "nothing"
    COMMIT = "commit"
    ABORT = "abort"


def resolve(states: Sequence[RunnerState]) -> tuple[Resolution, Change | None]:
    """Decide from the states of all members, each read under the same promise."""
    in_use = {state.in_use.version for state in states if state.in_use is not None}
    decided = [
        state.decided
        for state in states
        if state.decided is not None and state.decided.map.version not in in_use
    ]
    if decided:
        everywhere = len(decided) == len(states)
        return (
            Resolution.NOTHING if everywhere else Resolution.COMMIT,
            decided[0],
        )
    prepared = [state.prepared for state in states if state.prepared is not None]
    if not prepared:
        return Resolution.NOTHING, None
    same = len({change.number for change in prepared}) == 1
    if same and len(prepared) == len(states):
        return Resolution.COMMIT, prepared[0]
    return Resolution.ABORT, None
