"""The lease of an agent's address."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, unique
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sardineyard.core.clock import Clock, WallTime
    from sardineyard.core.ids import Incarnation

ADDRESS_LEASE_S = 1.0


@unique
class LeaseChange(Enum):
    """Say what a confirmation did to the lease."""

    ACQUIRED = "acquired"
    RENEWED = "renewed"
    REFUSED = "refused"
    LATE = "late"


@dataclass(frozen=True, slots=True)
class Renewal:
    """Hold the times at which a peer was asked; the lease counts from them."""

    asked: float
    asked_wall: WallTime


def begin_renewal(clock: Clock) -> Renewal:
    """Return the times to count from; call this before asking a peer."""
    return Renewal(clock.now(), clock.wall())


class AddressLease:
    """Say whether peers still reach this incarnation at its own address."""

    def __init__(
        self,
        clock: Clock,
        incarnation: Incarnation,
        duration_s: float = ADDRESS_LEASE_S,
    ) -> None:
        self._clock = clock
        self._incarnation = incarnation
        self._duration_s = duration_s
        self._last: Renewal | None = None
        self._acquired = 0.0

    @property
    def duration_s(self) -> float:
        """Return the seconds that one confirmation is good for."""
        return self._duration_s

    @property
    def incarnation(self) -> Incarnation:
        """Return the incarnation that holds the lease."""
        return self._incarnation

    @property
    def held(self) -> bool:
        """Return whether keyed calls may be accepted now."""
        # A confirmation that was asked for a full lease after the first one proves
        # that no other incarnation acquired the address between two confirmations.
        return (
            self._last is not None
            and self._is_fresh(self._last)
            and self._last.asked >= self._acquired + self._duration_s
        )

    def confirm(self, renewal: Renewal, answered: Incarnation) -> LeaseChange:
        """Take the incarnation that a peer reached at this agent's address."""
        if answered != self._incarnation:
            self._last = None
            return LeaseChange.REFUSED
        if not self._is_fresh(renewal):
            return LeaseChange.LATE
        if self._last is not None and self._is_fresh(self._last):
            self._last = max(self._last, renewal, key=lambda each: each.asked)
            return LeaseChange.RENEWED
        self._last = renewal
        self._acquired = self._clock.now()
        return LeaseChange.ACQUIRED

    def _is_fresh(self, renewal: Renewal) -> bool:
        elapsed = self._clock.now() - renewal.asked
        # The monotonic clock stands still while a VM is suspended, and the wall clock
        # may be set back; the lease ends by whichever shows more time.
        elapsed_wall = self._clock.wall() - renewal.asked_wall
        return max(elapsed, elapsed_wall) < self._duration_s
