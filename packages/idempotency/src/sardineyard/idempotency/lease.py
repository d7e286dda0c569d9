"""Lease on an agent's address, renewed by peers that reach the agent there."""

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
    """Effect of a peer's confirmation on the lease."""

    ACQUIRED = "acquired"
    RENEWED = "renewed"
    REFUSED = "refused"
    LATE = "late"


@dataclass(frozen=True, slots=True)
class Renewal:
    """Times at which a confirmation was requested; the lease runs from them."""

    requested_at: float
    requested_at_wall: WallTime


def begin_renewal(clock: Clock) -> Renewal:
    """Return the start times of a renewal; call this before the request to a peer."""
    return Renewal(clock.now(), clock.wall())


class AddressLease:
    """Lease that is held while peers reach this incarnation at its own address."""

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
        self._acquired_at = 0.0

    @property
    def duration_s(self) -> float:
        """Return for how many seconds one confirmation is valid."""
        return self._duration_s

    @property
    def incarnation(self) -> Incarnation:
        """Return the incarnation that this lease is for."""
        return self._incarnation

    @property
    def held(self) -> bool:
        """Return whether keyed calls may be accepted now."""
        # A confirmation that was requested at least one lease duration after the
        # acquisition proves that no other incarnation acquired the address between two
        # confirmations.
        return (
            self._last is not None
            and self._is_fresh(self._last)
            and self._last.requested_at >= self._acquired_at + self._duration_s
        )

    def confirm(self, renewal: Renewal, reached: Incarnation) -> LeaseChange:
        """Apply a confirmation: the incarnation that a peer reached at this address."""
        if reached != self._incarnation:
            self._last = None
            return LeaseChange.REFUSED
        if not self._is_fresh(renewal):
            return LeaseChange.LATE
        if self._last is not None and self._is_fresh(self._last):
            self._last = max(self._last, renewal, key=lambda each: each.requested_at)
            return LeaseChange.RENEWED
        self._last = renewal
        self._acquired_at = self._clock.now()
        return LeaseChange.ACQUIRED

    def _is_fresh(self, renewal: Renewal) -> bool:
        elapsed = self._clock.now() - renewal.requested_at
        # The monotonic clock stops while a VM is suspended, and the wall clock may be
        # set back, so the larger of the two elapsed times counts.
        elapsed_wall = self._clock.wall() - renewal.requested_at_wall
        return max(elapsed, elapsed_wall) < self._duration_s
