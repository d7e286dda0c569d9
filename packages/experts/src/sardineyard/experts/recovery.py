"""Recovery of a change that an earlier coordinator may have left unfinished."""

from __future__ import annotations

from enum import Enum, unique
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from sardineyard.experts.orders import Change, RunnerState


@unique
class Resolution(Enum):
    """Action for a change that was found on the members."""

    NOTHING = "nothing"
    COMMIT = "commit"
    ABORT = "abort"


def resolve(states: Sequence[RunnerState]) -> tuple[Resolution, Change | None]:
    """Return the action for an unfinished change, from the states of all members.

    All states must have been read with the same fencing number.
    """
    in_use = {state.in_use.version for state in states if state.in_use is not None}
    decided = [
        state.decided
        for state in states
        if state.decided is not None and state.decided.map.version not in in_use
    ]
    if decided:
        is_on_all_members = len(decided) == len(states)
        return (
            Resolution.NOTHING if is_on_all_members else Resolution.COMMIT,
            decided[0],
        )
    prepared = [state.prepared for state in states if state.prepared is not None]
    if not prepared:
        return Resolution.NOTHING, None
    is_one_change = len({change.number for change in prepared}) == 1
    if is_one_change and len(prepared) == len(states):
        return Resolution.COMMIT, prepared[0]
    return Resolution.ABORT, None
