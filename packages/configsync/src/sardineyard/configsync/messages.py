"""Messages between the config sync tasks and their subscribers."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sardineyard.configsync.adoption import Source, Verdict
    from sardineyard.configsync.read_schedule import FleetView
    from sardineyard.core.address import Address
    from sardineyard.core.crashes import CrashCount
    from sardineyard.core.mailbox import Reply
    from sardineyard.document.model import Document
    from sardineyard.document.order import DocumentOrder
    from sardineyard.wire import peer_pb2 as pb


@dataclass(frozen=True, slots=True)
class DocumentAdopted:
    """Notification that a document is now in force in this process."""

    document: Document
    order: DocumentOrder
    raw: bytes


@dataclass(frozen=True, slots=True)
class DocumentOffered:
    """Document received from a source; the reply is None if it is invalid."""

    raw: bytes
    origin: str
    reply: Reply[Verdict | None] | None = None


@dataclass(frozen=True, slots=True)
class SourceSettled:
    """Notification that a source has responded or failed for the first time."""

    source: Source


@dataclass(frozen=True, slots=True)
class StartupWindowEnded:
    """Timer message: stop waiting for sources that have not responded."""


@dataclass(frozen=True, slots=True)
class FleetViewChanged:
    """Notification of a new fleet size or a new role of this process."""

    view: FleetView


@dataclass(frozen=True, slots=True)
class ExchangeDue:
    """Timer message: start an exchange with a peer."""


@dataclass(frozen=True, slots=True)
class ExchangeSucceeded:
    """State that a peer returned in an exchange started by this process."""

    address: Address
    state: pb.PeerState


@dataclass(frozen=True, slots=True)
class PeerCallFailed:
    """Notification that a call to a peer failed."""

    address: Address


@dataclass(frozen=True, slots=True)
class ExchangeRequested:
    """State of a peer that started an exchange; the reply is the local state."""

    state: pb.PeerState
    reply: Reply[pb.PeerState]


@dataclass(frozen=True, slots=True)
class DocumentRequested:
    """Request for the document in force."""

    reply: Reply[DocumentAdopted | None]


@dataclass(frozen=True, slots=True)
class LocalCrashesCounted:
    """Crash counts of this process, to be sent to its peers."""

    counts: tuple[CrashCount, ...]


@dataclass(frozen=True, slots=True)
class PeerCrashesReceived:
    """New crash counts received from peers."""

    counts: tuple[CrashCount, ...]


@dataclass(frozen=True, slots=True)
class DumpPeers:
    """Request for the state of the peer exchange, for the process dump."""

    reply: Reply[dict[str, object]]


@dataclass(frozen=True, slots=True)
class VmListRead:
    """Agent addresses of the VMs that the platform lists as live or leaving."""

    live: frozenset[Address]
    leaving: frozenset[Address]
