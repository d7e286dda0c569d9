"""Framing of server-sent event streams: complete events and their ids."""

from __future__ import annotations

import re
from dataclasses import dataclass

_EVENT_END = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_MAX_EVENT_END_BYTES = 4
# A line is a comment or a field name, with or without a value. Error texts and heads of
# other responses have lines that are neither.
_LINE = re.compile(rb"(?:[\w.-]*:.*|[\w.-]+)?", re.DOTALL)
# Fields of an event, and comments. An event without any of them carries nothing.
_EVENT_LINE = re.compile(rb"(?:data|id|event|retry)?:|(?:data|id|event|retry)$")
_BYTE_ORDER_MARK = b"\xef\xbb\xbf"
# An event holds a few tokens, some hundred bytes. With this limit, 500 streams whose
# events never end take 32 MB of a gateway's memory.
_MAX_EVENT_BYTES = 65_536


class MalformedStreamError(Exception):
    """Raised when received bytes are not a valid event stream."""


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """One event, with its bytes as received."""

    raw: bytes
    # Numeric id; None if the event has none, or one that is not numeric.
    number: int | None


class EventParser:
    """Splits a stream of bytes into complete events."""

    def __init__(self) -> None:
        self._buffer = b""

    @property
    def has_partial_event(self) -> bool:
        """Return whether bytes of an incomplete event are buffered."""
        return bool(self._buffer.strip())

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Return the events completed by the data; raise MalformedStreamError."""
        # The end of an event may start in bytes that were already searched.
        searched = max(0, len(self._buffer) - _MAX_EVENT_END_BYTES + 1)
        self._buffer += data
        events = []
        start = 0
        for end in _EVENT_END.finditer(self._buffer, searched):
            raw = self._buffer[start : end.end()]
            start = end.end()
            _check(raw)
            events.append(StreamEvent(raw, _number(raw)))
        self._buffer = self._buffer[start:]
        if len(self._buffer) > _MAX_EVENT_BYTES:
            raise MalformedStreamError(f"event is longer than {_MAX_EVENT_BYTES} bytes")
        return events


def _check(raw: bytes) -> None:
    """Raise MalformedStreamError if the bytes are no event."""
    lines = raw.removeprefix(_BYTE_ORDER_MARK).splitlines()
    if not all(map(_LINE.fullmatch, lines)):
        raise MalformedStreamError("bytes of the stream are no event")
    if any(lines) and not any(map(_EVENT_LINE.match, lines)):
        raise MalformedStreamError("event without a field of an event")


def _number(raw: bytes) -> int | None:
    for line in raw.splitlines():
        name, _, value = line.partition(b":")
        if name == b"id":
            text = value.strip()
            return int(text) if text.isdigit() and len(text) < 16 else None
    return None


class EventDeduplicator:
    """Filters duplicate events of a stream that is resumed at another upstream."""

    def __init__(self, last: int | None = None) -> None:
        self._last = last
        self.count = 0

    @property
    def last(self) -> int | None:
        """Return the number of the last event that was accepted."""
        return self._last

    def accept(self, event: StreamEvent) -> bool:
        """Return whether an event is new; a duplicate must not be forwarded."""
        if event.number is not None:
            if self._last is not None and event.number <= self._last:
                return False
            self._last = event.number
        self.count += 1
        return True
