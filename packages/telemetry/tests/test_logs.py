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


def test_a_line_has_every_fixed_field(
    formatter: JsonLineFormatter, record: logging.LogRecord, kind: ErrorKind
) -> None:
    """Guards against lines that a log store cannot index by request or kind."""
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


def test_a_line_of_another_library_has_the_fixed_fields_too(
    formatter: JsonLineFormatter, record: logging.LogRecord
) -> None:
    """Guards against missing fields on lines that were logged without extras."""
    line = json.loads(formatter.format(record))
    assert (line["event"], line["request_id"], line["error_kind"]) == (
        "message",
        None,
        None,
    )


def test_a_message_with_line_breaks_stays_on_one_line(
    formatter: JsonLineFormatter, record: logging.LogRecord
) -> None:
    """Guards against forged log lines through text that a caller sent."""
    record.msg = 'x\n{"level": "error"}\u2028'
    assert len(formatter.format(record).splitlines()) == 1
