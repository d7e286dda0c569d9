"""Rules that decide which configuration document comes into force."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, unique
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sardineyard.core.clock import Deadline
    from sardineyard.document.order import DocumentOrder

# Time that a starting process waits for sources that have not responded yet.
STARTUP_WINDOW_S = 2.0


@unique
class Verdict(Enum):
    """Result of comparing an offered document with the one in force."""

    ADOPT = "adopt"
    SAME = "same"
    LOWER = "lower"


def evaluate(current: DocumentOrder | None, offered: DocumentOrder) -> Verdict:
    """Compare documents by version, then digest; only a greater one is adopted."""
    if current is None or offered > current:
        return Verdict.ADOPT
    return Verdict.SAME if offered == current else Verdict.LOWER


def is_version_conflict(current: DocumentOrder | None, offered: DocumentOrder) -> bool:
    """Return whether two different documents have the same version."""
    return (
        current is not None
        and offered.version == current.version
        and offered.digest != current.digest
    )


@unique
class Source(Enum):
    """Origin from which a process receives documents."""

    PLATFORM = "platform"
    PEERS = "peers"


@dataclass
class StartupGate:
    """Delays the first document until every source has responded or failed.

    A stale platform often responds before the peers do. Without the gate, a newly
    started process would serve an older document until its first peer exchange.
    """

    opens_at: Deadline
    _pending: set[Source] = field(default_factory=lambda: set(Source))

    def mark_settled(self, source: Source) -> None:
        """Record that a source has responded or failed."""
        self._pending.discard(source)

    def is_open(self, now: float) -> bool:
        """Return whether the first document may come into force."""
        return not self._pending or now >= self.opens_at
