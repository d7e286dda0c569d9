"""Control messages of a session between an entry and an agent."""

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
    """First message of a session; identifies the entry."""

    process: ProcessId
    incarnation: Incarnation
    failure_domain: FailureDomain


@dataclass(frozen=True, slots=True)
class Welcome:
    """Reply to a `Hello`; identifies the upstream and the agent's incarnation."""

    upstream: UpstreamId
    incarnation: Incarnation


@dataclass(frozen=True, slots=True)
class Ping:
    """Liveness check that requests the load of the agent."""

    sequence: int


@dataclass(frozen=True, slots=True)
class Pong:
    """Reply to a `Ping` with the load of the agent."""

    sequence: int
    load: LoadReport


@dataclass(frozen=True, slots=True)
class CancelCall:
    """Cancellation of a call whose caller no longer waits."""

    request_id: RequestId
