"""Bounded log output that never waits for its reader."""

from __future__ import annotations

import logging
import os
import time

# Lines a second of one event; a gateway of the target size ends 28 requests a second
# with four lines each, so only repetition beyond that is cut.
_LINES_PER_SECOND = 60
# Refusals and failures explain a complaint, so far more of them are kept.
_WARNINGS_PER_SECOND = 300
# Bytes that wait for a reader that is too slow; whole lines beyond are dropped.
_MAX_WAITING_BYTES = 262_144


class LineLimit(logging.Filter):
    """Leave out lines of one event beyond a number a second, and count them."""

    def __init__(self) -> None:
        super().__init__()
        self._second = 0
        self._counts: dict[str, int] = {}
        self._left_out: dict[str, int] = {}

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether a record is written."""
        second = int(time.monotonic())
        if second != self._second:
            self._second = second
            self._counts = {}
            if self._left_out:
                record.left_out, self._left_out = self._left_out, {}
        event = str(getattr(record, "event", "message"))
        count = self._counts.get(event, 0) + 1
        self._counts[event] = count
        is_kept = count <= self._allowed(record.levelno)
        if not is_kept:
            self._left_out[event] = self._left_out.get(event, 0) + 1
        return is_kept

    @staticmethod
    def _allowed(level: int) -> int:
        return _WARNINGS_PER_SECOND if level >= logging.WARNING else _LINES_PER_SECOND


class NonBlockingLines(logging.Handler):
    """Write lines to a file descriptor without waiting for its reader."""

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        self._descriptor = descriptor
        self._waiting = bytearray()
        self._dropped = 0
        os.set_blocking(descriptor, False)

    @property
    def dropped(self) -> int:
        """Return the number of lines that found no room."""
        return self._dropped

    def emit(self, record: logging.LogRecord) -> None:
        """Write a line, or keep it until the next one, or drop it."""
        if len(self._waiting) > _MAX_WAITING_BYTES:
            self._write()
        if len(self._waiting) > _MAX_WAITING_BYTES:
            self._dropped += 1
            return
        if self._dropped:
            record.dropped, self._dropped = self._dropped, 0
        try:
            line = self.format(record)
        except (TypeError, ValueError):
            self.handleError(record)
            return
        self._waiting += line.encode("utf-8", "replace") + b"\n"
        self._write()

    def flush(self) -> None:
        """Write what waits, as far as the reader takes it."""
        self._write()

    def _write(self) -> None:
        try:
            while self._waiting:
                written = os.write(self._descriptor, self._waiting)
                del self._waiting[:written]
        except BlockingIOError:
            # The reader is slow; the bytes go out with a later line.
            return
        except OSError:
            # Nobody reads the logs any more, and there is no other place for them.
            self._waiting.clear()
