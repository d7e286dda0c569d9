"""Counts of crashes by the fingerprint of the requests that ran."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sardineyard.core.clock import Deadline
    from sardineyard.core.ids import Fingerprint


@dataclass(frozen=True, slots=True)
class CrashCount:
    """Count the crashes at which a fingerprint was running."""

    fingerprint: Fingerprint
    crashes: int
    expires: Deadline
