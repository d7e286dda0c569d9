"""Tests of the states of upstreams."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hypothesis import HealthCheck, given, settings, strategies

from sardineyard.core.ids import Incarnation, UpstreamId
from sardineyard.core.states import UpstreamState
from sardineyard.membership.evidence import (
    Heartbeat,
    OwnPause,
    SessionDown,
    SessionUp,
    VmReport,
)
from sardineyard.membership.pauses import PauseDetector
from sardineyard.membership.table import GONE_AFTER_S, LAST_KNOWN_FOR_S, MembershipTable

if TYPE_CHECKING:
    from collections.abc import Callable

    from sardineyard.core.clock import ManualClock

ONE, TWO = Incarnation(1), Incarnation(2)
NOBODY: frozenset[UpstreamId] = frozenset()


def test_silence_makes_suspect_and_a_heartbeat_live(
    make_table: Callable[[], MembershipTable], clock: ManualClock, upstreams
) -> None:
    """Guards against work for an agent that died without closing its connection."""
    table = make_table()
    clock.advance(2.4)
    assert table.state(upstreams[0]) is UpstreamState.LIVE
    clock.advance(0.2)
    assert table.state(upstreams[0]) is UpstreamState.SUSPECT
    table.learn(Heartbeat(upstreams[0], TWO, draining=False))
    assert table.state(upstreams[0]) is UpstreamState.SUSPECT, "another incarnation"
    table.learn(Heartbeat(upstreams[0], ONE, draining=False))
    assert table.state(upstreams[0]) is UpstreamState.LIVE


def test_either_report_of_leaving_stops_new_work(
    make_table: Callable[[], MembershipTable], upstreams
) -> None:
    """Guards against new work for an upstream that leaves, when one source lags."""
    table = make_table()
    table.learn(VmReport(frozenset(upstreams[1:]), frozenset(upstreams[:1])))
    table.learn(Heartbeat(upstreams[1], ONE, draining=True))
    states = [table.state(upstream) for upstream in upstreams[:3]]
    assert states == [UpstreamState.LEAVING, UpstreamState.LEAVING, UpstreamState.LIVE]
    table.learn(SessionUp(upstreams[1], TWO))
    assert table.state(upstreams[1]) is UpstreamState.LIVE, "its successor serves"


def test_the_last_known_set_holds_until_upstreams_are_gone(
    make_table: Callable[[], MembershipTable], clock: ManualClock, upstreams
) -> None:
    """Guards against a partition of this process that empties the set."""
    table = make_table()
    table.configure([*upstreams, UpstreamId("new")])
    for upstream in upstreams:
        table.learn(SessionDown(upstream))
    # The list lags: it misses one upstream that was heard a moment ago.
    table.learn(VmReport(frozenset(upstreams[1:]), NOBODY))
    for upstream in upstreams:
        assert table.routing_state(upstream) is UpstreamState.SUSPECT
    assert table.routing_state(UpstreamId("new")) is UpstreamState.GONE, "never heard"
    clock.advance(GONE_AFTER_S + 1)
    assert table.state(upstreams[0]) is UpstreamState.GONE
    assert table.routing_state(upstreams[1]) is UpstreamState.SUSPECT
    clock.advance(LAST_KNOWN_FOR_S)
    assert table.state(upstreams[1]) is UpstreamState.SUSPECT
    assert table.routing_state(upstreams[1]) is UpstreamState.GONE


def test_a_pause_of_this_process_makes_nobody_suspect(
    make_table: Callable[[], MembershipTable], clock: ManualClock, upstreams
) -> None:
    """Guards against a process that blames the upstreams for its own pause."""
    table = make_table()
    pauses = PauseDetector(clock, 0.25)
    clock.advance(1.2)
    assert pauses.tick() == 0.0
    clock.advance(30.25)
    paused_s = pauses.tick()
    assert paused_s == 30.0
    assert table.state(upstreams[0]) is UpstreamState.SUSPECT
    table.learn(OwnPause(paused_s))
    assert table.state(upstreams[0]) is UpstreamState.LIVE


@settings(
    max_examples=400,
    deadline=None,
    suppress_health_check=[HealthCheck.function_scoped_fixture],
)
@given(data=strategies.data())
def test_no_evidence_brings_a_leaving_or_unknown_upstream_into_a_set(
    make_table: Callable[[], MembershipTable], clock: ManualClock, upstreams, data
) -> None:
    """Guards against a sequence of evidence that lets work through to a leaving VM."""
    table = make_table()
    # Few ids make it likely that pieces of evidence meet.
    ids = strategies.sampled_from(upstreams[:2])
    incarnations = strategies.sampled_from([ONE, TWO])
    evidence = strategies.one_of(
        strategies.builds(SessionUp, ids, incarnations),
        strategies.builds(Heartbeat, ids, incarnations, strategies.booleans()),
        strategies.builds(SessionDown, ids),
        strategies.builds(OwnPause, strategies.floats(1, 60)),
        strategies.builds(
            VmReport, strategies.frozensets(ids), strategies.frozensets(ids)
        ),
    )
    draining: set[UpstreamId] = set()
    vm_leaving: frozenset[UpstreamId] = NOBODY
    heard = dict.fromkeys(upstreams, ONE)
    for piece in data.draw(strategies.lists(evidence, max_size=20)):
        table.learn(piece)
        # The simplest statement of the rule, beside the code that implements it.
        match piece:
            case SessionUp(upstream, incarnation):
                if heard[upstream] != incarnation:
                    draining.discard(upstream)
                heard[upstream] = incarnation
            case Heartbeat(upstream, incarnation, is_draining):
                if heard[upstream] == incarnation:
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


def test_a_leaving_upstream_that_was_never_heard_gets_no_request(
    clock, upstreams
) -> None:
    """Guards against a request that names no incarnation, which ended the entry."""
    table = MembershipTable(clock)
    table.configure(upstreams)
    table.learn(VmReport(live=frozenset(), leaving=frozenset(upstreams)))
    assert table.routing_state(upstreams[0]) is UpstreamState.GONE
