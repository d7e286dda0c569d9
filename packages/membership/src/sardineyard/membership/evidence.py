"""Evidence about the state of upstreams, one message type for each source."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, unique
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sardineyard.core.ids import Incarnation, UpstreamId


@dataclass(frozen=True, slots=True)
class SessionUp:
    """Evidence that a session to an incarnation (one run) of an upstream is open."""

    upstream: UpstreamId
    incarnation: Incarnation


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Evidence that an incarnation replied to a ping, and whether it is draining."""

    upstream: UpstreamId
    incarnation: Incarnation
    draining: bool


@dataclass(frozen=True, slots=True)
class SessionDown:
    """Evidence that the session to an upstream was lost."""

    upstream: UpstreamId


@dataclass(frozen=True, slots=True)
class VmReport:
    """Evidence from the platform's VM list, which lags behind the VMs themselves."""

    live: frozenset[UpstreamId]
    leaving: frozenset[UpstreamId]


@dataclass(frozen=True, slots=True)
class ProcessPaused:
    """Evidence that the local process was paused and received nothing meanwhile."""

    # Duration of the pause, in seconds.
    paused_s: float


@unique
class VmState(Enum):
    """State of an upstream's VM according to the platform's VM list."""

    # No list has been read since the upstream was added.
    UNKNOWN = "unknown"
    LIVE = "live"
    LEAVING = "leaving"
    ABSENT = "absent"


Evidence = SessionUp | Heartbeat | SessionDown | VmReport | ProcessPaused
