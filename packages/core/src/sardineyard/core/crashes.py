"""Counts of the crashes at which a request was running."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sardineyard.core.clock import Deadline
    from sardineyard.core.ids import Fingerprint


@dataclass(frozen=True, slots=True)
class CrashCount:
    """Say how many crashes a request is suspected of, and until when."""

    fingerprint: Fingerprint
    crashes: int
    expires: Deadline


@dataclass(frozen=True, slots=True)
class CrashCountsLearned:
    """Hand on counts that are new or greater than the known ones."""

    counts: tuple[CrashCount, ...]
