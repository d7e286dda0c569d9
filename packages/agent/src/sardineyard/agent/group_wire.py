"""Conversion of group orders and replies to and from protobuf messages."""

from __future__ import annotations

from functools import singledispatch
from typing import TYPE_CHECKING

from sardineyard.core.ids import (
    ExpertIndex,
    FencingNumber,
    Incarnation,
    RankIndex,
    StepNumber,
)
from sardineyard.experts.maps import ExpertMap, MapVersion
from sardineyard.experts.orders import (
    Abort,
    Change,
    Commit,
    Prepare,
    Read,
    Refusal,
    RunnerState,
)
from sardineyard.experts.report import RankReport
from sardineyard.wire import session_pb2 as pb

if TYPE_CHECKING:
    from sardineyard.agent.group_messages import GroupReply
    from sardineyard.core.ids import (
        GroupId,
        UpstreamId,
    )
    from sardineyard.experts.orders import (
        Order,
    )


def order_to_wire(order: Order, group: GroupId, sender: UpstreamId) -> pb.GroupOrder:
    """Encode an order of a coordinator to another agent."""
    message = _to_wire(order)
    message.group = group
    message.asker = sender
    message.number = order.number
    return message


def order_from_wire(message: pb.GroupOrder) -> Order:
    """Decode an order; raise ValueError if it is malformed."""
    number = FencingNumber(message.number)
    incarnation = Incarnation(message.incarnation)
    if message.kind == pb.GroupOrder.READ:
        return Read(number)
    if message.kind == pb.GroupOrder.COMMIT:
        return Commit(number, incarnation, MapVersion(message.map_version))
    if message.kind == pb.GroupOrder.ABORT:
        return Abort(number, incarnation, FencingNumber(message.target))
    if not message.HasField("map"):
        raise ValueError("an order to prepare needs a map")
    base = _map_from_wire(message.base) if message.HasField("base") else None
    new = _map_from_wire(message.map)
    return Prepare(number, incarnation, new, StepNumber(message.step), base)


def reply_to_wire(reply: GroupReply) -> pb.GroupReply:
    """Encode the reply to an order."""
    refusal = reply.refusal.value if reply.refusal is not None else ""
    report = _report_to_wire(reply.report) if reply.report is not None else None
    return pb.GroupReply(accepted=not refusal, refusal=refusal, report=report)


def omit_known_map(reply: pb.GroupReply, known_version: int) -> None:
    """Remove the map in use from a reply to a coordinator that knows it."""
    # Clearing a field of an absent protobuf message would make the message present.
    has_map = reply.report.HasField("in_use")
    if has_map and reply.report.in_use.version == known_version:
        reply.report.in_use.ClearField("ranks")


def restore_known_map(reply: pb.GroupReply, known: ExpertMap | None) -> None:
    """Restore the ranks of a known map in a reply that omits them."""
    in_use = reply.report.in_use
    if known is not None and in_use.version == known.version and not in_use.ranks:
        in_use.CopyFrom(_map_to_wire(known))


def reply_from_wire(
    message: pb.GroupReply,
) -> tuple[Refusal | None, RankReport | None]:
    """Decode a reply; if it has neither refusal nor report, the runner is lost."""
    refusal = Refusal(message.refusal) if message.refusal else None
    if not message.HasField("report"):
        return refusal or Refusal.RUNNER_LOST, None
    return refusal, _report_from_wire(message.report)


@singledispatch
def _to_wire(order: object) -> pb.GroupOrder:
    raise TypeError(f"unknown order {type(order).__name__}")


@_to_wire.register(Read)
def _(order: Read) -> pb.GroupOrder:
    return pb.GroupOrder(kind=pb.GroupOrder.READ)


@_to_wire.register(Prepare)
def _(order: Prepare) -> pb.GroupOrder:
    return pb.GroupOrder(
        kind=pb.GroupOrder.PREPARE,
        incarnation=order.incarnation,
        step=order.step,
        map=_map_to_wire(order.map),
        base=_map_to_wire(order.base) if order.base is not None else None,
    )


@_to_wire.register(Commit)
def _(order: Commit) -> pb.GroupOrder:
    return pb.GroupOrder(
        kind=pb.GroupOrder.COMMIT,
        incarnation=order.incarnation,
        map_version=order.version,
    )


@_to_wire.register(Abort)
def _(order: Abort) -> pb.GroupOrder:
    return pb.GroupOrder(
        kind=pb.GroupOrder.ABORT, incarnation=order.incarnation, target=order.target
    )


def _map_to_wire(value: ExpertMap) -> pb.RankMap:
    ranks = [pb.RankExperts(experts=experts) for experts in value.ranks]
    return pb.RankMap(version=value.version, ranks=ranks)


def _map_from_wire(message: pb.RankMap) -> ExpertMap:
    ranks = tuple(
        tuple(ExpertIndex(expert) for expert in rank.experts) for rank in message.ranks
    )
    return ExpertMap(MapVersion(message.version), ranks)


def _change_to_wire(change: Change | None) -> pb.MapChange | None:
    if change is None:
        return None
    new = _map_to_wire(change.map)
    return pb.MapChange(number=change.number, map=new, step=change.step)


def _change_from_wire(message: pb.MapChange) -> Change:
    return Change(
        FencingNumber(message.number),
        _map_from_wire(message.map),
        StepNumber(message.step),
    )


def _report_to_wire(report: RankReport) -> pb.GroupReport:
    state = report.state
    return pb.GroupReport(
        incarnation=state.incarnation,
        promised=state.promised,
        step=state.step,
        in_use=_map_to_wire(state.in_use) if state.in_use is not None else None,
        prepared=_change_to_wire(state.prepared),
        decided=_change_to_wire(state.decided),
        first_rank=report.first_rank,
        busy_s=report.busy_s,
        tokens=[int(count) for count in report.tokens],
        expert_tokens=[int(count) for count in report.expert_tokens],
        late=report.late,
        lost=report.lost,
    )


def _report_from_wire(message: pb.GroupReport) -> RankReport:
    has = message.HasField
    state = RunnerState(
        Incarnation(message.incarnation),
        FencingNumber(message.promised),
        StepNumber(message.step),
        _map_from_wire(message.in_use) if has("in_use") else None,
        _change_from_wire(message.prepared) if has("prepared") else None,
        _change_from_wire(message.decided) if has("decided") else None,
    )
    return RankReport(
        state,
        RankIndex(message.first_rank),
        tuple(message.busy_s),
        tuple(message.tokens),
        tuple(message.expert_tokens),
        tuple(RankIndex(rank) for rank in message.late),
        tuple(RankIndex(rank) for rank in message.lost),
    )
