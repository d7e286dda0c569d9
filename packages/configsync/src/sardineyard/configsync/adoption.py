"""Decide which document comes into force."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, unique
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sardineyard.core.clock import Deadline
    from sardineyard.document.order import DocumentOrder

# A starting process waits this long for the sources that have not answered yet.
START_WINDOW_S = 2.0


@unique
class Verdict(Enum):
    """Say what happens to a document that was offered."""

    ADOPT = "adopt"
    SAME = "same"
    LOWER = "lower"


def judge(current: DocumentOrder | None, offered: DocumentOrder) -> Verdict:
    """Compare an offered document with the one in force; never go down."""
    if current is None or offered > current:
        return Verdict.ADOPT
    return Verdict.SAME if offered == current else Verdict.LOWER


def is_race(current: DocumentOrder | None, offered: DocumentOrder) -> bool:
    """Return whether two different documents claim one version."""
    return (
        current is not None
        and offered.version == current.version
        and offered.digest != current.digest
    )


@unique
class Source(Enum):
    """Name the places from which documents come."""

    PLATFORM = "platform"
    PEERS = "peers"


@dataclass
class StartGate:
    """Hold back the first document until every source was asked.

    A stale platform often answers before the peers do. Without the gate, a fresh
    process would serve the older document until the first exchange.
    """

    closes_at: Deadline
    _pending: set[Source] = field(default_factory=lambda: set(Source))

    def settle(self, source: Source) -> None:
        """Note that a source has answered or failed."""
        self._pending.discard(source)

    def is_open(self, now: float) -> bool:
        """Return whether a document may come into force."""
        return not self._pending or now >= self.closes_at
