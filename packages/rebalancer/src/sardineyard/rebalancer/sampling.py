"""Which ranks of a group send their counts to the coordinator."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from sardineyard.core.clock import Clock

# Silence after which another rank is to send counts: a dozen lost datagrams.
_SILENT_S = 1.2


class CountsSample:
    """Choose ranks spread over the group and replace those that fall silent."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        # When each chosen rank was last heard, or chosen; by upstream id.
        self._heard_at: dict[str, float] = {}
        self._silent: set[str] = set()

    @property
    def heard(self) -> frozenset[str]:
        """Return the chosen ranks that are not silent."""
        oldest = self._clock.now() - _SILENT_S
        return frozenset(id for id, at in self._heard_at.items() if at >= oldest)

    @property
    def mean_age_s(self) -> float:
        """Return the mean age of the last counts of the chosen ranks, in seconds."""
        now, ages = self._clock.now(), self._heard_at.values()
        return sum(now - at for at in ages) / len(ages) if ages else 0.0

    def hear(self, id: str) -> None:
        """Note that counts of a rank arrived."""
        if id in self._heard_at:
            self._heard_at[id] = self._clock.now()

    def choose(self, ids: Sequence[str], size: int) -> frozenset[str]:
        """Return the ranks that are to send counts, as far as possible those of before.

        Ranks that were silent are chosen again only when there are no others.
        """
        kept = self.heard.intersection(ids)
        self._silent |= self._heard_at.keys() - kept
        others = [id for id in ids if id not in kept and id not in self._silent]
        missing = min(size, len(ids)) - len(kept)
        if missing > len(others):
            self._silent.clear()
            others = [id for id in ids if id not in kept]
        new = [others[index * len(others) // missing] for index in range(missing)]
        self._heard_at = {id: self._heard_at[id] for id in kept}
        self._heard_at |= dict.fromkeys(new, self._clock.now())
        return frozenset(self._heard_at)
