"""Messages between rebalancers, and to the task that owns the runner."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec

from sardineyard.core.ids import FencingNumber, RankIndex
from sardineyard.experts.group import (
    ArmMap,
    DisarmMap,
    HoldStep,
    OrderResult,
    PrepareMap,
    RankCounts,
    RankExperts,
    RankReport,
    ReleaseStep,
)

if TYPE_CHECKING:
    from sardineyard.core.mailbox import Reply


class GatherRequest(msgspec.Struct, frozen=True):
    """Ask a rank for its state, in the name of the coordinator with a number."""

    fence: FencingNumber
    with_counts: bool = False
    with_experts: bool = False
    # Host of the coordinator, to which the rank sends its counts for some seconds;
    # empty where it shall not.
    counts_to: str = ""
    # Seconds between two datagrams with counts.
    counts_every_s: float = 0.1


class GatherReply(msgspec.Struct, frozen=True):
    """Answer with the state; a greater known number deposes the sender."""

    known_fence: FencingNumber
    report: RankReport | None = None
    counts: RankCounts | None = None
    experts: RankExperts | None = None


class OrderRequest(msgspec.Struct, frozen=True):
    """Give an order to a rank."""

    fence: FencingNumber
    epoch: int
    order: PrepareMap | ArmMap | DisarmMap | HoldStep | ReleaseStep
    # Seconds for which the answer to a prepare order may wait until the map is loaded.
    wait_s: float = 0.0


class OrderReply(msgspec.Struct, frozen=True):
    """Say what became of an order."""

    result: OrderResult
    known_fence: FencingNumber


class RelayRequest(msgspec.Struct, frozen=True):
    """Give an order to the receiver's rank and pass it on to others."""

    rank: RankIndex
    order: OrderRequest
    # Rebalancers to pass the order on to, by rank.
    hosts: dict[RankIndex, str]


class RelayReply(msgspec.Struct, frozen=True):
    """Say what became of an order at each rank that answered."""

    replies: dict[RankIndex, OrderReply]


@dataclass(frozen=True, slots=True)
class GatherAsked:
    """Pass a request for the state on to the owner of the runner."""

    request: GatherRequest
    reply: Reply[GatherReply]


@dataclass(frozen=True, slots=True)
class OrderAsked:
    """Pass an order on to the owner of the runner."""

    request: OrderRequest
    reply: Reply[OrderReply]


@dataclass(frozen=True, slots=True)
class RelayAsked:
    """Pass an order for several ranks on to the task that relays orders."""

    request: RelayRequest
    reply: Reply[RelayReply]


class GroupDump(msgspec.Struct, frozen=True):
    """Show what a rebalancer knows about its group."""

    is_coordinator: bool
    known_fence: int
    report: RankReport | None
    skew: float
    changes: int
