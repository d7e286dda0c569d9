"""Logs as JSON lines on standard error."""

from __future__ import annotations

import logging
import sys
from typing import Any

from pythonjsonlogger.json import JsonFormatter


class _Formatter(JsonFormatter):
    """Add time, level, process and event to every line."""

    def __init__(self, process: str) -> None:
        super().__init__(timestamp=True)
        self._process = process

    def add_fields(
        self,
        log_data: dict[str, Any],
        record: logging.LogRecord,
        message_dict: dict[str, Any],
    ) -> None:
        """Write the fixed fields, then those of the record."""
        super().add_fields(log_data, record, message_dict)
        log_data["level"] = record.levelname.lower()
        log_data["process"] = self._process
        log_data["logger"] = record.name
        log_data.setdefault("event", "message")


def configure_logs(process: str, level: str) -> None:
    """Write all logs of this process as JSON lines."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(_Formatter(process))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
