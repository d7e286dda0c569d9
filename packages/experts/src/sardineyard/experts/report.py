"""Report of the ranks of one runner."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sardineyard.core.ids import RankIndex
    from sardineyard.experts.orders import RunnerState


@dataclass(frozen=True, slots=True)
class RankReport:
    """State and cumulative counters of the ranks of one runner.

    Counters never decrease within one incarnation, so a lost report loses no counts.
    """

    state: RunnerState
    first_rank: RankIndex
    # Cumulative busy time in seconds and tokens, for each rank of the runner.
    busy_s: tuple[float, ...]
    tokens: tuple[float, ...]
    # Cumulative tokens that the ranks of the runner processed for each expert.
    expert_tokens: tuple[float, ...]
    # Ranks that have not reached the step barrier, and ranks that are unavailable.
    late: tuple[RankIndex, ...] = ()
    lost: tuple[RankIndex, ...] = ()
