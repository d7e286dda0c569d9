"""Drifting Zipf popularity of experts for stand-ins and benchmarks."""

from __future__ import annotations

from math import sqrt
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from random import Random


class DriftingPopularity:
    """Give each expert a Zipf weight and let experts exchange their places.

    Each drift moves one expert to another place, as a topic that becomes more or
    less popular does; the experts between move by one place.
    """

    def __init__(self, experts: int, exponent: float, rng: Random) -> None:
        self._weights = [1.0 / (place + 1) ** exponent for place in range(experts)]
        total = sum(self._weights)
        self._weights = [weight / total for weight in self._weights]
        self._order = list(range(experts))
        self._rng = rng
        rng.shuffle(self._order)

    @property
    def shares(self) -> list[float]:
        """Return the share of tokens that each expert gets now."""
        shares = [0.0] * len(self._order)
        for place, expert in enumerate(self._order):
            shares[expert] = self._weights[place]
        return shares

    def drift(self) -> None:
        """Move one expert to another place."""
        expert = self._order.pop(self._rng.randrange(len(self._order)))
        self._order.insert(self._rng.randrange(len(self._order) + 1), expert)

    def sample(self, tokens: int) -> list[float]:
        """Return how many of a number of tokens go to each expert.

        The normal approximation of the binomial distribution costs the same for any
        number of tokens.
        """
        return [
            max(0.0, self._rng.gauss(tokens * share, sqrt(tokens * share)))
            for share in self.shares
        ]
