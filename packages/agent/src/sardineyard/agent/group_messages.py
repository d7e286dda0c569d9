"""Messages between the tasks that change the expert map of a group of ranks."""

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
class GroupReply:
    """Reply to an order; the report is None if the ranks did not respond."""

    refusal: Refusal | None
    report: RankReport | None


@dataclass(frozen=True, slots=True)
class OrderReceived:
    """Pass an order from a coordinator to the participant."""

    order: Order
    group: GroupId
    # Upstream of the agent that sent the order.
    sender: UpstreamId
    reply: Reply[GroupReply]


@dataclass(frozen=True, slots=True)
class PeerOrderAccepted:
    """Notify the coordinator that the ranks accepted an order of another agent."""

    sender: UpstreamId


@dataclass(frozen=True, slots=True)
class ReadGroup:
    """Request the state of the group; the reply is None without a group."""

    reply: Reply[GroupView | None]
