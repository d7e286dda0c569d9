"""Messages that keep a session between an entry and an agent alive."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sardineyard.core.ids import (
        FailureDomain,
        Incarnation,
        ProcessId,
        RequestId,
        UpstreamId,
    )
    from sardineyard.core.requests import LoadReport


@dataclass(frozen=True, slots=True)
class Hello:
    """Open a session and name the entry."""

    process: ProcessId
    incarnation: Incarnation
    failure_domain: FailureDomain


@dataclass(frozen=True, slots=True)
class Welcome:
    """Accept a session and name the incarnation of the agent."""

    upstream: UpstreamId
    incarnation: Incarnation


@dataclass(frozen=True, slots=True)
class Ping:
    """Ask for a sign of life and the load."""

    sequence: int


@dataclass(frozen=True, slots=True)
class Pong:
    """Answer a ping with the load of the agent."""

    sequence: int
    load: LoadReport


@dataclass(frozen=True, slots=True)
class CancelCall:
    """Stop a call whose caller no longer waits."""

    request_id: RequestId
