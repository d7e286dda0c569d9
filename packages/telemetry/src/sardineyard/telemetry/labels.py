"""Label values of the metrics, each from a small closed set."""

from __future__ import annotations

from enum import Enum, unique

# A single team is not a label: 5,200 teams by priority, outcome and kind would make
# more than a million series in each process.
_STANDARD_WEIGHT = 1.0


@unique
class TeamClass(Enum):
    """Sort teams by their weight in the document."""

    LIGHT = "light"
    STANDARD = "standard"
    HEAVY = "heavy"
    # The request was refused before its team was known.
    NONE = "none"


def team_class(weight: float) -> TeamClass:
    """Return the class of a team with this weight."""
    if weight < _STANDARD_WEIGHT:
        return TeamClass.LIGHT
    return TeamClass.HEAVY if weight > _STANDARD_WEIGHT else TeamClass.STANDARD
