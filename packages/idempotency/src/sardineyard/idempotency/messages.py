"""Inputs and decisions of the key table.

When the owner of a key changes, the new owner requests that each previous owner
surrender the key, that is, promise never to run it.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, unique
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sardineyard.core.clock import Deadline, WallTime
    from sardineyard.core.errors import Outcome, RequestError
    from sardineyard.core.ids import Fingerprint, Incarnation, UpstreamId
    from sardineyard.idempotency.keys import ScopedKey


@unique
class KeyState(Enum):
    """State of the call with a key, as the table knows it."""

    RUNNING = "running"
    RAN = "ran"
    UNKNOWN = "unknown"
    SURRENDERED = "surrendered"


@dataclass(frozen=True, slots=True)
class StoredResponse:
    """Response of a call, stored for later attempts with the same key."""

    status: int
    content_type: str
    body: bytes


@dataclass(frozen=True, slots=True)
class Ticket:
    """Permission to run the call of a key; each permission has its own number."""

    scoped: ScopedKey
    number: int


@dataclass(frozen=True, slots=True)
class Attempt:
    """Request to run a call with a key."""

    scoped: ScopedKey
    fingerprint: Fingerprint
    deadline: Deadline
    # Incarnation of the agent to which the entry sent the attempt.
    incarnation: Incarnation


@dataclass(frozen=True, slots=True)
class Run:
    """Run the call; `KeyTable.start` checks again just before its first byte."""

    ticket: Ticket


@dataclass(frozen=True, slots=True)
class QueryPreviousOwners:
    """Query the previous owners; the call runs only if all surrender the key."""

    ticket: Ticket
    owners: tuple[UpstreamId, ...]
    question: SurrenderQuery


@dataclass(frozen=True, slots=True)
class Join:
    """Wait for the result of the attempt that is already running."""

    ticket: Ticket


@dataclass(frozen=True, slots=True)
class Replay:
    """Return the stored response."""

    answer: StoredResponse


@dataclass(frozen=True, slots=True)
class Refuse:
    """Refuse the attempt with an error."""

    error: RequestError


Decision = Run | QueryPreviousOwners | Join | Replay | Refuse


@dataclass(frozen=True, slots=True)
class Finish:
    """Result of the call of a ticket; only `RAN` comes with a response."""

    ticket: Ticket
    outcome: Outcome
    answer: StoredResponse | None = None


@unique
class SurrenderState(Enum):
    """What a previous owner reports about a key."""

    RAN = "ran"
    NEVER_RUNS = "never_runs"
    RUNNING = "running"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class SurrenderQuery:
    """Request to a previous owner to surrender a key."""

    scoped: ScopedKey
    # Arrival of the attempt at the new owner, by the clock of the new owner. The age of
    # an untimed key counts from then, not from the arrival of this query.
    arrival: WallTime


@dataclass(frozen=True, slots=True)
class SurrenderResult:
    """Result of a surrender query; `RAN` includes the response while it is stored."""

    state: SurrenderState
    answer: StoredResponse | None = None
    # Fingerprint of the call that ran with the key.
    fingerprint: Fingerprint | None = None
