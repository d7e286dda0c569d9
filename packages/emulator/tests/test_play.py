"""Tests of played days."""

from __future__ import annotations

from dataclasses import replace

import pytest

from sardineyard.emulator.callers import Outcome
from sardineyard.emulator.days import Day, Kind, Trouble
from sardineyard.emulator.play import Emulation
from sardineyard.emulator.tables import table_of

CALM = Day(
    length_s=8.0,
    kinds={
        "urgent": Kind(17.0, worth=2.9),
        "usual": Kind(13.0, priority=1, worth=1.5),
        "patient": Kind(7.0, priority=2, target_s=1.0, worth=0.8),
    },
)


def share(day: Day, outcome: Outcome, priority: int | None = None) -> float:
    """Return the part of the requests that ended in one way."""
    requests = [
        request
        for request in Emulation(day, 3).run().requests
        if priority in (None, request.kind.priority)
    ]
    return sum(request.outcome is outcome for request in requests) / len(requests)


def test_a_calm_day_is_served_in_time() -> None:
    """Guards against a change of places or maps that loses the calm day."""
    assert share(CALM, Outcome.IN_TIME) > 0.9


def test_the_same_seed_plays_the_same_day() -> None:
    """Guards against policies that are compared on different days."""
    first, second = (list(table_of(Emulation(CALM, 5).run())) for _ in range(2))
    assert first == second


def test_a_static_map_serves_less() -> None:
    """Guards against a planner whose gain is lost without a sign."""
    leveled = Emulation(CALM, 3).run()
    static = Emulation(CALM, 3, levels_map=False).run()
    assert static.copies == 0
    assert static.worth < leveled.worth - 0.2


@pytest.mark.parametrize(
    "trouble",
    [Trouble(2.0, 3.0, burst=1.8), Trouble(2.0, 3.0, slowdown=6.0)],
    ids=["burst", "slow-rank"],
)
def test_every_request_ends_and_the_urgent_ones_go_first(trouble: Trouble) -> None:
    """Guards against requests that wait for ever and against a wrong order."""
    day = replace(CALM, troubles=(trouble,))
    played = Emulation(day, 3).run()
    assert all(request.outcome is not None for request in played.requests)
    lost = [share(day, Outcome.LOST, priority) for priority in (0, 2)]
    assert lost[0] <= lost[1] + 0.05


def test_a_burst_makes_answers_late() -> None:
    """Guards against an emulated group without a limit."""
    day = replace(CALM, troubles=(Trouble(2.0, 4.0, burst=3.0),))
    assert share(day, Outcome.IN_TIME) < share(CALM, Outcome.IN_TIME) - 0.1
