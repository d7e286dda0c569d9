"""Evidence about upstreams, one message type for each source."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, unique
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sardineyard.core.ids import Incarnation, UpstreamId


@dataclass(frozen=True, slots=True)
class SessionUp:
    """Say that an incarnation answers on a session."""

    upstream: UpstreamId
    incarnation: Incarnation


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Say that an incarnation answered a ping and whether it is draining."""

    upstream: UpstreamId
    incarnation: Incarnation
    draining: bool


@dataclass(frozen=True, slots=True)
class SessionDown:
    """Say that the session to an upstream was lost."""

    upstream: UpstreamId


@dataclass(frozen=True, slots=True)
class VmReport:
    """Say which upstreams the platform calls live or leaving; the list lags."""

    live: frozenset[UpstreamId]
    leaving: frozenset[UpstreamId]


@dataclass(frozen=True, slots=True)
class OwnPause:
    """Say that this process was paused."""

    paused_s: float


@unique
class VmState(Enum):
    """Say what the platform's list tells about the VM of an upstream."""

    UNKNOWN = "unknown"
    LIVE = "live"
    LEAVING = "leaving"
    ABSENT = "absent"


Evidence = SessionUp | Heartbeat | SessionDown | VmReport | OwnPause
