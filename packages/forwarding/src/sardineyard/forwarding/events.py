"""Framing of event streams: whole events and their ids."""

from __future__ import annotations

import re
from dataclasses import dataclass

_END = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_END_BYTES = 4
# An event holds a few tokens, some hundred bytes. 500 streams whose events do not end
# take 32 MB of a gateway then.
_MAX_EVENT_BYTES = 65_536


class MalformedStreamError(Exception):
    """Report bytes that are no event stream."""


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """Hold one event with its bytes as they were received."""

    raw: bytes
    # None where the event has no id, or none that can be compared.
    number: int | None


class EventParser:
    """Cut a stream of bytes into whole events."""

    def __init__(self) -> None:
        self._buffer = b""

    @property
    def has_partial_event(self) -> bool:
        """Return whether bytes of an unfinished event are left."""
        return bool(self._buffer.strip())

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Return the events that are now whole; raise MalformedStreamError."""
        # An end may begin in the bytes that were searched before.
        searched = max(0, len(self._buffer) - _END_BYTES + 1)
        self._buffer += data
        events = []
        start = 0
        for end in _END.finditer(self._buffer, searched):
            raw = self._buffer[start : end.end()]
            start = end.end()
            events.append(StreamEvent(raw, _number(raw)))
        self._buffer = self._buffer[start:]
        if len(self._buffer) > _MAX_EVENT_BYTES:
            raise MalformedStreamError(f"an event has over {_MAX_EVENT_BYTES} bytes")
        return events


def _number(raw: bytes) -> int | None:
    for line in raw.splitlines():
        name, _, value = line.partition(b":")
        if name == b"id":
            text = value.strip()
            return int(text) if text.isdigit() and len(text) < 16 else None
    return None


class EventSequence:
    """Leave out repeated events of one stream that several upstreams produce."""

    def __init__(self, last: int | None = None) -> None:
        self._last = last
        self.count = 0

    @property
    def last(self) -> int | None:
        """Return the number of the last event that was passed on."""
        return self._last

    def accept(self, event: StreamEvent) -> bool:
        """Return whether an event is to be passed on, or was passed on before."""
        if event.number is not None:
            if self._last is not None and event.number <= self._last:
                return False
            self._last = event.number
        self.count += 1
        return True
