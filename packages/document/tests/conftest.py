"""Fixtures of the document tests."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest

ROOT = Path(__file__).parents[3]


@pytest.fixture
def root() -> Path:
    """Return the root of the repository."""
    return ROOT


@pytest.fixture
def example() -> dict[str, Any]:
    """Return the decoded JSON of a valid document."""
    text = (ROOT / "examples" / "lookups-first.json").read_bytes()
    content: dict[str, Any] = json.loads(text)
    return content
