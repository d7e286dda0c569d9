"""Fixtures of the telemetry tests."""

from __future__ import annotations

import logging

import pytest

from sardineyard.core.errors import ErrorKind
from sardineyard.telemetry.logs import JsonLineFormatter
from sardineyard.telemetry.metrics import EntryMetrics


@pytest.fixture
def formatter() -> JsonLineFormatter:
    """Return the formatter of a process named entry-1."""
    return JsonLineFormatter("entry-1")


@pytest.fixture
def record() -> logging.LogRecord:
    """Return a record made at a known time."""
    made = logging.LogRecord(
        "sardineyard.entry", logging.WARNING, "f.py", 1, "retried", (), None
    )
    made.created = 1_800_000_000.25
    return made


@pytest.fixture
def entry_metrics() -> EntryMetrics:
    """Return empty metrics of an entry."""
    return EntryMetrics("entry-1")


@pytest.fixture
def kind() -> ErrorKind:
    """Return the error kind that the tests use."""
    return ErrorKind.UPSTREAM_LOST
