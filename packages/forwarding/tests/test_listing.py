"""Tests of the table of listed upstreams."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from sardineyard.core.ids import ServiceName
from sardineyard.forwarding.listing import ListingTable
from sardineyard.forwarding.source import UpstreamRead, UpstreamSnapshot

if TYPE_CHECKING:
    from collections.abc import Callable

    from sardineyard.core.clock import ManualClock

SERVICE = ServiceName("desk")


@pytest.fixture
def table(clock: ManualClock) -> ListingTable:
    """Return an empty table."""
    return ListingTable(clock)


def usable(table: ListingTable) -> set[str]:
    """Return the ids of the upstreams that may get work."""
    return {entry.id for entry in table.usable().get(SERVICE, ())}


def test_a_draining_upstream_gets_no_new_work(
    table: ListingTable, make_read: Callable[..., UpstreamRead]
) -> None:
    """Guards against requests that reach an upstream which is about to end."""
    table.merge([make_read("u1", 1), make_read("u2", 2)], 2)
    table.merge([make_read("u1", 3, draining=True)], 3)
    assert usable(table) == {"u2"}


def test_older_news_of_a_peer_changes_nothing(
    table: ListingTable, make_read: Callable[..., UpstreamRead]
) -> None:
    """Guards against a removed upstream that a slow peer brings back."""
    table.merge([make_read("u1", 1)], 1)
    table.merge([UpstreamRead("u1", 5, None)], 5)
    table.merge([make_read("u1", 4)], 0)
    assert usable(table) == set()
    assert table.changes_since(4) == [("u1", 5, None)]


def test_an_entry_that_lapsed_in_an_outage_is_used_for_two_seconds(
    table: ListingTable, clock: ManualClock, make_read: Callable[..., UpstreamRead]
) -> None:
    """Guards against losing all upstreams when their entries ran out together."""
    table.merge([make_read("u1", 1), make_read("u2", 2)], 2)
    table.replace(UpstreamSnapshot((), 9), after_outage=True)
    clock.advance(1.8)
    assert usable(table) == {"u1", "u2"}
    table.merge([make_read("u1", 10)], 10)
    clock.advance(0.2)
    assert usable(table) == {"u1"}


def test_an_upstream_that_drained_before_the_outage_is_gone_after_it(
    table: ListingTable, make_read: Callable[..., UpstreamRead]
) -> None:
    """Guards against bringing back an upstream that left on purpose."""
    table.merge([make_read("u1", 1), make_read("u2", 2, draining=True)], 2)
    table.replace(UpstreamSnapshot((), 9), after_outage=True)
    assert set(table.records) == {"u1"}


def test_a_removal_without_an_outage_counts_at_once(
    table: ListingTable, make_read: Callable[..., UpstreamRead]
) -> None:
    """Guards against sending work to an upstream that left without draining."""
    table.merge([make_read("u1", 1)], 1)
    table.merge([UpstreamRead("u1", 2, None)], 2)
    assert usable(table) == set()


def test_a_late_entry_of_an_earlier_incarnation_is_ignored(
    table: ListingTable, make_read: Callable[..., UpstreamRead]
) -> None:
    """Guards against an old heartbeat that hides a restart under the same id."""
    table.merge([make_read("u1", 1, started_ms=2_000)], 1)
    table.merge([make_read("u1", 2, started_ms=1_000, draining=True)], 2)
    assert usable(table) == {"u1"}


def test_an_upstream_listed_after_the_first_page_survives_the_snapshot(
    table: ListingTable, make_read: Callable[..., UpstreamRead]
) -> None:
    """Guards against pages that are taken for a snapshot of one moment."""
    table.merge([make_read("u1", 7)], 7)
    table.replace(UpstreamSnapshot((), 6), after_outage=False)
    assert usable(table) == {"u1"}


def test_an_address_belongs_to_the_newest_entry(
    table: ListingTable, make_read: Callable[..., UpstreamRead]
) -> None:
    """Guards against requests for runners of before a power loss, which answer 421."""
    table.merge([make_read("u1", 1, port=80), make_read("u2", 2, port=81)], 2)
    table.merge([make_read("u3", 3, port=80)], 3)
    assert usable(table) == {"u2", "u3"}
    table.replace(
        UpstreamSnapshot((make_read("u3", 3, port=80),), 9), after_outage=True
    )
    assert usable(table) == {"u2", "u3"}
    table.merge([UpstreamRead("u3", 10, None)], 10)
    assert "u3" not in usable(table)
