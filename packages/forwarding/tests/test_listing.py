"""Tests of the registry of known upstreams."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from sardineyard.core.ids import ServiceName
from sardineyard.forwarding.listing import UpstreamRegistry
from sardineyard.forwarding.store import StoredUpstream, UpstreamSnapshot
from sardineyard.standins.gateway_doubles import position_at

if TYPE_CHECKING:
    from collections.abc import Callable

    from sardineyard.core.clock import ManualClock

SERVICE = ServiceName("desk")


@pytest.fixture
def registry(clock: ManualClock) -> UpstreamRegistry:
    """Return an empty registry."""
    return UpstreamRegistry(clock)


def usable(registry: UpstreamRegistry) -> set[str]:
    """Return the ids of the upstreams that may get requests."""
    return {entry.id for entry in registry.usable().get(SERVICE, ())}


def test_draining_upstream_gets_no_new_requests(
    registry: UpstreamRegistry, make_update: Callable[..., StoredUpstream]
) -> None:
    """Guards against sending requests to an upstream that is about to stop."""
    registry.merge([make_update("u1", 1), make_update("u2", 2)], position_at(2))
    registry.merge([make_update("u1", 3, draining=True)], position_at(3))
    assert usable(registry) == {"u2"}


def test_outdated_peer_update_is_ignored(
    registry: UpstreamRegistry, make_update: Callable[..., StoredUpstream]
) -> None:
    """Guards against a peer with outdated state restoring a removed upstream."""
    registry.merge([make_update("u1", 1)], position_at(1))
    registry.merge([StoredUpstream("u1", position_at(5), None)], position_at(5))
    registry.merge([make_update("u1", 4)], position_at(0))
    assert usable(registry) == set()
    assert registry.changes_since(position_at(4)) == [("u1", position_at(5), None)]


def test_upstream_that_left_before_the_start_is_not_restored_by_a_late_peer(
    registry: UpstreamRegistry, make_update: Callable[..., StoredUpstream]
) -> None:
    """Guards against a restarted process that uses a removed upstream again."""
    registry.replace(
        UpstreamSnapshot((make_update("u2", 7),), position_at(9)), after_outage=False
    )
    # The reply of a peer that has not yet received the removal.
    registry.merge(
        [make_update("u1", 4), make_update("u2", 7)], position_at(5), from_peer=True
    )
    assert usable(registry) == {"u2"}
    registry.merge([make_update("u1", 11)], position_at(11), from_peer=True)
    assert usable(registry) == {"u1", "u2"}


def test_lapsed_entry_stays_usable_for_two_seconds(
    registry: UpstreamRegistry,
    clock: ManualClock,
    make_update: Callable[..., StoredUpstream],
) -> None:
    """Guards against losing all upstreams when their entries expire in an outage."""
    registry.merge([make_update("u1", 1), make_update("u2", 2)], position_at(2))
    registry.replace(UpstreamSnapshot((), position_at(9)), after_outage=True)
    clock.advance(1.8)
    assert usable(registry) == {"u1", "u2"}
    registry.merge([make_update("u1", 10)], position_at(10))
    clock.advance(0.2)
    assert usable(registry) == {"u1"}


def test_upstream_that_drained_before_outage_is_removed(
    registry: UpstreamRegistry, make_update: Callable[..., StoredUpstream]
) -> None:
    """Guards against keeping a drained upstream, which left on purpose, as lapsed."""
    registry.merge(
        [make_update("u1", 1), make_update("u2", 2, draining=True)], position_at(2)
    )
    registry.replace(UpstreamSnapshot((), position_at(9)), after_outage=True)
    assert set(registry.records) == {"u1"}


def test_removal_without_outage_takes_effect_at_once(
    registry: UpstreamRegistry, make_update: Callable[..., StoredUpstream]
) -> None:
    """Guards against sending requests to an upstream that left without draining."""
    registry.merge([make_update("u1", 1)], position_at(1))
    registry.merge([StoredUpstream("u1", position_at(2), None)], position_at(2))
    assert usable(registry) == set()


def test_delayed_entry_of_earlier_incarnation_is_ignored(
    registry: UpstreamRegistry, make_update: Callable[..., StoredUpstream]
) -> None:
    """Guards against a delayed heartbeat hiding a restart under the same id."""
    registry.merge([make_update("u1", 1, started_ms=2_000)], position_at(1))
    registry.merge(
        [make_update("u1", 2, started_ms=1_000, draining=True)], position_at(2)
    )
    assert usable(registry) == {"u1"}


def test_incarnation_that_starts_after_the_clock_was_set_back_is_adopted(
    registry: UpstreamRegistry, make_update: Callable[..., StoredUpstream]
) -> None:
    """Guards against an upstream whose draining is ignored because its clock jumped."""
    registry.merge([make_update("u1", 1, started_ms=2_000)], position_at(1))
    # The first entry may be a delayed write; peers and lists may repeat it.
    for _ in range(3):
        registry.merge([make_update("u1", 2, started_ms=1_000)], position_at(2))
        assert registry.usable()[SERVICE][0].started_ms == 2_000
    registry.merge([make_update("u1", 3, started_ms=1_000)], position_at(3))
    assert registry.usable()[SERVICE][0].started_ms == 1_000
    registry.merge(
        [make_update("u1", 4, started_ms=1_000, draining=True)], position_at(4)
    )
    assert registry.usable()[SERVICE] == ()


def test_delayed_entries_do_not_add_up_over_entries_of_the_running_incarnation(
    registry: UpstreamRegistry, make_update: Callable[..., StoredUpstream]
) -> None:
    """Guards against two late writes of an incarnation that is gone."""
    registry.merge([make_update("u1", 1, started_ms=2_000)], position_at(1))
    registry.merge([make_update("u1", 2, started_ms=1_000)], position_at(2))
    registry.merge([make_update("u1", 3, started_ms=2_000)], position_at(3))
    registry.merge(
        [make_update("u1", 4, started_ms=1_000, draining=True)], position_at(4)
    )
    assert registry.usable()[SERVICE][0].started_ms == 2_000


def test_entry_newer_than_snapshot_is_kept(
    registry: UpstreamRegistry, make_update: Callable[..., StoredUpstream]
) -> None:
    """Guards against removing an upstream that was added while a list was read.

    A list is read in pages, at the revision of the first one. An entry that was added
    after that page may be missing, but is newer than the snapshot.
    """
    registry.merge([make_update("u1", 7)], position_at(7))
    registry.replace(UpstreamSnapshot((), position_at(6)), after_outage=False)
    assert usable(registry) == {"u1"}


def test_address_belongs_to_newest_entry(
    registry: UpstreamRegistry, make_update: Callable[..., StoredUpstream]
) -> None:
    """Guards against requests to upstreams from before a power loss.

    Another upstream listens at their address and rejects such requests with 421.
    """
    registry.merge(
        [make_update("u1", 1, port=80), make_update("u2", 2, port=81)], position_at(2)
    )
    registry.merge([make_update("u3", 3, port=80)], position_at(3))
    assert usable(registry) == {"u2", "u3"}
    registry.replace(
        UpstreamSnapshot((make_update("u3", 3, port=80),), position_at(9)),
        after_outage=True,
    )
    assert usable(registry) == {"u2", "u3"}
    registry.merge([StoredUpstream("u3", position_at(10), None)], position_at(10))
    assert "u3" not in usable(registry)
