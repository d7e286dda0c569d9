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
    assert registry.changes_since(position_at(4)) == [("u1", position_at(5), None, 1)]


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


def read_new_era(
    registry: UpstreamRegistry, *entries: StoredUpstream, revision: int
) -> None:
    """Read the full list of a store that has returned from an older copy."""
    position = position_at(revision, era=2)
    registry.replace(UpstreamSnapshot(entries, position), after_outage=False)


def test_draining_report_at_a_revision_that_was_given_out_before_is_applied(
    registry: UpstreamRegistry, make_update: Callable[..., StoredUpstream]
) -> None:
    """Guards against requests to an upstream that leaves after the store's return."""
    registry.merge([make_update("u1", 40, era=1)], position_at(60, era=1))
    read_new_era(registry, make_update("u1", 20, era=2), revision=20)
    draining = make_update("u1", 21, era=2, draining=True)
    registry.merge([draining], position_at(21, era=2))
    assert usable(registry) == set()
    assert registry.position == position_at(21, era=2)


def test_removal_at_a_revision_that_was_given_out_before_is_applied(
    registry: UpstreamRegistry, make_update: Callable[..., StoredUpstream]
) -> None:
    """Guards against requests to an upstream that is gone after the store's return."""
    registry.merge([make_update("u1", 40, era=1)], position_at(60, era=1))
    read_new_era(registry, make_update("u1", 20, era=2), revision=20)
    removal = StoredUpstream("u1", position_at(21, era=2), None)
    registry.merge([removal], position_at(21, era=2))
    assert usable(registry) == set()


def test_restart_after_the_return_of_the_store_is_found_at_its_new_address(
    registry: UpstreamRegistry, make_update: Callable[..., StoredUpstream]
) -> None:
    """Guards against an upstream that gets no requests until revisions have grown."""
    registry.merge([make_update("u1", 40, era=1, port=80)], position_at(60, era=1))
    read_new_era(registry, make_update("u1", 20, era=2, port=80), revision=20)
    restarted = make_update("u1", 22, era=2, port=81, started_ms=5)
    registry.merge([restarted], position_at(22, era=2))
    assert [entry.port for entry in registry.usable()[SERVICE]] == [81]


def test_upstreams_that_the_copy_lacks_stay_usable_for_two_seconds(
    registry: UpstreamRegistry,
    clock: ManualClock,
    make_update: Callable[..., StoredUpstream],
) -> None:
    """Guards against the loss of upstreams that registered after the copy was made."""
    registry.merge(
        [make_update(id, 40, era=1) for id in ("u1", "u2", "u3")],
        position_at(60, era=1),
    )
    read_new_era(registry, make_update("u3", 20, era=2), revision=20)
    clock.advance(1.8)
    assert usable(registry) == {"u1", "u2", "u3"}
    registry.merge([make_update("u1", 21, era=2)], position_at(21, era=2))
    clock.advance(0.2)
    assert usable(registry) == {"u1", "u3"}


def test_second_return_of_the_store_renews_the_time_of_lapsed_upstreams(
    registry: UpstreamRegistry,
    clock: ManualClock,
    make_update: Callable[..., StoredUpstream],
) -> None:
    """Guards against the loss of upstreams that had no second to write again."""
    registry.merge([make_update("u1", 40, era=1)], position_at(60, era=1))
    read_new_era(registry, revision=20)
    clock.advance(1.5)
    snapshot = UpstreamSnapshot((), position_at(20, era=3))
    registry.replace(snapshot, after_outage=False)
    clock.advance(1.5)
    assert usable(registry) == {"u1"}
    clock.advance(0.5)
    assert usable(registry) == set()


@pytest.mark.parametrize("is_draining", [True, False])
def test_copy_does_not_restore_an_upstream_that_has_left(
    registry: UpstreamRegistry,
    make_update: Callable[..., StoredUpstream],
    *,
    is_draining: bool,
) -> None:
    """Guards against requests to an upstream whose departure the store has lost."""
    registry.merge([make_update("u1", 40, era=1)], position_at(40, era=1))
    left_at = position_at(60, era=1)
    departure = StoredUpstream("u1", left_at, None)
    if is_draining:
        departure = make_update("u1", 60, era=1, draining=True)
    registry.merge([departure], left_at)
    for revision in (20, 70):
        read_new_era(registry, make_update("u1", revision, era=2), revision=revision)
        assert usable(registry) == set()
    # The store removes the entry, and the next copy has it again.
    removal = StoredUpstream("u1", position_at(71, era=2), None)
    registry.merge([removal], position_at(71, era=2))
    restored = make_update("u1", 20, era=3)
    registry.replace(
        UpstreamSnapshot((restored,), restored.position), after_outage=False
    )
    assert usable(registry) == set()
    later_start = make_update("u1", 21, era=3, started_ms=2)
    registry.merge([later_start], later_start.position)
    assert usable(registry) == {"u1"}


def test_departure_that_a_peer_knows_from_the_lost_history_is_applied(
    registry: UpstreamRegistry, make_update: Callable[..., StoredUpstream]
) -> None:
    """Guards against new processes that use an upstream which has left before."""
    restored = make_update("u1", 20, era=2, started_ms=3)
    read_new_era(registry, restored, revision=20)
    for started_ms, expected in ((2, {"u1"}), (3, set())):
        left = StoredUpstream(
            "u1", position_at(60, era=1), None, removed_start_ms=started_ms
        )
        registry.merge([left], position_at(20, era=2), from_peer=True)
        assert usable(registry) == expected


def test_earlier_start_that_the_copy_repeats_is_not_taken_for_a_second_write(
    registry: UpstreamRegistry, make_update: Callable[..., StoredUpstream]
) -> None:
    """Guards against the use of an incarnation that is gone after the store's return.

    Only an incarnation that goes on writing has started after its clock was set back.
    """
    registry.merge([make_update("u1", 40, era=1, started_ms=2)], position_at(40, era=1))
    registry.merge([make_update("u1", 41, era=1, started_ms=1)], position_at(41, era=1))
    read_new_era(registry, make_update("u1", 39, era=2, started_ms=1), revision=39)
    assert registry.usable()[SERVICE][0].started_ms == 2
    registry.merge([make_update("u1", 42, era=2, started_ms=1)], position_at(42, era=2))
    assert registry.usable()[SERVICE][0].started_ms == 1


def test_restart_with_an_earlier_start_after_the_return_gets_requests(
    registry: UpstreamRegistry, make_update: Callable[..., StoredUpstream]
) -> None:
    """Guards against an upstream that stays unused, as its clock was set back."""
    registry.merge([make_update("u1", 40, era=1, started_ms=5)], position_at(40, era=1))
    removal = StoredUpstream("u1", position_at(41, era=1), None)
    registry.merge([removal], position_at(41, era=1))
    for revision, expected in ((20, set()), (21, {"u1"})):
        restarted = make_update("u1", revision, era=2, started_ms=3)
        registry.merge([restarted], restarted.position)
        assert usable(registry) == expected
