"""Tests of deadlines."""

from sardineyard.core.clock import ManualClock, deadline_after, remaining


def test_the_time_left_never_goes_below_zero(clock: ManualClock) -> None:
    """Guards against negative timeouts, which asyncio would treat as expired calls."""
    deadline = deadline_after(clock, 2.0)
    clock.advance(1.5)
    assert remaining(clock, deadline) == 0.5
    clock.advance(5.0)
    assert remaining(clock, deadline) == 0.0
