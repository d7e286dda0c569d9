"""Log output that is rate limited and never blocks on its reader."""

from __future__ import annotations

import logging
import os
import time

# Lines per second and event. A gateway of the target size completes 28 requests per
# second with four lines each; the limit is above that, so it only drops floods.
_MAX_INFO_LINES_PER_S = 60
# Per event, too. Higher, because refusals and failures are needed to investigate
# complaints.
_MAX_WARNING_LINES_PER_S = 300
# Bytes buffered for a slow reader; further lines are dropped entirely.
_MAX_BUFFERED_BYTES = 262_144


class EventRateLimit(logging.Filter):
    """Log filter that limits the lines per second of each event and counts the rest."""

    def __init__(self) -> None:
        super().__init__()
        self._current_second = 0
        self._counts: dict[str, int] = {}
        self._suppressed: dict[str, int] = {}

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether to write a record; add the counts of suppressed lines."""
        second = int(time.monotonic())
        if second != self._current_second:
            self._current_second = second
            self._counts = {}
            if self._suppressed:
                record.left_out, self._suppressed = self._suppressed, {}
        event = str(getattr(record, "event", "message"))
        count = self._counts.get(event, 0) + 1
        self._counts[event] = count
        is_allowed = count <= self._max_lines(record.levelno)
        if not is_allowed:
            self._suppressed[event] = self._suppressed.get(event, 0) + 1
        return is_allowed

    @staticmethod
    def _max_lines(level: int) -> int:
        return (
            _MAX_WARNING_LINES_PER_S
            if level >= logging.WARNING
            else _MAX_INFO_LINES_PER_S
        )


class NonBlockingHandler(logging.Handler):
    """Log handler that writes to a file descriptor without blocking."""

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        self._descriptor = descriptor
        self._buffer = bytearray()
        self._dropped = 0
        os.set_blocking(descriptor, False)

    @property
    def dropped(self) -> int:
        """Return the number of lines dropped since the last line that was buffered."""
        return self._dropped

    def emit(self, record: logging.LogRecord) -> None:
        """Write or buffer a line; drop it if the buffer is full."""
        if len(self._buffer) > _MAX_BUFFERED_BYTES:
            self._write()
        if len(self._buffer) > _MAX_BUFFERED_BYTES:
            self._dropped += 1
            return
        if self._dropped:
            record.dropped, self._dropped = self._dropped, 0
        try:
            line = self.format(record)
        except (TypeError, ValueError):
            self.handleError(record)
            return
        self._buffer += line.encode("utf-8", "replace") + b"\n"
        self._write()

    def flush(self) -> None:
        """Write as much of the buffer as possible without blocking."""
        self._write()

    def _write(self) -> None:
        try:
            while self._buffer:
                written = os.write(self._descriptor, self._buffer)
                del self._buffer[:written]
        except BlockingIOError:
            # The reader is slow; the remaining bytes are written with a later line.
            return
        except OSError:
            # The output failed, such as a closed pipe, and there is no other one.
            self._buffer.clear()
