"""Fixtures of the settings tests."""

from pathlib import Path

import pytest

from sardineyard.settings.processes import ENTRY_OPTIONS
from sardineyard.settings.reference import example


@pytest.fixture
def root() -> Path:
    """Return the root of the workspace."""
    return Path(__file__).parents[3]


@pytest.fixture
def entry_ini() -> str:
    """Return a valid settings file of an entry."""
    return example(ENTRY_OPTIONS)
