"""Requests to the key table and its decisions."""

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
    """Say what the table knows about the call of a key."""

    RUNNING = "running"
    RAN = "ran"
    UNKNOWN = "unknown"
    SURRENDERED = "surrendered"


@dataclass(frozen=True, slots=True)
class StoredAnswer:
    """Hold the answer of a call for later attempts with the same key."""

    status: int
    content_type: str
    body: bytes


@dataclass(frozen=True, slots=True)
class Ticket:
    """Name one permission to run a key; a later permission has another number."""

    scoped: ScopedKey
    number: int


@dataclass(frozen=True, slots=True)
class Attempt:
    """Ask to run a call with a key."""

    scoped: ScopedKey
    fingerprint: Fingerprint
    deadline: Deadline
    # The incarnation for which the entry made the attempt.
    incarnation: Incarnation


@dataclass(frozen=True, slots=True)
class Run:
    """Let the call go to the runner, after the check before its first byte."""

    ticket: Ticket


@dataclass(frozen=True, slots=True)
class AskPrevious:
    """Ask every previous owner first; the call runs only when all give it up."""

    ticket: Ticket
    owners: tuple[UpstreamId, ...]
    question: SurrenderQuestion


@dataclass(frozen=True, slots=True)
class Join:
    """Wait for the attempt that runs already."""

    ticket: Ticket


@dataclass(frozen=True, slots=True)
class Replay:
    """Give the stored answer."""

    answer: StoredAnswer


@dataclass(frozen=True, slots=True)
class Refuse:
    """End the attempt with an error."""

    error: RequestError


Decision = Run | AskPrevious | Join | Replay | Refuse


@dataclass(frozen=True, slots=True)
class Finish:
    """Report how the call of a ticket ended; only `RAN` carries an answer."""

    ticket: Ticket
    outcome: Outcome
    answer: StoredAnswer | None = None


@unique
class SurrenderState(Enum):
    """Say what a previous owner knows about a key."""

    RAN = "ran"
    NEVER_RUNS = "never_runs"
    RUNNING = "running"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class SurrenderQuestion:
    """Ask a previous owner to give up a key."""

    scoped: ScopedKey
    # When the attempt arrived at the asker, by the asker's clock. The age of an
    # untimed key counts from then, not from the arrival of this question.
    arrival: WallTime


@dataclass(frozen=True, slots=True)
class SurrenderAnswer:
    """Answer a new owner; `RAN` carries the answer while it is kept."""

    state: SurrenderState
    answer: StoredAnswer | None = None
    # The fingerprint of the call that ran with the key.
    fingerprint: Fingerprint | None = None
