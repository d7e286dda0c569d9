"""Tests of replies that omit the map that the receiver already knows."""

import pytest

from sardineyard.agent.group_messages import GroupReply
from sardineyard.agent.group_wire import (
    omit_known_map,
    reply_from_wire,
    reply_to_wire,
    restore_known_map,
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
def test_shortened_reply_decodes_like_full_reply(in_use, known) -> None:
    """Guards against ranks without a map that appear to have one after shortening."""
    state = RunnerState(
        Incarnation(1), FencingNumber(2), StepNumber(3), in_use, None, None
    )
    report = RankReport(state, RankIndex(0), (0.5,), (7.0,), (3.0, 4.0))
    reply = GroupReply(None, report)
    encoded = reply_to_wire(reply)
    omit_known_map(encoded, known.version if known else 0)
    restore_known_map(encoded, known)
    assert reply_from_wire(encoded) == (None, report)
