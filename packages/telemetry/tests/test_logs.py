"""Tests of the JSON log lines."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

from sardineyard.core.ids import RequestId
from sardineyard.telemetry.logs import log_fields

if TYPE_CHECKING:
    import logging

    from sardineyard.core.errors import ErrorKind
    from sardineyard.telemetry.logs import JsonLineFormatter


def test_line_has_every_fixed_field(
    formatter: JsonLineFormatter, record: logging.LogRecord, kind: ErrorKind
) -> None:
    """Guards against lines that cannot be indexed by request or error kind."""
    fields = log_fields(
        "request_retried", request_id=RequestId("r1"), error_kind=kind, attempt=2
    )
    record.__dict__.update(fields)
    assert json.loads(formatter.format(record)) == {
        "time": "2027-01-15T08:00:00.250Z",
        "level": "warning",
        "process": "entry-1",
        "event": "request_retried",
        "request_id": "r1",
        "error_kind": "upstream_lost",
        "attempt": 2,
        "message": "retried",
        "logger": "sardineyard.entry",
    }


def test_line_without_extra_has_the_fixed_fields(
    formatter: JsonLineFormatter, record: logging.LogRecord
) -> None:
    """Guards against missing fields in the log lines of third-party libraries."""
    line = json.loads(formatter.format(record))
    assert (line["event"], line["request_id"], line["error_kind"]) == (
        "message",
        None,
        None,
    )


def test_message_with_line_breaks_is_one_line(
    formatter: JsonLineFormatter, record: logging.LogRecord
) -> None:
    """Guards against log injection through text from callers."""
    record.msg = 'x\n{"level": "error"}\u2028'
    assert len(formatter.format(record).splitlines()) == 1
