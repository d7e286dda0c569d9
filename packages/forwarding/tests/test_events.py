"""Tests of the framing of event streams."""

from __future__ import annotations

import pytest

from sardineyard.forwarding.events import EventParser, EventSequence


@pytest.mark.parametrize("size", [1, 2, 7, 100])
def test_events_are_whole_however_the_bytes_arrive(size: int) -> None:
    """Guards against half an event that is passed on before its upstream dies."""
    data = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda"
    parser = EventParser()
    events = []
    for start in range(0, len(data), size):
        events += parser.feed(data[start : start + size])
    assert [event.number for event in events] == [1, 2]
    assert b"".join(event.raw for event in events) == data[:30]
    assert parser.has_partial_event


def test_events_that_were_passed_on_are_left_out() -> None:
    """Guards against events that come twice after a stream was resumed."""
    parser, sequence = EventParser(), EventSequence(last=2)
    events = parser.feed(b"id: 2\ndata: b\n\nid: 3\ndata: c\n\n")
    assert [sequence.accept(event) for event in events] == [False, True]
    assert sequence.last == 3


def test_an_event_without_a_number_is_passed_on() -> None:
    """Guards against comments of an upstream that are swallowed."""
    parser, sequence = EventParser(), EventSequence()
    (event,) = parser.feed(b": keep-alive\n\n")
    assert sequence.accept(event)
    assert sequence.last is None
