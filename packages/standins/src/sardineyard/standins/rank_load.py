"""Drifting Zipf popularity of experts, for stand-ins and benchmarks."""

from __future__ import annotations

from math import sqrt
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from random import Random


class DriftingPopularity:
    """Zipf popularity of experts whose order changes over time.

    Each drift moves one expert to another position of the order, like a topic that
    becomes more or less popular; the experts in between move by one position.
    """

    def __init__(self, experts: int, exponent: float, rng: Random) -> None:
        self._weights = [
            1.0 / (position + 1) ** exponent for position in range(experts)
        ]
        total = sum(self._weights)
        self._weights = [weight / total for weight in self._weights]
        self._order = list(range(experts))
        self._rng = rng
        rng.shuffle(self._order)

    @property
    def shares(self) -> list[float]:
        """Return the current share of the tokens of each expert."""
        shares = [0.0] * len(self._order)
        for position, expert in enumerate(self._order):
            shares[expert] = self._weights[position]
        return shares

    def drift(self) -> None:
        """Move one expert to another position of the popularity order."""
        expert = self._order.pop(self._rng.randrange(len(self._order)))
        self._order.insert(self._rng.randrange(len(self._order) + 1), expert)

    def sample(self, tokens: int) -> list[float]:
        """Return how many of a number of tokens are routed to each expert.

        Uses the normal approximation of the binomial distribution, whose cost does not
        grow with the number of tokens.
        """
        return [
            max(0.0, self._rng.gauss(tokens * share, sqrt(tokens * share)))
            for share in self.shares
        ]
