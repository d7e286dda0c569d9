"""The task that owns configuration and upstreams and tells subscribers of changes."""

from __future__ import annotations

import asyncio
import logging
import zlib
from functools import singledispatchmethod
from typing import TYPE_CHECKING

from sardineyard.catalog.messages import (
    CatalogChanged,
    CatalogDump,
    ConfigArrived,
    DumpCatalog,
    ExchangeDue,
    NewsReceived,
    PeerNews,
    UpstreamNews,
    UpstreamsChanged,
    UpstreamsListed,
)
from sardineyard.core.mailbox import Mailbox
from sardineyard.forwarding.listing import ListingTable
from sardineyard.forwarding.source import UpstreamRead

if TYPE_CHECKING:
    from sardineyard.core.clock import Clock
    from sardineyard.forwarding.config import ForwardingConfig
    from sardineyard.forwarding.source import CatalogStore, ConfigRead

_logger = logging.getLogger(__name__)

# Lapsed entries run out between messages, so the view is then made anew this often.
_EXPIRY_CHECK_S = 0.05
# The fastest level makes 40 KB of a configuration of 0.5 MB in a few milliseconds.
_COMPRESSION_LEVEL = 1
# Largest configuration that is taken from a peer; the store holds 1 MB in one value.
_MAX_CONFIG_BYTES = 2**24


class CatalogKeeper:
    """Merge what store and peers say; the newest version is never given up."""

    def __init__(self, store: CatalogStore, clock: Clock, address: str) -> None:
        self.mailbox: Mailbox[object] = Mailbox()
        self._store = store
        self._address = address
        self._table = ListingTable(clock)
        self._config: ConfigRead | None = None
        self._config_source = ""
        # The configuration as peers get it, and its version.
        self._packed = (0, b"")
        self._is_complete = False
        self._subscribers: list[Mailbox[object]] = []
        self._published: CatalogChanged | None = None

    @property
    def config(self) -> ForwardingConfig | None:
        """Return the configuration in force."""
        return None if self._config is None else self._config.config

    @property
    def versions(self) -> tuple[int, int]:
        """Return the version of the configuration and the revision of the upstreams."""
        return self._version, self._table.revision if self._is_complete else 0

    @property
    def is_ready(self) -> bool:
        """Return whether a configuration and a full list of upstreams are known."""
        return self._config is not None and self._is_complete

    def subscribe(self, mailbox: Mailbox[object]) -> None:
        """Send each change to a mailbox."""
        self._subscribers.append(mailbox)

    async def run(self) -> None:
        """Handle messages until cancelled."""
        while True:
            pause_s = _EXPIRY_CHECK_S if self._table.has_lapsed else None
            try:
                async with asyncio.timeout(pause_s):
                    self._handle(await self.mailbox.receive())
            except TimeoutError:
                pass
            self._publish()

    @singledispatchmethod
    def _handle(self, message: object) -> None:
        raise TypeError(f"unexpected message {type(message).__name__}")

    @_handle.register(ConfigArrived)
    def _config_arrived(self, message: ConfigArrived) -> None:
        self._adopt_config(message.read, message.source)

    @_handle.register(UpstreamsListed)
    def _upstreams_listed(self, message: UpstreamsListed) -> None:
        self._table.replace(message.snapshot, after_outage=message.after_outage)
        self._is_complete = True

    @_handle.register(UpstreamsChanged)
    def _upstreams_changed(self, message: UpstreamsChanged) -> None:
        changes = message.changes
        self._table.merge(
            changes.changes, changes.revision, after_outage=message.after_outage
        )

    @_handle.register(ExchangeDue)
    def _exchange_due(self, message: ExchangeDue) -> None:
        message.reply.send(self._news())

    @_handle.register(NewsReceived)
    def _news_received(self, message: NewsReceived) -> None:
        news = message.news
        if news.config is not None and news.config_version > self._version:
            raw = _unpack(news.config, news.address)
            read = None
            if raw is not None:
                read = self._store.decode_config(raw, news.config_revision)
            if read is not None:
                self._adopt_config(read, f"peer {news.address}")
        reads = [self._decode(item) for item in news.upstreams]
        if message.reply is None and news.is_complete:
            # An answer holds all that was lacking here up to its revision.
            self._table.merge(reads, news.upstream_revision)
            self._is_complete = True
        else:
            self._table.merge(reads, 0)
        if message.reply is not None:
            message.reply.send(self._news(lacking=news))

    @_handle.register(DumpCatalog)
    def _dump(self, message: DumpCatalog) -> None:
        message.reply.send(
            CatalogDump(
                config_version=self._version or None,
                config_source=self._config_source,
                upstream_revision=self._table.revision,
                upstreams={
                    id: record.listing.value
                    for id, record in self._table.records.items()
                },
            )
        )

    @property
    def _version(self) -> int:
        return 0 if self._config is None else self._config.config.version

    def _decode(self, item: UpstreamNews) -> UpstreamRead:
        if item.raw is None:
            return UpstreamRead(item.id, item.revision, None)
        return self._store.decode_upstream(item.id, item.raw, item.revision)

    def _news(self, lacking: PeerNews | None = None) -> PeerNews:
        config: bytes | None = None
        upstreams: tuple[UpstreamNews, ...] = ()
        if lacking is not None:
            if self._config is not None and lacking.config_version < self._version:
                config = self._packed_config(self._config)
            if lacking.upstream_revision < self._table.revision:
                upstreams = tuple(
                    UpstreamNews(*change)
                    for change in self._table.changes_since(lacking.upstream_revision)
                )
        return PeerNews(
            address=self._address,
            config_version=self._version,
            upstream_revision=self._table.revision,
            config=config,
            config_revision=0 if self._config is None else self._config.revision,
            upstreams=upstreams,
            is_complete=self._is_complete,
        )

    def _packed_config(self, read: ConfigRead) -> bytes:
        version, packed = self._packed
        if version != read.config.version:
            packed = zlib.compress(read.raw, _COMPRESSION_LEVEL)
            self._packed = (read.config.version, packed)
        return packed

    def _adopt_config(self, read: ConfigRead, source: str) -> None:
        if read.config.version <= self._version:
            return
        _logger.info(
            "a configuration is in force",
            extra={
                "event": "config_adopted",
                "version": read.config.version,
                "previous_version": self._version,
                "revision": read.revision,
                "source": source,
                "routes": len(read.config.routes),
                "teams": len(read.config.teams),
            },
        )
        self._config, self._config_source = read, source

    def _publish(self) -> None:
        changed = CatalogChanged(
            self.config, self._table.usable(), self._table.revision
        )
        if self._is_same(changed):
            return
        self._published = changed
        for subscriber in self._subscribers:
            subscriber.post(changed)

    def _is_same(self, changed: CatalogChanged) -> bool:
        before = self._published
        return (
            before is not None
            and before.config is changed.config
            and before.upstreams == changed.upstreams
        )


def _unpack(packed: bytes, address: str) -> bytes | None:
    """Return a configuration that a peer passed on, or None if it cannot be read."""
    unpacker = zlib.decompressobj()
    try:
        raw = unpacker.decompress(packed, _MAX_CONFIG_BYTES)
    except zlib.error as error:
        reason = str(error)
    else:
        if unpacker.eof:
            return raw
        reason = "too long or cut off"
    _logger.warning(
        "a peer sent a configuration that cannot be read",
        extra={"event": "peer_config_malformed", "peer": address, "reason": reason},
    )
    return None
