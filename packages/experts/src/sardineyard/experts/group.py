"""What the ranks of a group report, and the orders that they follow."""

from __future__ import annotations

from enum import Enum, unique
from typing import TYPE_CHECKING, Protocol

import msgspec

from sardineyard.core.ids import ExpertIndex, RankIndex, StepNumber
from sardineyard.experts.maps import MapVersion

if TYPE_CHECKING:
    from sardineyard.core.ids import FencingNumber

# Experts of each rank, and of each rank for each set of layers.
Placement = tuple[tuple[ExpertIndex, ...], ...]
Layout = tuple[Placement, ...]


class RankReport(msgspec.Struct, frozen=True, array_like=True):
    """Hold what one rank says about itself and its group."""

    group: str
    rank: RankIndex
    size: int
    # Grows each time the group is formed anew; all ranks then have lost their maps.
    epoch: int
    is_open: bool
    # Unix millisecond of the start of this incarnation.
    started_ms: int
    # The last step that was begun.
    step: StepNumber
    version: MapVersion
    prepared: MapVersion | None
    armed: MapVersion | None
    armed_step: StepNumber | None
    held_step: StepNumber | None
    # Time of the rank's own work over the usual time.
    slowdown: float = 1.0

    @property
    def newest_version(self) -> MapVersion:
        """Return the greatest version that the rank tells of."""
        return max(
            self.version, self.prepared or MapVersion(0), self.armed or MapVersion(0)
        )


class RankCounts(msgspec.Struct, frozen=True, array_like=True):
    """Hold how often the requests of one rank chose each expert, set by set."""

    epoch: int
    step: StepNumber
    counts: tuple[int, ...]


class RankExperts(msgspec.Struct, frozen=True, array_like=True):
    """Hold the experts of one rank in the map in use, for each set of layers."""

    epoch: int
    version: MapVersion
    experts: Placement


class PrepareMap(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Load the experts that a map adds to the rank."""

    version: MapVersion
    layout: Layout


class ArmMap(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Use the prepared map from a step on."""

    version: MapVersion
    step: StepNumber


class DisarmMap(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Take back the order to use a map."""

    version: MapVersion


class HoldStep(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Keep the whole group from beginning a step until it is released."""

    step: StepNumber


class ReleaseStep(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Let the group begin a step that this rank holds."""

    step: StepNumber


MapOrder = PrepareMap | ArmMap | DisarmMap | HoldStep | ReleaseStep


@unique
class OrderResult(Enum):
    """Say what became of an order."""

    # Carried out, or the state held already.
    DONE = "done"
    STARTED = "started"
    # The order does not fit the state of the rank, or the epoch is another one.
    REFUSED = "refused"
    # A greater fencing number was used at this rank.
    FENCED = "fenced"
    # It may be carried out, now or seconds later.
    UNANSWERED = "unanswered"

    @property
    def is_accepted(self) -> bool:
        """Return whether the order is carried out."""
        return self in (OrderResult.DONE, OrderResult.STARTED)


class GroupRunner(Protocol):
    """Talk to the runner of one rank; reads return None where there is no answer."""

    async def report(self) -> RankReport | None:
        """Return what the rank says about itself."""

    async def counts(self) -> RankCounts | None:
        """Return how often each expert was chosen."""

    async def experts(self) -> RankExperts | None:
        """Return the experts of the rank."""

    async def order(
        self, order: MapOrder, epoch: int, fence: FencingNumber
    ) -> OrderResult:
        """Give an order that holds in one epoch of the group only."""

    def close(self) -> None:
        """Close the connections."""
