"""Messages to and from the task that keeps the catalog."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from sardineyard.core.ids import ServiceName
    from sardineyard.core.mailbox import Reply
    from sardineyard.forwarding.config import ForwardingConfig, UpstreamEntry
    from sardineyard.forwarding.source import (
        ConfigRead,
        UpstreamChanges,
        UpstreamSnapshot,
    )


@dataclass(frozen=True, slots=True)
class ConfigArrived:
    """Report a configuration that the store gave."""

    read: ConfigRead
    source: str


@dataclass(frozen=True, slots=True)
class UpstreamsListed:
    """Report a full list of upstreams."""

    snapshot: UpstreamSnapshot
    after_outage: bool


@dataclass(frozen=True, slots=True)
class UpstreamsChanged:
    """Report changes of upstreams."""

    changes: UpstreamChanges
    after_outage: bool


@dataclass(frozen=True, slots=True)
class CatalogChanged:
    """Tell subscribers what is in force now."""

    config: ForwardingConfig | None
    # Upstreams that may get new work, by service.
    upstreams: dict[ServiceName, tuple[UpstreamEntry, ...]]
    revision: int


@dataclass(frozen=True, slots=True)
class ExchangeDue:
    """Ask for the message that starts an exchange with a peer."""

    reply: Reply[PeerNews]


@dataclass(frozen=True, slots=True)
class NewsReceived:
    """Report news of a peer; the reply carries what the peer lacks."""

    news: PeerNews
    reply: Reply[PeerNews] | None = None


class UpstreamNews(msgspec.Struct, frozen=True, array_like=True):
    """Carry one change of an upstream; no raw entry means that it was removed."""

    id: str
    revision: int
    raw: bytes | None


class PeerNews(msgspec.Struct, frozen=True):
    """Carry what one process knows to another one."""

    # Address of the sender for further exchanges; empty where it does not listen.
    address: str
    config_version: int
    upstream_revision: int
    # Other processes that the sender has heard from.
    members: tuple[str, ...] = ()
    # What the receiver lacks, by the versions that it sent.
    # The configuration is compressed: it grows with the routes, and many ask at once.
    config: bytes | None = None
    config_revision: int = 0
    upstreams: tuple[UpstreamNews, ...] = ()
    # Whether a full list of upstreams was ever read by the sender.
    is_complete: bool = False


@dataclass(frozen=True, slots=True)
class PeerLoads:
    """Tell subscribers the requests of the other gateways by upstream."""

    in_flight: dict[str, int]
    processes: int
    # Median of the factors by which their measured passes exceed the published ones, by
    # service; empty where no other gateway has measured any of late.
    pass_factors: dict[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class DumpCatalog:
    """Ask for the state of the catalog."""

    reply: Reply[CatalogDump]


class CatalogDump(msgspec.Struct, frozen=True):
    """Show what the catalog holds and where it came from."""

    config_version: int | None
    config_source: str
    upstream_revision: int
    upstreams: dict[str, str]
