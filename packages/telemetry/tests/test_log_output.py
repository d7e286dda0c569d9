"""Tests of the rate-limited, non-blocking log output."""

from __future__ import annotations

import json
import logging
import os
import time
from typing import TYPE_CHECKING

import pytest

from sardineyard.telemetry.log_output import EventRateLimit, NonBlockingHandler
from sardineyard.telemetry.logs import JsonLineFormatter

if TYPE_CHECKING:
    from collections.abc import Iterator


@pytest.fixture
def pipe() -> Iterator[tuple[int, int]]:
    """Return the read end and the write end of a pipe."""
    ends = os.pipe()
    yield ends
    for end in ends:
        os.close(end)


def make_record(event: str, level: int = logging.INFO) -> logging.LogRecord:
    """Return a log record with an event."""
    log_record = logging.LogRecord("test", level, "file", 1, "text", None, None)
    log_record.event = event
    return log_record


def test_stalled_reader_does_not_block_the_writer(pipe: tuple[int, int]) -> None:
    """Guards against a process that blocks because its logs are not read."""
    handler = NonBlockingHandler(pipe[1])
    handler.setFormatter(JsonLineFormatter("p"))
    started_at = time.monotonic()
    for _ in range(5_000):
        handler.emit(make_record("busy"))
    assert time.monotonic() - started_at < 5.0
    assert handler.dropped > 0


def test_lines_are_not_truncated(pipe: tuple[int, int]) -> None:
    """Guards against truncated lines after the pipe was full."""
    handler = NonBlockingHandler(pipe[1])
    handler.setFormatter(JsonLineFormatter("p"))
    for _ in range(600):
        handler.emit(make_record("busy"))
    received = b""
    for _ in range(50):
        received += os.read(pipe[0], 65_536)
        handler.flush()
        if received.count(b"\n") == 600:
            break
    assert all(json.loads(line) for line in received.splitlines())
    assert received.count(b"\n") == 600


def test_lines_of_an_event_are_limited_and_counted(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a flood of lines, and against dropping warnings too early."""
    now = [100.0]
    monkeypatch.setattr(time, "monotonic", lambda: now[0])
    limit = EventRateLimit()
    written = sum(limit.filter(make_record("busy")) for _ in range(1_000))
    written_warnings = sum(
        limit.filter(make_record("refused", logging.WARNING)) for _ in range(200)
    )
    assert written < 100
    assert written_warnings == 200
    now[0] += 1.0
    next_record = make_record("busy")
    assert limit.filter(next_record)
    assert next_record.left_out == {"busy": 1_000 - written}  # type: ignore[attr-defined]
