"""Logs as JSON lines."""

from __future__ import annotations

import logging
import sys
from datetime import UTC, datetime
from typing import TYPE_CHECKING, Any

from pythonjsonlogger.json import JsonFormatter

from sardineyard.telemetry.log_output import LineLimit, NonBlockingLines

if TYPE_CHECKING:
    from sardineyard.core.errors import ErrorKind
    from sardineyard.core.ids import RequestId

# Present in every line, so that a log store can index them without a schema;
# null where a line concerns no request.
_REQUEST_FIELDS = ("request_id", "error_kind")


class JsonLineFormatter(JsonFormatter):
    """Write time, level, process, event, request id and error kind on every line."""

    def __init__(self, process: str) -> None:
        super().__init__()
        self._process = process

    def add_fields(
        self,
        log_data: dict[str, Any],
        record: logging.LogRecord,
        message_dict: dict[str, Any],
    ) -> None:
        """Write the fixed fields, then those of the record."""
        created = datetime.fromtimestamp(record.created, tz=UTC)
        time = created.isoformat(timespec="milliseconds")
        log_data["time"] = time.removesuffix("+00:00") + "Z"
        log_data["level"] = record.levelname.lower()
        log_data["process"] = self._process
        log_data["event"] = "message"
        log_data.update(dict.fromkeys(_REQUEST_FIELDS))
        super().add_fields(log_data, record, message_dict)
        log_data["logger"] = record.name


def log_fields(
    event: str,
    *,
    request_id: RequestId | None = None,
    error_kind: ErrorKind | None = None,
    **details: object,
) -> dict[str, object]:
    """Return the `extra` argument of a log call."""
    kind = None if error_kind is None else error_kind.value
    return {"event": event, "request_id": request_id, "error_kind": kind, **details}


def configure_logs(process: str, level: str) -> None:
    """Write all logs of this process as JSON lines."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(JsonLineFormatter(process))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())


def configure_output_logs(process: str, level: str) -> NonBlockingLines:
    """Write a bounded number of JSON lines to standard output."""
    handler = NonBlockingLines(sys.stdout.fileno())
    handler.setFormatter(JsonLineFormatter(process))
    handler.addFilter(LineLimit())
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
    return handler
