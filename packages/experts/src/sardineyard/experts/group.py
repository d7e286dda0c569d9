"""Reports of the ranks of a group, and the orders sent to them."""

from __future__ import annotations

from enum import Enum, unique
from typing import TYPE_CHECKING, Protocol

import msgspec

from sardineyard.core.ids import ExpertIndex, RankIndex, StepNumber
from sardineyard.experts.maps import MapVersion

if TYPE_CHECKING:
    from sardineyard.core.ids import FencingNumber

# Experts of each rank, by rank index; and one such placement for each layer set, which
# is a set of layers that share a placement.
Placement = tuple[tuple[ExpertIndex, ...], ...]
Layout = tuple[Placement, ...]


class RankReport(msgspec.Struct, frozen=True, array_like=True):
    """State that one rank reports about itself and its group."""

    group: str
    rank: RankIndex
    size: int
    # Increases each time the group is re-formed; all ranks then have lost their maps.
    epoch: int
    is_open: bool
    # Start of this incarnation, in Unix milliseconds.
    started_ms: int
    # Last step that the rank has begun.
    step: StepNumber
    # Version of the map in use.
    version: MapVersion
    prepared: MapVersion | None
    armed: MapVersion | None
    armed_step: StepNumber | None
    held_step: StepNumber | None
    # Compute time of the rank relative to its baseline; 1.0 at normal speed.
    slowdown: float = 1.0

    @property
    def newest_version(self) -> MapVersion:
        """Return the highest version that is in use, prepared or armed on the rank."""
        return max(
            self.version, self.prepared or MapVersion(0), self.armed or MapVersion(0)
        )


class RankCounts(msgspec.Struct, frozen=True, array_like=True):
    """Cumulative count of tokens that one rank routed to each expert, by layer set."""

    epoch: int
    step: StepNumber
    counts: tuple[int, ...]


class RankExperts(msgspec.Struct, frozen=True, array_like=True):
    """Experts that one rank holds in the map in use, for each layer set."""

    epoch: int
    version: MapVersion
    experts: Placement


class PrepareMap(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Order to load the experts that a map adds to the rank."""

    version: MapVersion
    layout: Layout


class ArmMap(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Order to switch to the prepared map at a step."""

    version: MapVersion
    step: StepNumber


class DisarmMap(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Order to cancel the switch to an armed map."""

    version: MapVersion


class HoldStep(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Order to block the whole group from beginning a step until it is released."""

    step: StepNumber


class ReleaseStep(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Order to let the group begin a step that this rank holds."""

    step: StepNumber


MapOrder = PrepareMap | ArmMap | DisarmMap | HoldStep | ReleaseStep


@unique
class OrderResult(Enum):
    """Result of an order to a rank."""

    # Carried out, or the rank was already in the requested state.
    DONE = "done"
    STARTED = "started"
    # The state of the rank does not allow the order, or the epoch differs.
    REFUSED = "refused"
    # The rank has accepted a greater fencing number.
    FENCED = "fenced"
    # No reply: the order may have been carried out, or may be carried out later.
    UNANSWERED = "unanswered"

    @property
    def is_accepted(self) -> bool:
        """Return whether the rank has carried out the order or started to."""
        return self in (OrderResult.DONE, OrderResult.STARTED)


class RankRunner(Protocol):
    """Client of the runner of one rank; reads return None when there is no reply."""

    async def report(self) -> RankReport | None:
        """Return the state of the rank and of its group."""

    async def counts(self) -> RankCounts | None:
        """Return the cumulative count of tokens that the rank routed to each expert."""

    async def experts(self) -> RankExperts | None:
        """Return the experts that the rank holds."""

    async def order(
        self, order: MapOrder, epoch: int, fence: FencingNumber
    ) -> OrderResult:
        """Send an order that is valid in one epoch of the group only."""

    def close(self) -> None:
        """Close the connections."""
