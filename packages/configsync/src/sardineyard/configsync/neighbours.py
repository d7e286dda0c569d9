"""Choose the few peers to which a process keeps a connection."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sardineyard.core.clock import Deadline

if TYPE_CHECKING:
    from collections.abc import Iterable
    from random import Random

    from sardineyard.core.address import Address

# A random graph of this degree passes a document through 1,070 processes in a few
# rounds, and new connections stay rare.
NEIGHBOURS = 6
ROTATION_S = 10.0
# An address that failed is left alone for a time with full jitter up to this bound.
_LONGEST_PAUSE_S = 10.0


class Neighbours:
    """Keep a small random set of peer addresses and replace them one by one."""

    def __init__(self, random: Random) -> None:
        self._random = random
        self._current: list[Address] = []
        self._failures: dict[Address, int] = {}
        self._paused_until: dict[Address, Deadline] = {}
        self._rotate_at = Deadline(0.0)

    @property
    def current(self) -> tuple[Address, ...]:
        """Return the addresses of the set."""
        return tuple(self._current)

    def refresh(self, known: Iterable[Address], now: float) -> tuple[Address, ...]:
        """Fill the set from known addresses; return those that left it."""
        candidates = set(known)
        before = set(self._current)
        kept = [address for address in self._current if address in candidates]
        if now >= self._rotate_at:
            self._rotate_at = Deadline(now + ROTATION_S)
            if len(kept) == NEIGHBOURS and len(candidates) > NEIGHBOURS:
                kept.pop(self._random.randrange(len(kept)))
        usable = sorted(
            address
            for address in candidates.difference(kept)
            if now >= self._paused_until.get(address, 0.0)
        )
        count = min(NEIGHBOURS - len(kept), len(usable))
        self._current = kept + self._random.sample(usable, count)
        return tuple(before.difference(self._current))

    def choose(self) -> Address | None:
        """Return the peer of the next exchange."""
        return self._random.choice(self._current) if self._current else None

    def failed(self, address: Address, now: float) -> None:
        """Take an address out of the set for a while."""
        failures = self._failures.get(address, 0) + 1
        self._failures[address] = failures
        bound = min(_LONGEST_PAUSE_S, 0.5 * 2.0 ** min(failures, 10))
        pause = self._random.uniform(0, bound)
        self._paused_until[address] = Deadline(now + pause)
        if address in self._current:
            self._current.remove(address)

    def succeeded(self, address: Address) -> None:
        """Forget earlier failures of an address."""
        self._failures.pop(address, None)
        self._paused_until.pop(address, None)
