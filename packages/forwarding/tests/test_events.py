"""Tests of event stream framing and of the filter for duplicate events."""

from __future__ import annotations

import pytest

from sardineyard.forwarding.events import (
    EventDeduplicator,
    EventParser,
    MalformedStreamError,
)


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


@pytest.mark.parametrize(
    "data",
    [
        b"HTTP/1.1 503 Busy\r\nx-id: r1\r\ncontent-length: 0\r\n\r\n",
        b"upstream is out of memory\n\n",
        b'{"error": "full"}\n\n',
        b"<html>\n\n",
        b"error\n\n",
        b"content-length: 5\n\n",
    ],
)
def test_bytes_that_are_no_event_are_not_taken_as_one(data: bytes) -> None:
    """Guards against an error text or another response in the middle of a stream."""
    parser = EventParser()
    assert len(parser.feed(b"id: 1\ndata: a\n\n")) == 1
    with pytest.raises(MalformedStreamError):
        parser.feed(data)


@pytest.mark.parametrize(
    "data",
    [
        b": comment\n\n",
        b"data\n\n",
        b"\xef\xbb\xbfdata: a\n\n",
        b'x-model-version: 3\nid: 4\ndata: {"a": 1}\n\n',
        b"event: done\r\ndata: HTTP/1.1 is a protocol\r\ndata:\r\n\r\n",
        b"id: 7\rdata: a b c\r\r",
        b"retry: 100\n\n",
        b"\n\n",
    ],
)
def test_all_forms_of_events_are_accepted(data: bytes) -> None:
    """Guards against breaking off a stream for an event of an unusual form."""
    assert b"".join(event.raw for event in EventParser().feed(data)) == data
