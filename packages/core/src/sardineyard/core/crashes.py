"""Number of upstream crashes per fingerprint of the requests that were running."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sardineyard.core.clock import Deadline
    from sardineyard.core.ids import Fingerprint


@dataclass(frozen=True, slots=True)
class CrashCount:
    """Number of crashes during which requests of one fingerprint were running."""

    fingerprint: Fingerprint
    crashes: int
    expires: Deadline
