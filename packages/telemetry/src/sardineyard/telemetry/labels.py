"""Label values of the metrics, with a bounded number of values each."""

from __future__ import annotations

from enum import Enum, unique

# Teams are not a label: 5,200 teams by priority, outcome and kind would be more than a
# million series in each process.
_STANDARD_WEIGHT = 1.0


@unique
class TeamClass(Enum):
    """Class of a team by its weight in the document."""

    LIGHT = "light"
    STANDARD = "standard"
    HEAVY = "heavy"
    # The request was refused before its team was known.
    NONE = "none"


def team_class(weight: float) -> TeamClass:
    """Return the class for the weight of a team."""
    if weight < _STANDARD_WEIGHT:
        return TeamClass.LIGHT
    return TeamClass.HEAVY if weight > _STANDARD_WEIGHT else TeamClass.STANDARD
