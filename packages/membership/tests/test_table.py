"""Tests of the states of upstreams."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hypothesis import HealthCheck, given, settings, strategies

from sardineyard.core.ids import Incarnation, UpstreamId
from sardineyard.core.states import UpstreamState
from sardineyard.membership.evidence import (
    Heartbeat,
    ProcessPaused,
    SessionDown,
    SessionUp,
    VmReport,
)
from sardineyard.membership.pauses import PauseDetector
from sardineyard.membership.table import (
    GONE_AFTER_S,
    MAX_SUSPECT_SILENCE_S,
    MembershipTable,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from sardineyard.core.clock import ManualClock

FIRST, SECOND = Incarnation(1), Incarnation(2)
NO_UPSTREAMS: frozenset[UpstreamId] = frozenset()


def test_silent_upstream_is_suspect_until_its_next_heartbeat(
    make_table: Callable[[], MembershipTable], clock: ManualClock, upstreams
) -> None:
    """Guards against requests to an agent that died without closing its connection."""
    table = make_table()
    clock.advance(2.4)
    assert table.state(upstreams[0]) is UpstreamState.LIVE
    clock.advance(0.2)
    assert table.state(upstreams[0]) is UpstreamState.SUSPECT
    table.apply(Heartbeat(upstreams[0], SECOND, draining=False))
    assert table.state(upstreams[0]) is UpstreamState.SUSPECT, (
        "heartbeat of another incarnation"
    )
    table.apply(Heartbeat(upstreams[0], FIRST, draining=False))
    assert table.state(upstreams[0]) is UpstreamState.LIVE


def test_upstream_is_leaving_if_either_source_reports_it(
    make_table: Callable[[], MembershipTable], upstreams
) -> None:
    """Guards against new requests to a leaving upstream while one source lags."""
    table = make_table()
    table.apply(VmReport(frozenset(upstreams[1:]), frozenset(upstreams[:1])))
    table.apply(Heartbeat(upstreams[1], FIRST, draining=True))
    states = [table.state(upstream) for upstream in upstreams[:3]]
    assert states == [UpstreamState.LEAVING, UpstreamState.LEAVING, UpstreamState.LIVE]
    table.apply(SessionUp(upstreams[1], SECOND))
    assert table.state(upstreams[1]) is UpstreamState.LIVE, (
        "the new incarnation is not draining"
    )


def test_suspect_upstreams_stay_routable_for_a_limited_time(
    make_table: Callable[[], MembershipTable], clock: ManualClock, upstreams
) -> None:
    """Guards against an empty last known set when this process is partitioned."""
    table = make_table()
    table.configure([*upstreams, UpstreamId("new")])
    for upstream in upstreams:
        table.apply(SessionDown(upstream))
    # The VM list lags: one upstream is missing that had a session a moment ago.
    table.apply(VmReport(frozenset(upstreams[1:]), NO_UPSTREAMS))
    for upstream in upstreams:
        assert table.routing_state(upstream) is UpstreamState.SUSPECT
    assert table.routing_state(UpstreamId("new")) is UpstreamState.GONE, (
        "no session was ever open"
    )
    clock.advance(GONE_AFTER_S + 1)
    assert table.state(upstreams[0]) is UpstreamState.GONE
    assert table.routing_state(upstreams[1]) is UpstreamState.SUSPECT
    clock.advance(MAX_SUSPECT_SILENCE_S)
    assert table.state(upstreams[1]) is UpstreamState.SUSPECT
    assert table.routing_state(upstreams[1]) is UpstreamState.GONE


def test_local_pause_makes_no_upstream_suspect(
    make_table: Callable[[], MembershipTable], clock: ManualClock, upstreams
) -> None:
    """Guards against a pause of this process that counts as silence of upstreams."""
    table = make_table()
    pauses = PauseDetector(clock, 0.25)
    clock.advance(1.2)
    assert pauses.tick() == 0.0
    clock.advance(30.25)
    paused_s = pauses.tick()
    assert paused_s == 30.0
    assert table.state(upstreams[0]) is UpstreamState.SUSPECT
    table.apply(ProcessPaused(paused_s))
    assert table.state(upstreams[0]) is UpstreamState.LIVE


@settings(
    max_examples=400,
    deadline=None,
    suppress_health_check=[HealthCheck.function_scoped_fixture],
)
@given(data=strategies.data())
def test_leaving_upstream_is_never_live_or_suspect(
    make_table: Callable[[], MembershipTable], clock: ManualClock, upstreams, data
) -> None:
    """Guards against evidence in an order that permits requests to a leaving VM."""
    table = make_table()
    # With few ids, pieces of evidence about the same upstream are likely.
    ids = strategies.sampled_from(upstreams[:2])
    incarnations = strategies.sampled_from([FIRST, SECOND])
    evidence = strategies.one_of(
        strategies.builds(SessionUp, ids, incarnations),
        strategies.builds(Heartbeat, ids, incarnations, strategies.booleans()),
        strategies.builds(SessionDown, ids),
        strategies.builds(ProcessPaused, strategies.floats(1, 60)),
        strategies.builds(
            VmReport, strategies.frozensets(ids), strategies.frozensets(ids)
        ),
    )
    draining: set[UpstreamId] = set()
    vm_leaving: frozenset[UpstreamId] = NO_UPSTREAMS
    last_incarnation = dict.fromkeys(upstreams, FIRST)
    for piece in data.draw(strategies.lists(evidence, max_size=20)):
        table.apply(piece)
        # A minimal model of the rule, independent of the implementation.
        match piece:
            case SessionUp(upstream, incarnation):
                if last_incarnation[upstream] != incarnation:
                    draining.discard(upstream)
                last_incarnation[upstream] = incarnation
            case Heartbeat(upstream, incarnation, is_draining):
                if last_incarnation[upstream] == incarnation:
                    (draining.add if is_draining else draining.discard)(upstream)
            case VmReport(_, leaving):
                vm_leaving = leaving
        clock.advance(data.draw(strategies.sampled_from([0.0, 0.5, 3.0])))
        for upstream in upstreams:
            if upstream in draining | vm_leaving:
                assert table.state(upstream) in (
                    UpstreamState.LEAVING,
                    UpstreamState.GONE,
                )


def test_leaving_upstream_without_incarnation_is_not_routable(clock, upstreams) -> None:
    """Guards against a request without an incarnation, which stopped the entry."""
    table = MembershipTable(clock)
    table.configure(upstreams)
    table.apply(VmReport(live=frozenset(), leaving=frozenset(upstreams)))
    assert table.routing_state(upstreams[0]) is UpstreamState.GONE
