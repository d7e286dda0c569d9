"""Tests of admission."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

import pytest

from sardineyard.core.clock import Deadline
from sardineyard.core.ids import FailureDomain, ServiceName
from sardineyard.forwarding.config import EngineProfile, ServiceProfile
from sardineyard.forwarding.place_messages import Place, Refusal, Refused, TicketId
from sardineyard.forwarding.places import PlaceBook

if TYPE_CHECKING:
    from collections.abc import Callable

    from sardineyard.core.clock import ManualClock
    from sardineyard.forwarding.config import UpstreamEntry
    from sardineyard.forwarding.place_messages import PlaceRequest

SERVICE = ServiceName("desk")
ENGINE = EngineProfile(6, 4, 4.5, 1.8, 0.04, 800, 100)


@pytest.fixture
def ranks(make_entry: Callable[..., UpstreamEntry]) -> list[UpstreamEntry]:
    """Return the ranks of a group."""
    return [make_entry(f"u{index}") for index in range(4)]


def test_the_more_urgent_request_gets_the_last_place(
    book: PlaceBook,
    ranks: list[UpstreamEntry],
    make_request: Callable[..., PlaceRequest],
) -> None:
    """Guards against first come first served in a flood of less urgent work."""
    for ticket in range(60):
        book.enqueue(make_request(ticket, priority=2))
    granted = [r for r, d in book.grant(SERVICE, ranks) if isinstance(d, Place)]
    assert granted
    book.enqueue(make_request(100, priority=2))
    book.enqueue(make_request(101, priority=0))
    book.release(granted[0].ticket)
    first = next(r for r, d in book.grant(SERVICE, ranks) if isinstance(d, Place))
    assert first.ticket == 101


def test_streams_spread_over_the_ranks(
    book: PlaceBook,
    ranks: list[UpstreamEntry],
    make_request: Callable[..., PlaceRequest],
) -> None:
    """Guards against one full rank, which slows every stream of the group."""
    for ticket in range(12):
        book.enqueue(make_request(ticket))
        book.grant(SERVICE, ranks)
    counts = [book.in_flight(rank.id) for rank in ranks]
    assert max(counts) - min(counts) <= 1


def test_the_streams_of_other_gateways_take_places(
    book: PlaceBook,
    ranks: list[UpstreamEntry],
    make_request: Callable[..., PlaceRequest],
) -> None:
    """Guards against a group that each gateway fills on its own."""
    book.hear({rank.id: 6 for rank in ranks}, 2, {SERVICE: ranks}, {})
    book.enqueue(make_request(1))
    assert book.grant(SERVICE, ranks) == []


def test_fewer_streams_are_admitted_when_pauses_are_long(
    book: PlaceBook,
    ranks: list[UpstreamEntry],
    make_request: Callable[..., PlaceRequest],
    clock: ManualClock,
) -> None:
    """Guards against pauses above the allowed one while a map is not level."""
    book.enqueue(make_request(1))
    book.grant(SERVICE, ranks)
    book.hear({rank.id: 4 for rank in ranks}, 2, {SERVICE: ranks}, {})
    for _ in range(50):
        clock.advance(0.1)
        book.observe_pause(SERVICE, 0.06, ranks)
    level = book.limit(SERVICE, ranks)
    for _ in range(50):
        clock.advance(0.1)
        book.observe_pause(SERVICE, 0.2, ranks)
    assert book.limit(SERVICE, ranks) < 0.7 * level


def test_a_request_without_a_place_is_refused_in_time_to_come_back(
    book: PlaceBook,
    ranks: list[UpstreamEntry],
    make_request: Callable[..., PlaceRequest],
    clock: ManualClock,
) -> None:
    """Guards against holding a request until its caller cannot try again."""
    book.hear({rank.id: 6 for rank in ranks}, 2, {SERVICE: ranks}, {})
    book.enqueue(make_request(1))
    clock.advance(1.3)
    ((_, decision),) = book.grant(SERVICE, ranks)
    assert isinstance(decision, Refused)
    assert decision.reason is Refusal.OVERLOADED
    assert 0 < decision.retry_after_s <= (8.0 - 1.3) / 3


def test_a_request_that_can_be_on_time_goes_before_one_that_cannot(
    book: PlaceBook,
    ranks: list[UpstreamEntry],
    make_request: Callable[..., PlaceRequest],
    clock: ManualClock,
) -> None:
    """Guards against a queue in which every request is served just too late.

    Of those that are late, the one that came back goes first: it is its last attempt.
    """
    book.hear({rank.id: 6 for rank in ranks}, 2, {SERVICE: ranks}, {})
    book.observe_first_event(SERVICE, 0.2)
    book.enqueue(make_request(1))
    clock.advance(0.4)
    book.enqueue(make_request(2, waited_before_s=2.0))
    book.enqueue(make_request(3))
    assert book.grant(SERVICE, ranks) == []
    book.hear({rank.id: 2 for rank in ranks}, 2, {SERVICE: ranks}, {})
    order = [request.ticket for request, _ in book.grant(SERVICE, ranks)]
    book.hear({}, 1, {SERVICE: ranks}, {})
    order += [request.ticket for request, _ in book.grant(SERVICE, ranks)]
    assert order == [3, 2, 1]


def test_late_requests_leave_places_to_those_that_can_be_on_time(
    book: PlaceBook,
    ranks: list[UpstreamEntry],
    make_request: Callable[..., PlaceRequest],
    clock: ManualClock,
) -> None:
    """Guards against an overload in which late requests make the next ones late."""
    for _ in range(50):
        clock.advance(0.1)
        book.observe_pause(SERVICE, 0.02, ranks)
    book.hear({rank.id: 6 for rank in ranks}, 1, {SERVICE: ranks}, {})
    for ticket in range(24):
        book.enqueue(make_request(ticket))
    clock.advance(0.6)
    book.observe_pause(SERVICE, 0.02, ranks)
    book.hear({}, 1, {SERVICE: ranks}, {})
    late = book.grant(SERVICE, ranks)
    assert 12 <= len(late) <= 0.75 * 24
    for ticket in range(100, 130):
        book.enqueue(make_request(ticket))
    decided = book.grant(SERVICE, ranks)
    on_time = [r.ticket for r, place in decided if isinstance(place, Place)]
    assert len(on_time) >= 24 - len(late)
    assert min(on_time) >= 100


def test_gateways_share_the_free_places(
    ranks: list[UpstreamEntry],
    make_request: Callable[..., PlaceRequest],
    clock: ManualClock,
) -> None:
    """Guards against processes that all fill the same free places at once."""
    granted = 0
    for process in range(8):
        book = PlaceBook(clock, Random(process), FailureDomain("a"))
        book.configure({SERVICE: ServiceProfile(SERVICE, 100, ENGINE)})
        for ticket in range(20):
            book.enqueue(make_request(ticket))
        book.hear({rank.id: 2 for rank in ranks}, 8, {SERVICE: ranks}, {})
        decisions = book.grant(SERVICE, ranks)
        granted += sum(isinstance(decision, Place) for _, decision in decisions)
    assert 0 < granted <= 4 * (6 - 2)


def test_gateways_share_the_places_for_late_requests(
    ranks: list[UpstreamEntry],
    make_request: Callable[..., PlaceRequest],
    clock: ManualClock,
) -> None:
    """Guards against processes whose late requests fill the places of all others."""
    arrived = clock.now()
    clock.advance(0.6)
    granted = 0
    for process in range(2):
        book = PlaceBook(clock, Random(process), FailureDomain("a"))
        book.configure({SERVICE: ServiceProfile(SERVICE, 100, ENGINE)})
        for ticket in range(20):
            book.enqueue(make_request(ticket, arrived=arrived))
        book.hear({}, 2, {SERVICE: ranks}, {SERVICE: 0.5})
        decisions = book.grant(SERVICE, ranks)
        granted += sum(isinstance(decision, Place) for _, decision in decisions)
    assert 12 <= granted <= 0.7 * 24


def test_a_released_ticket_no_longer_waits(
    book: PlaceBook,
    ranks: list[UpstreamEntry],
    make_request: Callable[..., PlaceRequest],
) -> None:
    """Guards against a place for a caller that is gone."""
    book.hear({rank.id: 6 for rank in ranks}, 2, {SERVICE: ranks}, {})
    book.enqueue(make_request(1))
    book.release(TicketId(1))
    book.hear({}, 1, {SERVICE: ranks}, {})
    assert book.grant(SERVICE, ranks) == []


def test_an_upstream_that_failed_the_request_is_a_last_resort(
    book: PlaceBook,
    ranks: list[UpstreamEntry],
    make_request: Callable[..., PlaceRequest],
) -> None:
    """Guards against a repeat at the upstream that has just failed."""
    excluded = frozenset(rank.id for rank in ranks[:3])
    book.enqueue(make_request(1, excluded=excluded))
    ((_, decision),) = book.grant(SERVICE, ranks)
    assert isinstance(decision, Place)
    assert decision.upstream.id == "u3"
    book.enqueue(make_request(2, excluded=frozenset({"u0"})))
    ((_, decision),) = book.grant(SERVICE, ranks[:1])
    assert isinstance(decision, Place)


def test_a_service_without_upstreams_refuses_before_the_deadline(
    clock: ManualClock, make_request: Callable[..., PlaceRequest]
) -> None:
    """Guards against requests that wait for ever when nothing is listed."""
    book = PlaceBook(clock, Random(1), FailureDomain("a"))
    book.enqueue(make_request(1, deadline=Deadline(clock.now() + 1.0)))
    assert book.grant(SERVICE, []) == []
    clock.advance(0.6)
    ((_, decision),) = book.grant(SERVICE, [])
    assert isinstance(decision, Refused)
    assert decision.reason is Refusal.NO_UPSTREAM


def test_a_request_that_came_back_is_held_longer(
    book: PlaceBook,
    ranks: list[UpstreamEntry],
    make_request: Callable[..., PlaceRequest],
    clock: ManualClock,
) -> None:
    """Guards against a second refusal where a place is free a moment later."""
    book.hear({rank.id: 6 for rank in ranks}, 2, {SERVICE: ranks}, {})
    book.enqueue(make_request(1))
    book.enqueue(make_request(2, waited_before_s=2.0))
    clock.advance(1.5)
    assert [request.ticket for request, _ in book.grant(SERVICE, ranks)] == [1]
    clock.advance(0.4)
    ((request, decision),) = book.grant(SERVICE, ranks)
    assert request.ticket == 2
    assert isinstance(decision, Refused)


def test_a_closed_group_gets_one_request_at_a_time(
    book: PlaceBook,
    ranks: list[UpstreamEntry],
    make_request: Callable[..., PlaceRequest],
    clock: ManualClock,
) -> None:
    """Guards against all waiting requests sent to ranks that reject each of them."""
    book.rejected(SERVICE, "u0")
    book.rejected(SERVICE, "u1")
    for ticket in range(4):
        book.enqueue(make_request(ticket))
    assert book.grant(SERVICE, ranks) == []
    clock.advance(0.25)
    assert len(book.grant(SERVICE, ranks)) == 1
    book.opened(SERVICE)
    assert len(book.grant(SERVICE, ranks)) == 3


def test_one_full_rank_closes_nothing(
    book: PlaceBook,
    ranks: list[UpstreamEntry],
    make_request: Callable[..., PlaceRequest],
) -> None:
    """Guards against a pause of the service because one rank was full."""
    book.rejected(SERVICE, "u0")
    book.rejected(SERVICE, "u0")
    book.enqueue(make_request(1))
    assert len(book.grant(SERVICE, ranks)) == 1


def test_a_gateway_without_streams_uses_the_passes_of_the_others(
    book: PlaceBook,
    ranks: list[UpstreamEntry],
    make_request: Callable[..., PlaceRequest],
    clock: ManualClock,
) -> None:
    """Guards against a restarted gateway that gives no place while others fill it."""
    book.enqueue(make_request(1))
    book.hear({rank.id: 4 for rank in ranks}, 4, {SERVICE: ranks}, {})
    assert book.grant(SERVICE, ranks) == []
    book.hear({rank.id: 4 for rank in ranks}, 4, {SERVICE: ranks}, {SERVICE: 1.2})
    ((_, decision),) = book.grant(SERVICE, ranks)
    assert isinstance(decision, Place)
    assert book.pass_factors == {}
    clock.advance(0.1)
    book.observe_pause(SERVICE, 0.06, ranks)
    assert book.pass_factors[SERVICE] > 0
