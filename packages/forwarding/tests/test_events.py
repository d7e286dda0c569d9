"""Tests of event stream framing and of the filter for duplicate events."""

from __future__ import annotations

import pytest

from sardineyard.forwarding.events import EventDeduplicator, EventParser


@pytest.mark.parametrize("size", [1, 2, 7, 100])
def test_events_are_complete_however_bytes_are_split(size: int) -> None:
    """Guards against forwarding a partial event before its upstream fails."""
    data = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda"
    parser = EventParser()
    events = []
    for start in range(0, len(data), size):
        events += parser.feed(data[start : start + size])
    assert [event.number for event in events] == [1, 2]
    assert b"".join(event.raw for event in events) == data[:30]
    assert parser.has_partial_event


def test_duplicate_events_are_filtered() -> None:
    """Guards against duplicate events after a stream is resumed."""
    parser, deduplicator = EventParser(), EventDeduplicator(last=2)
    events = parser.feed(b"id: 2\ndata: b\n\nid: 3\ndata: c\n\n")
    assert [deduplicator.accept(event) for event in events] == [False, True]
    assert deduplicator.last == 3


def test_event_without_number_is_forwarded() -> None:
    """Guards against dropping comments that an upstream sends."""
    parser, deduplicator = EventParser(), EventDeduplicator()
    (event,) = parser.feed(b": keep-alive\n\n")
    assert deduplicator.accept(event)
    assert deduplicator.last is None
