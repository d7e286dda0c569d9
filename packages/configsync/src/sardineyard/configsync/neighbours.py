"""Selection of the few peers to which a process keeps connections."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sardineyard.core.clock import Deadline

if TYPE_CHECKING:
    from collections.abc import Iterable
    from random import Random

    from sardineyard.core.address import Address

# Gossip over a random graph of this degree reaches 1,070 processes in a few rounds,
# and new connections stay rare.
NEIGHBOUR_COUNT = 6
ROTATION_INTERVAL_S = 10.0
# Max backoff of an address after failed calls; the delay has full jitter.
_MAX_BACKOFF_S = 10.0


class Neighbours:
    """Small random set of peer addresses, of which one is replaced at each rotation."""

    def __init__(self, random: Random) -> None:
        self._random = random
        self._current: list[Address] = []
        self._failures: dict[Address, int] = {}
        self._backoff_until: dict[Address, Deadline] = {}
        self._rotate_at = Deadline(0.0)

    @property
    def current(self) -> tuple[Address, ...]:
        """Return the addresses in the set."""
        return tuple(self._current)

    def refresh(self, known: Iterable[Address], now: float) -> tuple[Address, ...]:
        """Update the set from the known addresses; return the ones that left it."""
        candidates = set(known)
        before = set(self._current)
        kept = [address for address in self._current if address in candidates]
        if now >= self._rotate_at:
            self._rotate_at = Deadline(now + ROTATION_INTERVAL_S)
            if len(kept) == NEIGHBOUR_COUNT and len(candidates) > NEIGHBOUR_COUNT:
                kept.pop(self._random.randrange(len(kept)))
        usable = sorted(
            address
            for address in candidates.difference(kept)
            if now >= self._backoff_until.get(address, 0.0)
        )
        count = min(NEIGHBOUR_COUNT - len(kept), len(usable))
        self._current = kept + self._random.sample(usable, count)
        return tuple(before.difference(self._current))

    def choose(self) -> Address | None:
        """Return a random peer for the next exchange, or None if the set is empty."""
        return self._random.choice(self._current) if self._current else None

    def record_failure(self, address: Address, now: float) -> None:
        """Remove an address from the set and exclude it until its backoff ends."""
        failures = self._failures.get(address, 0) + 1
        self._failures[address] = failures
        max_delay = min(_MAX_BACKOFF_S, 0.5 * 2.0 ** min(failures, 10))
        delay = self._random.uniform(0, max_delay)
        self._backoff_until[address] = Deadline(now + delay)
        if address in self._current:
            self._current.remove(address)

    def record_success(self, address: Address) -> None:
        """Clear the failures and the backoff of an address."""
        self._failures.pop(address, None)
        self._backoff_until.pop(address, None)
