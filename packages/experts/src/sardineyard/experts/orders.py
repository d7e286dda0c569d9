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
    """Hold a map that is to be used from a step on."""

    number: FencingNumber
    map: ExpertMap
    step: StepNumber


@dataclass(frozen=True, slots=True)
class RunnerState:
    """Hold what the ranks of one runner remember; all of them agree on it."""

    # Changes whenever the ranks lost their memory.
    incarnation: Incarnation
    promised: FencingNumber
    # The next step that the ranks will begin.
    step: StepNumber
    in_use: ExpertMap | None = None
    prepared: Change | None = None
    decided: Change | None = None


@dataclass(frozen=True, slots=True)
class Read:
    """Ask for the state and for the promise to refuse every smaller number."""

    number: FencingNumber


@dataclass(frozen=True, slots=True)
class Prepare:
    """Load a map and hold the ranks at the step until the change is decided."""

    number: FencingNumber
    incarnation: Incarnation
    map: ExpertMap
    step: StepNumber
    # The map that the other ranks use, for ranks that lost theirs.
    base: ExpertMap | None = None


@dataclass(frozen=True, slots=True)
class Commit:
    """Use the prepared map from its step on."""

    number: FencingNumber
    incarnation: Incarnation
    version: MapVersion


@dataclass(frozen=True, slots=True)
class Abort:
    """Drop the change that was prepared under the target number, and no other."""

    number: FencingNumber
    incarnation: Incarnation
    target: FencingNumber


Order = Read | Prepare | Commit | Abort


@unique
class Refusal(Enum):
    """Say why an order was refused."""

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
    """Answer one order with the state after it."""

    order: Order
    refusal: Refusal | None
    state: RunnerState | None
