"""Fixtures of the wire tests."""

import pytest

from sardineyard.core.clock import ManualClock


@pytest.fixture
def clock() -> ManualClock:
    """Return a clock that only the test advances."""
    return ManualClock()
