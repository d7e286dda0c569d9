"""Fixtures of the settings tests."""

from pathlib import Path

import pytest

from sardineyard.settings.processes import ENTRY_OPTIONS
from sardineyard.settings.reference import example_file


@pytest.fixture
def workspace_root() -> Path:
    """Return the root of the workspace."""
    return Path(__file__).parents[3]


@pytest.fixture
def entry_ini() -> str:
    """Return the example settings file of an entry, which is valid."""
    return example_file(ENTRY_OPTIONS)
