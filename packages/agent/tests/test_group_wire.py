"""Tests of the shortened replies between the agents of a group."""

import pytest

from sardineyard.agent.group_messages import GroupAnswer
from sardineyard.agent.group_wire import (
    answer_from_wire,
    answer_to_wire,
    fill_in_known_map,
    leave_out_known_map,
)
from sardineyard.core.ids import (
    ExpertIndex,
    FencingNumber,
    Incarnation,
    RankIndex,
    StepNumber,
)
from sardineyard.experts.maps import ExpertMap, MapVersion
from sardineyard.experts.orders import RunnerState
from sardineyard.experts.report import RankReport

KNOWN = ExpertMap(MapVersion(3), ((ExpertIndex(0),), (ExpertIndex(1),)))


@pytest.mark.parametrize("in_use", [None, KNOWN])
@pytest.mark.parametrize("known", [None, KNOWN])
def test_a_shortened_reply_says_the_same_as_the_whole_one(in_use, known) -> None:
    """Guards against ranks without a map that seem to have one after shortening."""
    state = RunnerState(
        Incarnation(1), FencingNumber(2), StepNumber(3), in_use, None, None
    )
    report = RankReport(state, RankIndex(0), (0.5,), (7.0,), (3.0, 4.0))
    answer = GroupAnswer(None, report)
    reply = answer_to_wire(answer)
    leave_out_known_map(reply, known.version if known else 0)
    fill_in_known_map(reply, known)
    assert answer_from_wire(reply) == (None, report)
