"""Departures of upstreams, which outlive the store's return from an older copy."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sardineyard.forwarding.config import UpstreamEntry
    from sardineyard.forwarding.store import StorePosition


@dataclass(frozen=True, slots=True)
class Departure:
    """Position at which an incarnation of an upstream was removed or began to drain."""

    position: StorePosition
    # Zero if it is not known.
    started_ms: int

    def is_undone_by_copy(self, entry: UpstreamEntry, position: StorePosition) -> bool:
        """Return whether the store has restored the incarnation from an older copy."""
        is_later_era = position.era > self.position.era
        return is_later_era and 0 < entry.started_ms <= self.started_ms
