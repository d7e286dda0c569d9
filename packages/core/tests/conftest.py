"""Fixtures of the core tests."""

import pytest

from sardineyard.core.clock import ManualClock


@pytest.fixture
def clock() -> ManualClock:
    """Return a clock that changes only when a test advances it."""
    return ManualClock()
