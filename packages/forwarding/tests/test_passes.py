"""Tests of the model of lock-step passes."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from sardineyard.forwarding.config import EngineProfile
from sardineyard.forwarding.passes import PassModel

if TYPE_CHECKING:
    from collections.abc import Callable

    from sardineyard.core.clock import ManualClock

SLOTS = 6
ENGINE = EngineProfile(SLOTS, 4, 4.5, 1.8, 0.04, 800, 100)
TARGET_S = 0.12
LEVEL, SHIFTED = 1.15, 2.6


def pass_s(factor: float, streams: float) -> float:
    """Return the time of a pass of four steps."""
    return factor * 4 * (4.5 + streams * (1.8 + 0.85 * 0.04)) / 1000


@pytest.fixture
def model(clock: ManualClock) -> PassModel:
    """Return a model without measurements."""
    return PassModel(clock, ENGINE)


@pytest.fixture
def run_passes(clock: ManualClock, model: PassModel) -> Callable[..., None]:
    """Return a function that observes the passes of some seconds."""

    def run(seconds: float, factor: float, streams: float) -> None:
        until = clock.now() + seconds
        while clock.now() < until:
            pause_s = pass_s(factor, streams)
            clock.advance(pause_s)
            for _ in range(3):
                model.observe(pause_s, streams, TARGET_S)

    return run


def test_slow_passes_lower_the_limit_to_what_is_on_time(model, run_passes) -> None:
    """Guards against streams that are all late while the map does not fit."""
    run_passes(3.0, SHIFTED, 3.0)
    streams = model.streams_per_rank(TARGET_S)
    assert TARGET_S * 0.8 < pass_s(SHIFTED, streams) < TARGET_S


def test_level_passes_use_all_slots(model, run_passes) -> None:
    """Guards against refusals while the engine has room, also after a shift."""
    run_passes(0.6, SHIFTED, 3.0)
    run_passes(2.0, LEVEL, 4.0)
    assert model.streams_per_rank(TARGET_S) == SLOTS


def test_the_limit_does_not_depend_on_the_load_of_the_moment(model, run_passes) -> None:
    """Guards against a start with few streams from which the limit never grows."""
    run_passes(5.0, 2.0, 1.0)
    few = model.streams_per_rank(TARGET_S)
    run_passes(5.0, 2.0, 3.0)
    assert model.streams_per_rank(TARGET_S) == pytest.approx(few, rel=0.05)


def test_a_stall_does_not_close_the_service(model, run_passes) -> None:
    """Guards against a rank's crash that is taken as the time of a pass."""
    run_passes(5.0, LEVEL, 4.0)
    model.observe(1.5, 4.0, TARGET_S)
    assert model.streams_per_rank(TARGET_S) == SLOTS


def test_a_group_that_is_late_with_any_load_is_filled(model, run_passes) -> None:
    """Guards against refusals for the sake of pauses that no limit can shorten."""
    run_passes(3.0, 8.0, 3.0)
    assert model.streams_per_rank(TARGET_S) == SLOTS


def test_a_shift_does_not_fill_the_group(model, run_passes) -> None:
    """Guards against late requests that fill a group until its map fits again."""
    run_passes(3.0, LEVEL, 4.0)
    run_passes(1.2, 8.0, 3.0)
    assert model.streams_per_rank(TARGET_S) < SLOTS / 2
