"""Registry of the known upstreams, merged from updates of the store and of peers."""

from __future__ import annotations

import logging
from dataclasses import dataclass
from enum import Enum, unique
from typing import TYPE_CHECKING

from sardineyard.core.clock import NO_DEADLINE, deadline_after
from sardineyard.forwarding.config import UpstreamPhase
from sardineyard.forwarding.departures import Departure
from sardineyard.forwarding.store import BEGINNING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sardineyard.core.clock import Clock, Deadline
    from sardineyard.core.ids import ServiceName, UpstreamIncarnation
    from sardineyard.forwarding.config import UpstreamEntry
    from sardineyard.forwarding.store import (
        StoredUpstream,
        StorePosition,
        UpstreamSnapshot,
    )

_logger = logging.getLogger(__name__)

# Seconds for which an entry that expired during a store outage stays usable. Live
# upstreams renew their entries within about two seconds of the store's return; one
# that has not done so by then counts as removed.
_LAPSED_GRACE_S = 1.9
# Maximum number of removals that are remembered, so that an outdated update from a
# peer cannot restore an upstream. 19 to 700 upstreams are replaced a few times a day.
_MAX_TOMBSTONES = 5_000


@unique
class ListingState(Enum):
    """Whether an upstream may get new requests."""

    LISTED = "listed"
    # The entry expired during a store outage; the upstream may still serve.
    LAPSED = "lapsed"
    DRAINING = "draining"


@dataclass(slots=True)
class UpstreamRecord:
    """State of an upstream, and the position in the store that it comes from."""

    entry: UpstreamEntry
    listing: ListingState
    position: StorePosition
    raw: bytes
    # Time at which a lapsed entry is dropped unless it was renewed.
    usable_until: Deadline = NO_DEADLINE


class UpstreamRegistry:
    """Merges updates about upstreams; the later position in the store wins.

    A departure outlives the return of the store from an older copy: only an entry of a
    later start makes an upstream usable again that had left before.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._records: dict[str, UpstreamRecord] = {}
        # Removals by upstream id.
        self._tombstones: dict[str, Departure] = {}
        # Start time and position of the last ignored entry, by upstream id.
        self._earlier_starts: dict[str, tuple[int, StorePosition]] = {}
        self._position = BEGINNING
        # Position after which every removal has a tombstone.
        self._removals_known_after = BEGINNING

    @property
    def position(self) -> StorePosition:
        """Return the position in the store up to which the registry is complete."""
        return self._position

    @property
    def removals_known_after(self) -> StorePosition:
        """Return the position in the store after which every removal is known."""
        return self._removals_known_after

    @property
    def records(self) -> dict[str, UpstreamRecord]:
        """Return the records by upstream id."""
        return self._records

    @property
    def has_lapsed(self) -> bool:
        """Return whether any lapsed entry is still in use."""
        return any(r.listing is ListingState.LAPSED for r in self._records.values())

    def usable(self) -> dict[ServiceName, tuple[UpstreamEntry, ...]]:
        """Return the upstreams that may get new requests, by service."""
        self._expire()
        newest = self._newest_by_address()
        by_service: dict[ServiceName, list[UpstreamEntry]] = {}
        for record in self._records.values():
            entry = record.entry
            listed = by_service.setdefault(entry.service, [])
            is_newest = newest[entry.host, entry.port] is record
            if is_newest and record.listing is not ListingState.DRAINING:
                listed.append(entry)
        return {service: tuple(listed) for service, listed in by_service.items()}

    def draining(self) -> frozenset[UpstreamIncarnation]:
        """Return the upstreams that finish their requests before they exit."""
        return frozenset(
            record.entry.incarnation
            for record in self._records.values()
            if record.listing is ListingState.DRAINING
        )

    def replace(self, snapshot: UpstreamSnapshot, *, after_outage: bool) -> None:
        """Apply a full list; missing entries are removed, or lapse after an outage.

        The copy from which the store has returned lacks the entries that were written
        after it was made, so entries that are missing in a new era lapse as well.
        """
        previous = self._position
        is_new_era = previous.era < snapshot.position.era
        if previous == BEGINNING or is_new_era:
            self._removals_known_after = snapshot.position
        known = set(self._records)
        present = {update.id for update in snapshot.entries}
        may_lapse = after_outage or is_new_era
        for id, record in list(self._records.items()):
            if id not in present and record.position <= snapshot.position:
                self._remove(id, snapshot.position, after_outage=may_lapse)
        self.merge(snapshot.entries, snapshot.position, after_outage=after_outage)
        if is_new_era and previous != BEGINNING:
            self._log_new_era(previous, known)

    def merge(
        self,
        updates: Iterable[StoredUpstream],
        position: StorePosition,
        *,
        after_outage: bool = False,
        from_peer: bool = False,
    ) -> None:
        """Apply updates that are complete up to a position."""
        for update in updates:
            is_unknown = update.id not in self._records
            if from_peer and is_unknown and update.position <= self._position:
                # The registry is complete up to a later position, so the upstream was
                # removed, maybe before this process started and kept removals.
                continue
            if update.entry is None:
                self._remove(
                    update.id,
                    update.position,
                    update.removed_start_ms,
                    after_outage=after_outage,
                )
            else:
                self._apply(update, update.entry)
        self._position = max(self._position, position)

    def changes_since(
        self, position: StorePosition
    ) -> list[tuple[str, StorePosition, bytes | None, int]]:
        """Return id, position, raw entry and removed start time of later changes.

        There is no raw entry if the upstream was removed.
        """
        self._expire()
        listed = [
            (id, record.position, record.raw, 0)
            for id, record in self._records.items()
            if record.position > position and record.listing is not ListingState.LAPSED
        ]
        removed = [
            (id, removal.position, None, removal.started_ms)
            for id, removal in self._tombstones.items()
            if removal.position > position
        ]
        return [*listed, *removed]

    def _apply(self, update: StoredUpstream, entry: UpstreamEntry) -> None:
        known = self._records.get(update.id)
        if known is not None and update.position <= known.position:
            return
        departure = self._departure(update.id)
        if departure is not None:
            if update.position <= departure.position:
                return
            if entry.phase is UpstreamPhase.READY and self._has_left(
                update, entry, departure
            ):
                _log(update, "entry of an upstream that has left ignored")
                return
        is_earlier = known is not None and entry.started_ms < known.entry.started_ms
        if is_earlier and not self._goes_on_writing(update, entry):
            _log(update, "entry of an earlier incarnation ignored")
            return
        self._earlier_starts.pop(update.id, None)
        listing = (
            ListingState.DRAINING
            if entry.phase is UpstreamPhase.DRAINING
            else ListingState.LISTED
        )
        self._tombstones.pop(update.id, None)
        self._records[update.id] = UpstreamRecord(
            entry, listing, update.position, update.raw
        )
        if known is None or known.listing is not listing or known.entry != entry:
            _log(update, listing.value)

    def _has_left(
        self, update: StoredUpstream, entry: UpstreamEntry, departure: Departure
    ) -> bool:
        """Return whether an older copy of the store has restored an entry."""
        if not departure.is_undone_by_copy(entry, update.position):
            return False
        is_same_start = entry.started_ms == departure.started_ms
        return is_same_start or not self._goes_on_writing(update, entry)

    def _goes_on_writing(self, update: StoredUpstream, entry: UpstreamEntry) -> bool:
        """Return whether an incarnation with a lower start time runs now.

        A lower start time means a delayed write of an earlier incarnation, or a restart
        after the time of day was set back. Only the latter goes on writing.
        """
        start, position = self._earlier_starts.get(update.id, (None, BEGINNING))
        # The copy from which the store returned repeats entries in a new era.
        is_same_era = position.era == update.position.era
        if start == entry.started_ms and is_same_era and update.position > position:
            return True
        self._earlier_starts[update.id] = entry.started_ms, update.position
        return False

    def _remove(
        self,
        id: str,
        position: StorePosition,
        started_ms: int = 0,
        *,
        after_outage: bool,
    ) -> None:
        known = self._records.get(id)
        if known is None:
            removed = self._tombstones.get(id)
            if removed is None or removed.position < position:
                started_ms = started_ms or (removed.started_ms if removed else 0)
                self._drop(id, Departure(position, started_ms), "removed")
            return
        departure = Departure(position, started_ms or known.entry.started_ms)
        if known.position > position and not departure.is_undone_by_copy(
            known.entry, known.position
        ):
            return
        if after_outage and known.listing is not ListingState.DRAINING:
            is_new_era = known.position.era < position.era
            if known.listing is ListingState.LISTED or is_new_era:
                known.listing = ListingState.LAPSED
                known.position = position
                known.usable_until = deadline_after(self._clock, _LAPSED_GRACE_S)
                _log_id(id, position, "lapsed during a store outage")
            return
        self._drop(id, departure, "removed")

    def _departure(self, id: str) -> Departure | None:
        """Return what is known of the departure of an upstream."""
        known = self._records.get(id)
        if known is None:
            return self._tombstones.get(id)
        if known.listing is not ListingState.DRAINING:
            return None
        return Departure(known.position, known.entry.started_ms)

    def _newest_by_address(self) -> dict[tuple[str, int], UpstreamRecord]:
        """Return the newest record of each address: the upstream that listens there.

        After a power loss, entries of upstreams that ran before it are still listed.
        """
        newest: dict[tuple[str, int], UpstreamRecord] = {}
        for record in self._records.values():
            address = (record.entry.host, record.entry.port)
            known = newest.get(address)
            if known is None or _recency_key(record) > _recency_key(known):
                newest[address] = record
        return newest

    def _expire(self) -> None:
        now = self._clock.now()
        for id, record in list(self._records.items()):
            if record.usable_until <= now:
                self._drop(
                    id,
                    Departure(record.position, record.entry.started_ms),
                    "removed: entry not renewed after the store outage",
                )

    def _drop(self, id: str, departure: Departure, reason: str) -> None:
        self._tombstones.pop(id, None)
        self._tombstones[id] = departure
        while len(self._tombstones) > _MAX_TOMBSTONES:
            forgotten = self._tombstones.pop(next(iter(self._tombstones)))
            self._removals_known_after = max(
                self._removals_known_after, forgotten.position
            )
        self._earlier_starts.pop(id, None)
        if self._records.pop(id, None) is not None:
            _log_id(id, departure.position, reason)

    def _log_new_era(self, previous: StorePosition, known: set[str]) -> None:
        listings = [self._records[id].listing for id in known & set(self._records)]
        lapsed = listings.count(ListingState.LAPSED)
        _logger.warning(
            "the store returned from an older copy; upstreams were read again",
            extra={
                "event": "store_era_changed",
                "era": self._position.era,
                "revision": self._position.revision,
                "previous_era": previous.era,
                "previous_revision": previous.revision,
                "kept": len(listings) - lapsed,
                "lapsed": lapsed,
                "dropped": len(known) - len(listings),
            },
        )


def _recency_key(record: UpstreamRecord) -> tuple[bool, StorePosition]:
    return record.listing is not ListingState.LAPSED, record.position


def _log(update: StoredUpstream, outcome: str) -> None:
    _log_id(update.id, update.position, outcome)


def _log_id(id: str, position: StorePosition, outcome: str) -> None:
    _logger.info(
        "upstream listing changed",
        extra={
            "event": "upstream_listing",
            "upstream": id,
            "era": position.era,
            "revision": position.revision,
            "outcome": outcome,
        },
    )
