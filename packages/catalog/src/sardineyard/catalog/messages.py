"""Messages to and from the task that owns the catalog, and between peers."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import msgspec

from sardineyard.forwarding.store import BEGINNING, StorePosition

if TYPE_CHECKING:
    from sardineyard.core.ids import ServiceName, StoreEra, UpstreamIncarnation
    from sardineyard.core.mailbox import Mailbox, Reply
    from sardineyard.forwarding.config import ForwardingConfig, UpstreamEntry
    from sardineyard.forwarding.quarantine import PeerHost
    from sardineyard.forwarding.rate_limits import LimitStatement
    from sardineyard.forwarding.store import (
        StoredConfig,
        UpstreamChanges,
        UpstreamSnapshot,
    )
    from sardineyard.forwarding.traits import TraitStatement


@dataclass(frozen=True, slots=True)
class ConfigReceived:
    """Message with a configuration that was read from the store."""

    stored: StoredConfig
    source: str


@dataclass(frozen=True, slots=True)
class UpstreamsListed:
    """Message with the full list of upstreams in the store."""

    snapshot: UpstreamSnapshot
    # Whether the list was read right after an outage of the store.
    after_outage: bool


@dataclass(frozen=True, slots=True)
class UpstreamsChanged:
    """Message with changes of upstreams in the store."""

    changes: UpstreamChanges
    # Whether the changes were read right after an outage of the store.
    after_outage: bool


@dataclass(frozen=True, slots=True)
class EraSeen:
    """Message with the era of an answer of the store."""

    era: StoreEra


@dataclass(frozen=True, slots=True)
class EraRaised:
    """Message to subscribers with the latest known era of the store."""

    era: StoreEra


@dataclass(frozen=True, slots=True)
class SubscribeEras:
    """Request for a message about each later era of the store."""

    mailbox: Mailbox[EraRaised]


@dataclass(frozen=True, slots=True)
class CatalogChanged:
    """Message to subscribers with the configuration and upstreams now in force."""

    config: ForwardingConfig | None
    # Upstreams that may receive new requests, by service.
    upstreams: dict[ServiceName, tuple[UpstreamEntry, ...]]
    # Position in the store up to which the upstreams are complete.
    position: StorePosition
    # Upstreams that finish their requests before they exit.
    draining: frozenset[UpstreamIncarnation] = frozenset()


@dataclass(frozen=True, slots=True)
class PrepareExchange:
    """Request for the update that opens an exchange with a peer."""

    reply: Reply[PeerUpdate]
    # Last update of the peer, so that this one has what the peer lacks.
    receiver: PeerUpdate | None = None


@dataclass(frozen=True, slots=True)
class PeerUpdateReceived:
    """Message with the update of a peer; the reply carries what the peer lacks."""

    update: PeerUpdate
    reply: Reply[PeerUpdate] | None = None


class UpstreamUpdate(msgspec.Struct, frozen=True, array_like=True):
    """Last change of one upstream, as part of an update."""

    id: str
    # Position in the store at which the upstream changed.
    position: StorePosition
    # Entry of the upstream as stored; None if it was removed.
    raw: bytes | None
    # Start time of the incarnation that was removed; zero if it is not known.
    removed_start_ms: int = 0


class PeerUpdate(msgspec.Struct, frozen=True):
    """Message of an exchange between two processes of the fleet."""

    # Address of the sender for later exchanges; empty if it does not listen.
    address: str
    config_version: int
    # Position in the store up to which the sender knows the upstreams.
    upstream_position: StorePosition
    # Addresses of the peers from which the sender has recently received an update.
    members: tuple[str, ...] = ()
    # Configuration, if the receiver has an older version. It is compressed, because its
    # size grows with the number of routes and many processes request it at once.
    config: bytes | None = None
    # Position in the store at which the configuration was written.
    config_position: StorePosition = BEGINNING
    # Changes since the position of the receiver.
    upstreams: tuple[UpstreamUpdate, ...] = ()
    # Whether the sender has received a full list of upstreams.
    is_complete: bool = False
    # Whether all upstreams of the sender are in this update, because it does not know
    # every removal since the position of the receiver. Others have been removed.
    is_full_list: bool = False


@dataclass(frozen=True, slots=True)
class PeerLoads:
    """Message to subscribers with the total load of the other gateways."""

    # Number of requests in flight, by upstream.
    in_flight: dict[str, int]
    # Number of gateways, including the local one.
    processes: int
    # Median, over the other gateways, of the ratio of the measured to the published
    # duration of a decode pass, by service; empty where none has measured it recently.
    pass_factors: dict[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class PeerStatements:
    """Message to subscribers with what another gateway found out about traits."""

    peer: PeerHost
    statements: tuple[TraitStatement, ...]


@dataclass(frozen=True, slots=True)
class PeerLimits:
    """Message to subscribers with what another gateway knows of rate limits."""

    peer: PeerHost
    statements: tuple[LimitStatement, ...]


@dataclass(frozen=True, slots=True)
class DumpCatalog:
    """Request for the state of the catalog."""

    reply: Reply[CatalogDump]


class CatalogDump(msgspec.Struct, frozen=True):
    """State of the catalog as the admin server shows it."""

    config_version: int | None
    config_source: str
    upstream_era: int
    upstream_revision: int
    # Listing state, by upstream.
    upstreams: dict[str, str]
