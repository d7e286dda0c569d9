"""Tests of the bounded log output."""

from __future__ import annotations

import json
import logging
import os
import time
from typing import TYPE_CHECKING

import pytest

from sardineyard.telemetry.log_output import LineLimit, NonBlockingLines
from sardineyard.telemetry.logs import JsonLineFormatter

if TYPE_CHECKING:
    from collections.abc import Iterator


@pytest.fixture
def pipe() -> Iterator[tuple[int, int]]:
    """Return both ends of a pipe that nobody reads."""
    ends = os.pipe()
    yield ends
    for end in ends:
        os.close(end)


def record(event: str, level: int = logging.INFO) -> logging.LogRecord:
    """Return a log record with an event."""
    made = logging.LogRecord("test", level, "file", 1, "text", None, None)
    made.event = event
    return made


def test_a_reader_that_stands_still_blocks_nobody(pipe: tuple[int, int]) -> None:
    """Guards against a process that waits for the reader of its logs."""
    handler = NonBlockingLines(pipe[1])
    handler.setFormatter(JsonLineFormatter("p"))
    began = time.monotonic()
    for _ in range(5_000):
        handler.emit(record("busy"))
    assert time.monotonic() - began < 5.0
    assert handler.dropped > 0


def test_lines_stay_whole(pipe: tuple[int, int]) -> None:
    """Guards against half a line where the pipe was full."""
    handler = NonBlockingLines(pipe[1])
    handler.setFormatter(JsonLineFormatter("p"))
    for _ in range(600):
        handler.emit(record("busy"))
    received = b""
    for _ in range(50):
        received += os.read(pipe[0], 65_536)
        handler.flush()
        if received.count(b"\n") == 600:
            break
    assert all(json.loads(line) for line in received.splitlines())
    assert received.count(b"\n") == 600


def test_repeated_lines_are_bounded_and_counted(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a flood that hides what explains a failure."""
    now = [100.0]
    monkeypatch.setattr(time, "monotonic", lambda: now[0])
    limit = LineLimit()
    passed = sum(limit.filter(record("busy")) for _ in range(1_000))
    kept = sum(limit.filter(record("refused", logging.WARNING)) for _ in range(200))
    assert passed < 100
    assert kept == 200
    now[0] += 1.0
    following = record("busy")
    assert limit.filter(following)
    assert following.left_out == {"busy": 1_000 - passed}  # type: ignore[attr-defined]
