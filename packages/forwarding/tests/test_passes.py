"""Tests of the decode pass model."""

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
# Ratios of measured to nominal pass time: with a balanced expert map, and after a
# shift of popularity.
BALANCED, SHIFTED = 1.15, 2.6


def pass_s(factor: float, streams: float) -> float:
    """Return the duration of a decode pass of four steps, in seconds."""
    return factor * 4 * (4.5 + streams * (1.8 + 0.85 * 0.04)) / 1000


@pytest.fixture
def model(clock: ManualClock) -> PassModel:
    """Return a pass model without measurements."""
    return PassModel(clock, ENGINE)


@pytest.fixture
def run_passes(clock: ManualClock, model: PassModel) -> Callable[..., None]:
    """Return a function that records the event gaps of some seconds."""

    def run(seconds: float, factor: float, streams: float) -> None:
        until = clock.now() + seconds
        while clock.now() < until:
            gap_s = pass_s(factor, streams)
            clock.advance(gap_s)
            for _ in range(3):
                model.observe(gap_s, streams, TARGET_S)

    return run


def test_slow_passes_lower_stream_limit(model, run_passes) -> None:
    """Guards against all streams being late while the expert map is unbalanced."""
    run_passes(3.0, SHIFTED, 3.0)
    streams = model.streams_per_rank(TARGET_S)
    assert TARGET_S * 0.8 < pass_s(SHIFTED, streams) < TARGET_S


def test_balanced_passes_use_all_slots(model, run_passes) -> None:
    """Guards against refusals while the engine has capacity.

    This includes the time after a popularity shift.
    """
    run_passes(0.6, SHIFTED, 3.0)
    run_passes(2.0, BALANCED, 4.0)
    assert model.streams_per_rank(TARGET_S) == SLOTS


def test_stream_limit_does_not_depend_on_current_load(model, run_passes) -> None:
    """Guards against a limit that never grows after a start with few streams."""
    run_passes(5.0, 2.0, 1.0)
    limit_at_low_load = model.streams_per_rank(TARGET_S)
    run_passes(5.0, 2.0, 3.0)
    assert model.streams_per_rank(TARGET_S) == pytest.approx(
        limit_at_low_load, rel=0.05
    )


def test_stall_does_not_lower_stream_limit(model, run_passes) -> None:
    """Guards against treating the stall of a rank's crash as the time of a pass."""
    run_passes(5.0, BALANCED, 4.0)
    model.observe(1.5, 4.0, TARGET_S)
    assert model.streams_per_rank(TARGET_S) == SLOTS


def test_unattainable_gap_lifts_stream_limit(model, run_passes) -> None:
    """Guards against refusing streams for event gaps that no limit can shorten."""
    run_passes(3.0, 8.0, 3.0)
    assert model.streams_per_rank(TARGET_S) == SLOTS


def test_popularity_shift_does_not_lift_stream_limit(model, run_passes) -> None:
    """Guards against filling a group with late requests until its map is balanced."""
    run_passes(3.0, BALANCED, 4.0)
    run_passes(1.2, 8.0, 3.0)
    assert model.streams_per_rank(TARGET_S) < SLOTS / 2
