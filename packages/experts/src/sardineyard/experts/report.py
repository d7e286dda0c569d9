"""What the ranks of one runner report about themselves."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sardineyard.core.ids import RankIndex
    from sardineyard.experts.orders import RunnerState


@dataclass(frozen=True, slots=True)
class RankReport:
    """Hold the state and the counters of the ranks of one runner.

    Counters only grow within one incarnation, so a lost report costs nothing.
    """

    state: RunnerState
    first_rank: RankIndex
    # Busy seconds and tokens of each rank of the runner.
    busy_s: tuple[float, ...]
    tokens: tuple[float, ...]
    # Tokens that the ranks of the runner processed for each expert of the model.
    expert_tokens: tuple[float, ...]
    # Ranks that have not reached the barrier, and ranks that are gone.
    late: tuple[RankIndex, ...] = ()
    lost: tuple[RankIndex, ...] = ()
