"""Tests of deadlines."""

from sardineyard.core.clock import ManualClock, deadline_after, remaining


def test_remaining_time_is_never_negative(clock: ManualClock) -> None:
    """Guards against negative timeouts, which asyncio treats as already expired."""
    deadline = deadline_after(clock, 2.0)
    clock.advance(1.5)
    assert remaining(clock, deadline) == 0.5
    clock.advance(5.0)
    assert remaining(clock, deadline) == 0.0
