"""Input and decisions of the admission queue."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sardineyard.core.clock import Deadline
    from sardineyard.core.errors import ErrorKind
    from sardineyard.core.ids import PriorityName, RequestId, TeamId


@dataclass(frozen=True, slots=True)
class PriorityRule:
    """Configuration of one priority; rules are ordered by urgency, highest first."""

    name: PriorityName
    # Target time to first token, in seconds.
    first_token_target_s: float
    # Fraction of the capacity guaranteed under overload by other priorities.
    reserved_share: float = 0.0


@dataclass(frozen=True, slots=True)
class Work:
    """One request for a slot of the upstream."""

    request_id: RequestId
    team: TeamId
    priority: PriorityName
    deadline: Deadline
    input_tokens: int = 0
    # Upper bound of the output; 1 for service calls, which produce no tokens.
    max_output_tokens: int = 1


@dataclass(frozen=True, slots=True)
class Queued:
    """Decision to queue the work until `start_next` returns it."""

    work: Work


@dataclass(frozen=True, slots=True)
class Started:
    """Decision to start the work, which now holds a slot."""

    work: Work


@dataclass(frozen=True, slots=True)
class Refused:
    """Decision to reject or drop the work without running it."""

    work: Work
    kind: ErrorKind


@dataclass(frozen=True, slots=True)
class QueueLimits:
    """Limits on concurrency, queue length and memory."""

    slots: int = 32
    # Queue length above which work is refused to teams that have reached their quota.
    max_queued: int = 2_000
    # Number of idle teams per priority whose token counters are retained.
    max_idle_teams: int = 1_024
    # Slots kept free for each more urgent priority above its mean use, in multiples
    # of the square root of that use: its standard deviation under Poisson arrivals.
    headroom: float = 0.5
