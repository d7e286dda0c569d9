"""Fixtures of the tests of logs, metrics and state dumps."""

from __future__ import annotations

import logging

import pytest

from sardineyard.core.errors import ErrorKind
from sardineyard.telemetry.logs import JsonLineFormatter
from sardineyard.telemetry.metrics import EntryMetrics


@pytest.fixture
def formatter() -> JsonLineFormatter:
    """Return the formatter of the process `entry-1`."""
    return JsonLineFormatter("entry-1")


@pytest.fixture
def record() -> logging.LogRecord:
    """Return a log record with a fixed time."""
    log_record = logging.LogRecord(
        "sardineyard.entry", logging.WARNING, "f.py", 1, "retried", (), None
    )
    log_record.created = 1_800_000_000.25
    return log_record


@pytest.fixture
def entry_metrics() -> EntryMetrics:
    """Return empty metrics of an entry."""
    return EntryMetrics("entry-1")


@pytest.fixture
def kind() -> ErrorKind:
    """Return an error kind."""
    return ErrorKind.UPSTREAM_LOST
