"""Messages of the commit protocol for expert maps."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, unique
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sardineyard.core.ids import FencingNumber, Incarnation, StepNumber
    from sardineyard.experts.maps import ExpertMap, MapVersion


@dataclass(frozen=True, slots=True)
class Change:
    """Expert map that takes effect at a step."""

    number: FencingNumber
    map: ExpertMap
    step: StepNumber


@dataclass(frozen=True, slots=True)
class RunnerState:
    """Protocol state of the ranks of one runner, identical on all of them."""

    # Changes whenever the ranks have lost their state.
    incarnation: Incarnation
    promised: FencingNumber
    # The next step that the ranks will begin.
    step: StepNumber
    in_use: ExpertMap | None = None
    prepared: Change | None = None
    decided: Change | None = None


@dataclass(frozen=True, slots=True)
class Read:
    """Request for the state and for a promise to refuse all smaller fencing numbers."""

    number: FencingNumber


@dataclass(frozen=True, slots=True)
class Prepare:
    """Order to load a map and to wait at its step until the change is decided."""

    number: FencingNumber
    incarnation: Incarnation
    map: ExpertMap
    step: StepNumber
    # Map in use on the other ranks, for ranks that have lost theirs.
    base: ExpertMap | None = None


@dataclass(frozen=True, slots=True)
class Commit:
    """Order to use the prepared map from its step on."""

    number: FencingNumber
    incarnation: Incarnation
    version: MapVersion


@dataclass(frozen=True, slots=True)
class Abort:
    """Order to drop the change that was prepared under the target number only."""

    number: FencingNumber
    incarnation: Incarnation
    target: FencingNumber


Order = Read | Prepare | Commit | Abort


@unique
class Refusal(Enum):
    """Reason why an order was refused."""

    OLD_NUMBER = "old_number"
    OTHER_INCARNATION = "other_incarnation"
    STEP_PASSED = "step_passed"
    NO_MAP = "no_map"
    CHANGE_PENDING = "change_pending"
    NOT_PREPARED = "not_prepared"
    RUNNER_LOST = "runner_lost"
    NOT_A_MEMBER = "not_a_member"


@dataclass(frozen=True, slots=True)
class OrderReply:
    """Reply to one order, with the state after it."""

    order: Order
    refusal: Refusal | None
    state: RunnerState | None
