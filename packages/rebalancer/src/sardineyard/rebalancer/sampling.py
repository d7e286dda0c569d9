"""Selection of the ranks that send expert counts to the coordinator."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from sardineyard.core.clock import Clock

# Time in seconds without counts after which a rank is replaced: a dozen lost
# datagrams.
_SILENCE_TIMEOUT_S = 1.2


class CountsSample:
    """Sample of ranks spread over the group, in which silent ranks are replaced."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        # Time of the last counts of each chosen rank, or of its choice; by upstream id.
        self._last_received_at: dict[str, float] = {}
        self._silent_ids: set[str] = set()

    @property
    def active_ids(self) -> frozenset[str]:
        """Return the upstream ids of the chosen ranks that are not silent."""
        oldest = self._clock.now() - _SILENCE_TIMEOUT_S
        return frozenset(
            id for id, at in self._last_received_at.items() if at >= oldest
        )

    @property
    def mean_age_s(self) -> float:
        """Return the mean age of the latest counts of the chosen ranks, in seconds."""
        now, ages = self._clock.now(), self._last_received_at.values()
        return sum(now - at for at in ages) / len(ages) if ages else 0.0

    def record_received(self, id: str) -> None:
        """Record that counts of a rank arrived."""
        if id in self._last_received_at:
            self._last_received_at[id] = self._clock.now()

    def choose(self, ids: Sequence[str], size: int) -> frozenset[str]:
        """Return the upstream ids of the ranks that are to send counts.

        Active ranks stay chosen. Ranks that fell silent are chosen again only if there
        are not enough others.
        """
        kept_ids = self.active_ids.intersection(ids)
        self._silent_ids |= self._last_received_at.keys() - kept_ids
        candidates = [
            id for id in ids if id not in kept_ids and id not in self._silent_ids
        ]
        missing = min(size, len(ids)) - len(kept_ids)
        if missing > len(candidates):
            self._silent_ids.clear()
            candidates = [id for id in ids if id not in kept_ids]
        new = [
            candidates[index * len(candidates) // missing] for index in range(missing)
        ]
        self._last_received_at = {id: self._last_received_at[id] for id in kept_ids}
        self._last_received_at |= dict.fromkeys(new, self._clock.now())
        return frozenset(self._last_received_at)
