"""Logging as JSON lines."""

from __future__ import annotations

import logging
import sys
from datetime import UTC, datetime
from typing import TYPE_CHECKING, Any

from pythonjsonlogger.json import JsonFormatter

from sardineyard.telemetry.log_output import EventRateLimit, NonBlockingHandler

if TYPE_CHECKING:
    from sardineyard.core.errors import ErrorKind
    from sardineyard.core.ids import RequestId

# Present in every line, so that a log store can index them without a schema; null in
# lines that do not concern a request.
_NULLABLE_FIELDS = ("request_id", "error_kind")


class JsonLineFormatter(JsonFormatter):
    """JSON formatter that puts the fixed fields into every line."""

    def __init__(self, process: str) -> None:
        super().__init__()
        self._process = process

    def add_fields(
        self,
        log_data: dict[str, Any],
        record: logging.LogRecord,
        message_dict: dict[str, Any],
    ) -> None:
        """Add the fixed fields, then the fields of the record."""
        created = datetime.fromtimestamp(record.created, tz=UTC)
        time = created.isoformat(timespec="milliseconds")
        log_data["time"] = time.removesuffix("+00:00") + "Z"
        log_data["level"] = record.levelname.lower()
        log_data["process"] = self._process
        log_data["event"] = "message"
        log_data.update(dict.fromkeys(_NULLABLE_FIELDS))
        super().add_fields(log_data, record, message_dict)
        log_data["logger"] = record.name


def log_fields(
    event: str,
    *,
    request_id: RequestId | None = None,
    error_kind: ErrorKind | None = None,
    **details: object,
) -> dict[str, object]:
    """Return the `extra` argument of a log call with the request fields."""
    kind = None if error_kind is None else error_kind.value
    return {"event": event, "request_id": request_id, "error_kind": kind, **details}


def configure_logs(process: str, level: str) -> None:
    """Log to standard error as JSON lines, without a limit."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(JsonLineFormatter(process))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())


def configure_output_logs(process: str, level: str) -> NonBlockingHandler:
    """Log to standard output as JSON lines, rate limited and without blocking."""
    handler = NonBlockingHandler(sys.stdout.fileno())
    handler.setFormatter(JsonLineFormatter(process))
    handler.addFilter(EventRateLimit())
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
    return handler
