"""Messages about the document in force and the fleet."""

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
    """Say that a document is in force in this process from now on."""

    document: Document
    order: DocumentOrder
    raw: bytes


@dataclass(frozen=True, slots=True)
class DocumentOffered:
    """Offer the bytes of a document; the reply is None when it is invalid."""

    raw: bytes
    origin: str
    reply: Reply[Verdict | None] | None = None


@dataclass(frozen=True, slots=True)
class SourceSettled:
    """Say that a source has answered or failed for the first time."""

    source: Source


@dataclass(frozen=True, slots=True)
class StartWindowEnded:
    """Tell the follower to wait no longer for silent sources."""


@dataclass(frozen=True, slots=True)
class FleetViewChanged:
    """Tell what this process now knows about the fleet."""

    view: FleetView


@dataclass(frozen=True, slots=True)
class ExchangeDue:
    """Tell the peer exchange to talk to the next peer."""


@dataclass(frozen=True, slots=True)
class PeerAnswered:
    """Hand the answer of a peer to the peer exchange."""

    address: Address
    state: pb.PeerState


@dataclass(frozen=True, slots=True)
class PeerFailed:
    """Say that a call to a peer failed."""

    address: Address


@dataclass(frozen=True, slots=True)
class PeerCalled:
    """Hand the state that a peer sent to the peer exchange."""

    state: pb.PeerState
    reply: Reply[pb.PeerState]


@dataclass(frozen=True, slots=True)
class DocumentRequested:
    """Ask for the document in force."""

    reply: Reply[DocumentAdopted | None]


@dataclass(frozen=True, slots=True)
class CrashesCounted:
    """Hand counts of crashes of this process to its peers."""

    counts: tuple[CrashCount, ...]


@dataclass(frozen=True, slots=True)
class CrashesHeard:
    """Hand counts of crashes that peers sent to this process."""

    counts: tuple[CrashCount, ...]


@dataclass(frozen=True, slots=True)
class DumpPeers:
    """Ask the peer exchange for its state."""

    reply: Reply[dict[str, object]]


@dataclass(frozen=True, slots=True)
class VmListRead:
    """Tell which VMs the platform calls live or leaving, by agent address."""

    live: frozenset[Address]
    leaving: frozenset[Address]
