"""Messages between rebalancers, and to the tasks inside one rebalancer."""

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
    """Request of a coordinator for the state of a rank."""

    # Fencing number of the coordinator, here and in `OrderRequest`.
    fence: FencingNumber
    with_counts: bool = False
    with_experts: bool = False
    # Host to which the rank pushes its expert counts for the next few seconds; empty if
    # the rank need not push any.
    counts_to: str = ""
    # Interval between two datagrams with counts, in seconds.
    counts_every_s: float = 0.1


class GatherReply(msgspec.Struct, frozen=True):
    """State of a rank; a known fence above that of the request deposes its sender."""

    known_fence: FencingNumber
    report: RankReport | None = None
    counts: RankCounts | None = None
    experts: RankExperts | None = None


class OrderRequest(msgspec.Struct, frozen=True):
    """Order of the coordinator to one rank."""

    fence: FencingNumber
    epoch: int
    order: PrepareMap | ArmMap | DisarmMap | HoldStep | ReleaseStep
    # Longest time the reply to a prepare order may be delayed until the map is loaded,
    # in seconds.
    wait_s: float = 0.0


class OrderReply(msgspec.Struct, frozen=True):
    """Result of an order, and the greatest fencing number known to the rank."""

    result: OrderResult
    known_fence: FencingNumber


class RelayRequest(msgspec.Struct, frozen=True):
    """Order to the receiver's rank, which the receiver also forwards to others."""

    rank: RankIndex
    order: OrderRequest
    # Hosts of the rebalancers to forward the order to, by rank.
    hosts: dict[RankIndex, str]


class RelayReply(msgspec.Struct, frozen=True):
    """Results of a relayed order, by rank, from the ranks that replied."""

    replies: dict[RankIndex, OrderReply]


@dataclass(frozen=True, slots=True)
class GatherCall:
    """Incoming gather request for the task that owns the runner connection."""

    request: GatherRequest
    reply: Reply[GatherReply]


@dataclass(frozen=True, slots=True)
class OrderCall:
    """Incoming order for the task that owns the runner connection."""

    request: OrderRequest
    reply: Reply[OrderReply]


@dataclass(frozen=True, slots=True)
class RelayCall:
    """Incoming relay request for the task that relays orders."""

    request: RelayRequest
    reply: Reply[RelayReply]


class GroupDump(msgspec.Struct, frozen=True):
    """State of the group, as the admin server shows it."""

    is_coordinator: bool
    known_fence: int
    report: RankReport | None
    skew: float
    changes: int
