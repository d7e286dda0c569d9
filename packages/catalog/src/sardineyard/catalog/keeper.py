"""The task that owns the catalog: the configuration and the upstreams in force."""

from __future__ import annotations

import asyncio
import logging
import zlib
from functools import singledispatchmethod
from typing import TYPE_CHECKING

from sardineyard.catalog.messages import (
    CatalogChanged,
    CatalogDump,
    ConfigReceived,
    DumpCatalog,
    EraRaised,
    EraSeen,
    PeerUpdate,
    PeerUpdateReceived,
    PrepareExchange,
    SubscribeEras,
    UpstreamsChanged,
    UpstreamsListed,
    UpstreamUpdate,
)
from sardineyard.core.mailbox import Mailbox
from sardineyard.forwarding.listing import UpstreamRegistry
from sardineyard.forwarding.store import BEGINNING, StoredUpstream, UpstreamSnapshot

if TYPE_CHECKING:
    from sardineyard.core.clock import Clock
    from sardineyard.core.ids import StoreEra
    from sardineyard.forwarding.config import ForwardingConfig
    from sardineyard.forwarding.store import CatalogStore, StoredConfig, StorePosition

_logger = logging.getLogger(__name__)

# Interval in seconds at which lapsed entries are checked for expiry, while there are
# any: entries expire without a message.
_EXPIRY_CHECK_INTERVAL_S = 0.05
# The fastest level compresses 0.5 MB of configuration to 40 KB in a few milliseconds.
_COMPRESSION_LEVEL = 1
# Maximum size of a configuration from a peer, in bytes before compression; the store
# limits a value to 1 MB.
_MAX_CONFIG_BYTES = 2**24


class CatalogKeeper:
    """Owner of the catalog, which merges the updates of the store and of peers.

    A configuration or upstream is never replaced by an older version of it.
    """

    def __init__(self, store: CatalogStore, clock: Clock, address: str) -> None:
        self.mailbox: Mailbox[object] = Mailbox()
        self._store = store
        self._address = address
        self._upstreams = UpstreamRegistry(clock)
        self._config: StoredConfig | None = None
        self._config_source = ""
        # Version and compressed bytes of the configuration last sent to a peer.
        self._compressed_config = (0, b"")
        # Latest era of the store that this process knows of.
        self._era = BEGINNING.era
        self._era_subscribers: list[Mailbox[EraRaised]] = []
        # Whether a full list of upstreams has been received.
        self._is_complete = False
        self._subscribers: list[Mailbox[object]] = []
        self._published: CatalogChanged | None = None

    @property
    def config(self) -> ForwardingConfig | None:
        """Return the configuration in force."""
        return None if self._config is None else self._config.config

    @property
    def versions(self) -> tuple[int, StorePosition]:
        """Return configuration version and the position of the upstreams.

        Both are at their beginning while they are not known yet.
        """
        position = self._upstreams.position if self._is_complete else BEGINNING
        return self._version, position

    @property
    def is_ready(self) -> bool:
        """Return whether a configuration and a full list of upstreams are known."""
        return self._config is not None and self._is_complete

    def subscribe(self, mailbox: Mailbox[object]) -> None:
        """Add a mailbox that gets a message for each change of the catalog."""
        self._subscribers.append(mailbox)

    async def run(self) -> None:
        """Handle messages until cancelled."""
        while True:
            timeout_s = _EXPIRY_CHECK_INTERVAL_S if self._upstreams.has_lapsed else None
            try:
                async with asyncio.timeout(timeout_s):
                    self._handle(await self.mailbox.receive())
            except TimeoutError:
                pass
            self._publish()

    @singledispatchmethod
    def _handle(self, message: object) -> None:
        raise TypeError(f"unexpected message {type(message).__name__}")

    @_handle.register(ConfigReceived)
    def _config_received(self, message: ConfigReceived) -> None:
        self._adopt_config(message.stored, message.source)

    @_handle.register(UpstreamsListed)
    def _upstreams_listed(self, message: UpstreamsListed) -> None:
        if self._is_outdated(message.snapshot.position, "store"):
            return
        self._raise_era(message.snapshot.position.era, "store")
        self._upstreams.replace(message.snapshot, after_outage=message.after_outage)
        self._is_complete = True

    @_handle.register(UpstreamsChanged)
    def _upstreams_changed(self, message: UpstreamsChanged) -> None:
        changes = message.changes
        if self._is_outdated(changes.position, "store"):
            return
        self._upstreams.merge(
            changes.changes, changes.position, after_outage=message.after_outage
        )

    @_handle.register(SubscribeEras)
    def _subscribe_eras(self, message: SubscribeEras) -> None:
        self._era_subscribers.append(message.mailbox)
        message.mailbox.offer(EraRaised(self._era))

    @_handle.register(EraSeen)
    def _era_seen(self, message: EraSeen) -> None:
        self._raise_era(message.era, "store")

    @_handle.register(PrepareExchange)
    def _prepare_exchange(self, message: PrepareExchange) -> None:
        message.reply.send(self._build_update(message.receiver))

    @_handle.register(PeerUpdateReceived)
    def _peer_update_received(self, message: PeerUpdateReceived) -> None:
        update = message.update
        source = f"peer {update.address}"
        if update.config is not None and update.config_version > self._version:
            raw = _decompress(update.config, update.address)
            stored = None
            if raw is not None:
                stored = self._store.decode_config(raw, update.config_position)
            if stored is not None:
                self._adopt_config(stored, source)
        position = update.upstream_position
        # A process that has just started has not read the store yet.
        is_empty = position == BEGINNING
        if not is_empty and not self._is_outdated(position, source):
            self._raise_era(position.era, source)
            self._merge_peer_upstreams(update, is_reply=message.reply is None)
        if message.reply is not None:
            message.reply.send(self._build_update(receiver=update))

    def _merge_peer_upstreams(self, update: PeerUpdate, *, is_reply: bool) -> None:
        known, position = self._upstreams.position, update.upstream_position
        is_full_reply = is_reply and update.is_complete and update.is_full_list
        if known.era != position.era and known != BEGINNING and not is_full_reply:
            # Changes since a position of another era are not complete.
            return
        upstreams = tuple(map(self._decode_upstream, update.upstreams))
        if is_reply and update.is_complete:
            # A reply has every change that this process lacked up to that position.
            if is_full_reply:
                snapshot = UpstreamSnapshot(upstreams, position)
                self._upstreams.replace(snapshot, after_outage=False)
            self._upstreams.merge(upstreams, position, from_peer=True)
            self._is_complete = True
        else:
            self._upstreams.merge(upstreams, BEGINNING, from_peer=True)

    @_handle.register(DumpCatalog)
    def _dump(self, message: DumpCatalog) -> None:
        message.reply.send(
            CatalogDump(
                config_version=self._version or None,
                config_source=self._config_source,
                upstream_era=self._upstreams.position.era,
                upstream_revision=self._upstreams.position.revision,
                upstreams={
                    id: record.listing.value
                    for id, record in self._upstreams.records.items()
                },
            )
        )

    @property
    def _version(self) -> int:
        return 0 if self._config is None else self._config.config.version

    def _raise_era(self, era: StoreEra, source: str) -> None:
        if era <= self._era:
            return
        _logger.info(
            "the store has begun a new era",
            extra={
                "event": "store_era_seen",
                "era": era,
                "previous_era": self._era,
                "source": source,
            },
        )
        self._era = era
        for subscriber in self._era_subscribers:
            subscriber.offer(EraRaised(era))

    def _is_outdated(self, position: StorePosition, source: str) -> bool:
        """Return whether upstreams come from an earlier era than the known one."""
        if position.era >= self._era:
            return False
        _logger.info(
            "ignored upstreams of an earlier era of the store",
            extra={
                "event": "store_era_outdated",
                "era": position.era,
                "revision": position.revision,
                "known_era": self._era,
                "source": source,
            },
        )
        return True

    def _decode_upstream(self, item: UpstreamUpdate) -> StoredUpstream:
        if item.raw is None:
            start_ms = item.removed_start_ms
            return StoredUpstream(
                item.id, item.position, None, removed_start_ms=start_ms
            )
        return self._store.decode_upstream(item.id, item.raw, item.position)

    def _build_update(self, receiver: PeerUpdate | None = None) -> PeerUpdate:
        config: bytes | None = None
        upstreams: tuple[UpstreamUpdate, ...] = ()
        is_full_list = False
        # Lapsed upstreams are not sent, so a full list would remove them, except in a
        # new era, in which they lapse at the receiver as well.
        is_list_complete = not self._upstreams.has_lapsed
        if receiver is not None:
            if self._config is not None and receiver.config_version < self._version:
                config = self._compress_config(self._config)
            position = receiver.upstream_position
            if position < self._upstreams.position:
                crosses_era = position.era < self._upstreams.position.era
                is_full_list = (
                    crosses_era or position < self._upstreams.removals_known_after
                )
                is_list_complete |= crosses_era and position != BEGINNING
                upstreams = tuple(
                    UpstreamUpdate(*change)
                    for change in self._upstreams.changes_since(
                        BEGINNING if is_full_list else position
                    )
                )
        return PeerUpdate(
            address=self._address,
            config_version=self._version,
            upstream_position=self._upstreams.position,
            config=config,
            config_position=BEGINNING
            if self._config is None
            else self._config.position,
            upstreams=upstreams,
            is_complete=self._is_complete and (is_list_complete or not is_full_list),
            is_full_list=is_full_list,
        )

    def _compress_config(self, stored: StoredConfig) -> bytes:
        version, compressed = self._compressed_config
        if version != stored.config.version:
            compressed = zlib.compress(stored.raw, _COMPRESSION_LEVEL)
            self._compressed_config = (stored.config.version, compressed)
        return compressed

    def _adopt_config(self, stored: StoredConfig, source: str) -> None:
        if stored.config.version <= self._version:
            return
        _logger.info(
            "configuration adopted",
            extra={
                "event": "config_adopted",
                "version": stored.config.version,
                "previous_version": self._version,
                "era": stored.position.era,
                "revision": stored.position.revision,
                "source": source,
                "routes": len(stored.config.routes),
                "teams": len(stored.config.teams),
            },
        )
        self._config, self._config_source = stored, source

    def _publish(self) -> None:
        changed = CatalogChanged(
            self.config,
            self._upstreams.usable(),
            self._upstreams.position,
            self._upstreams.draining(),
        )
        if self._is_unchanged(changed):
            return
        self._published = changed
        for subscriber in self._subscribers:
            subscriber.post(changed)

    def _is_unchanged(self, changed: CatalogChanged) -> bool:
        previous = self._published
        return (
            previous is not None
            and previous.config is changed.config
            and previous.upstreams == changed.upstreams
        )


def _decompress(compressed: bytes, address: str) -> bytes | None:
    """Decompress the configuration from a peer; return None if it is malformed."""
    decompressor = zlib.decompressobj()
    try:
        raw = decompressor.decompress(compressed, _MAX_CONFIG_BYTES)
    except zlib.error as error:
        reason = str(error)
    else:
        if decompressor.eof:
            return raw
        reason = "too large or truncated"
    _logger.warning(
        "ignored a malformed configuration from a peer",
        extra={"event": "peer_config_malformed", "peer": address, "reason": reason},
    )
    return None
