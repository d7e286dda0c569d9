"""Messages between the tasks of an agent that take part in a group of ranks."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sardineyard.core.ids import GroupId, UpstreamId
    from sardineyard.core.mailbox import Reply
    from sardineyard.experts.orders import Order, Refusal
    from sardineyard.experts.report import RankReport
    from sardineyard.telemetry.state import GroupView


@dataclass(frozen=True, slots=True)
class GroupAnswer:
    """Answer an order with the report of the ranks, when they gave one."""

    refusal: Refusal | None
    report: RankReport | None


@dataclass(frozen=True, slots=True)
class OrderArrived:
    """Hand an order to the participant."""

    order: Order
    group: GroupId
    asker: UpstreamId
    reply: Reply[GroupAnswer]


@dataclass(frozen=True, slots=True)
class OrderSeen:
    """Tell the coordinator that another agent gives orders to the group."""

    asker: UpstreamId


@dataclass(frozen=True, slots=True)
class ReadGroup:
    """Ask the coordinator what is known about the group, if there is one."""

    reply: Reply[GroupView | None]
