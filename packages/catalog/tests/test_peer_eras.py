"""Tests of what processes learn of the eras of the store from their peers."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import TYPE_CHECKING, Any

import msgspec
import pytest

from sardineyard.catalog.beacons import Beacon, BeaconSocket
from sardineyard.catalog.messages import (
    PeerUpdate,
    PeerUpdateReceived,
    UpstreamsListed,
    UpstreamUpdate,
)
from sardineyard.core.address import Address
from sardineyard.core.mailbox import Reply
from sardineyard.forwarding.store import (
    UpstreamSnapshot,
)
from sardineyard.standins.gateway_doubles import (
    position_at,
    ready_entry,
)
from sardineyard.standins.processes import free_port

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from sardineyard.forwarding.store import StorePosition


@pytest.fixture
def run_with_known_entry(
    run_with_catalogs: Callable[..., None],
) -> Callable[[Callable[[Any], Awaitable[None]]], None]:
    """Return a function that runs a test with a catalog without access to its store.

    It knows u1 at revision 60 of era 1; the store knows the entries of u2 and u3.
    """

    def run(test: Callable[[Any], Awaitable[None]]) -> None:
        async def run_test(catalog: Any) -> None:
            for id in ("u1", "u2", "u3"):
                await catalog.store.put_upstream(ready_entry(id))
            catalog.start(watches_store=False)
            await receive_list(catalog, position_at(60, era=1), "u1")
            await catalog.wait_until(lambda: catalog.upstreams() == {"u1"})
            await test(catalog)

        run_with_catalogs(run_test)

    return run


async def receive_list(catalog: Any, position: StorePosition, *ids: str) -> None:
    """Let a catalog receive a list of the store."""
    entries = (await catalog.store.read_upstreams()).entries
    listed = tuple(replace(e, position=position) for e in entries if e.id in ids)
    snapshot = UpstreamSnapshot(listed, position)
    catalog.keeper.mailbox.post(UpstreamsListed(snapshot, after_outage=False))


async def receive_reply(
    catalog: Any, position: StorePosition, *ids: str, is_full_list: bool
) -> None:
    """Let a catalog receive the reply of a peer with entries of a position."""
    entries = (await catalog.store.read_upstreams()).entries
    update = PeerUpdate(
        "127.0.0.1:1",
        0,
        position,
        upstreams=tuple(
            UpstreamUpdate(e.id, position, e.raw) for e in entries if e.id in ids
        ),
        is_complete=True,
        is_full_list=is_full_list,
    )
    catalog.keeper.mailbox.post(PeerUpdateReceived(update))
    await asyncio.sleep(0.1)


def test_full_list_of_a_peer_crosses_the_era(
    run_with_known_entry: Callable[..., None],
) -> None:
    """Guards against a process that the store turns away and that stays behind.

    Upstreams that the list lacks lapse, as they do after a list of the store.
    """

    async def test(catalog: Any) -> None:
        position = position_at(20, era=2)
        await receive_reply(catalog, position, "u2", is_full_list=True)
        assert catalog.keeper.versions[1] == position
        assert catalog.upstreams() == {"u1", "u2"}
        await asyncio.sleep(2.0)
        assert catalog.upstreams() == {"u2"}

    run_with_known_entry(test)


def test_changes_of_a_peer_do_not_cross_the_era(
    run_with_known_entry: Callable[..., None],
) -> None:
    """Guards against a process that misses what changed between two eras."""

    async def test(catalog: Any) -> None:
        position = position_at(61, era=2)
        await receive_reply(catalog, position, "u2", is_full_list=False)
        assert catalog.keeper.versions[1] == position_at(60, era=1)
        assert catalog.upstreams() == {"u1"}
        await receive_reply(catalog, position, "u1", "u2", is_full_list=True)
        assert catalog.keeper.versions[1] == position
        assert catalog.upstreams() == {"u1", "u2"}

    run_with_known_entry(test)


@pytest.mark.parametrize("is_full_list", [True, False])
def test_peer_of_an_earlier_era_teaches_nothing(
    run_with_known_entry: Callable[..., None], *, is_full_list: bool
) -> None:
    """Guards against the lost history coming back, however high its revision is."""

    async def test(catalog: Any) -> None:
        position = position_at(20, era=2)
        await receive_list(catalog, position, "u1")
        lost = position_at(900, era=1)
        await receive_reply(catalog, lost, "u3", is_full_list=is_full_list)
        assert catalog.upstreams() == {"u1"}
        assert catalog.keeper.versions[1] == position

    run_with_known_entry(test)


def test_era_of_a_peer_makes_a_late_list_of_the_store_outdated(
    run_with_known_entry: Callable[..., None],
) -> None:
    """Guards against a list that was read before the return and comes after it."""

    async def test(catalog: Any) -> None:
        position = position_at(20, era=2)
        await receive_reply(catalog, position, "u1", is_full_list=True)
        await receive_list(catalog, position_at(61, era=1), "u3")
        await asyncio.sleep(0.1)
        assert catalog.upstreams() == {"u1"}
        assert catalog.keeper.versions[1] == position

    run_with_known_entry(test)


def test_peer_gets_a_full_list_while_upstreams_have_lapsed(
    run_with_known_entry: Callable[..., None],
) -> None:
    """Guards against a fleet that learns of a new era two seconds late."""

    async def test(catalog: Any) -> None:
        await receive_list(catalog, position_at(20, era=2), "u2")
        reply: Reply[PeerUpdate] = Reply()
        behind = PeerUpdate("127.0.0.1:1", 0, position_at(60, era=1))
        catalog.keeper.mailbox.post(PeerUpdateReceived(behind, reply))
        sent = await reply.wait()
        assert sent.is_complete
        assert sent.is_full_list
        assert [update.id for update in sent.upstreams] == ["u2"]

    run_with_known_entry(test)


@pytest.mark.parametrize(
    ("sent", "known", "is_requested"),
    [
        (position_at(900, era=1), position_at(20, era=2), False),
        (position_at(20, era=2), position_at(900, era=1), True),
        (position_at(20, era=2), position_at(20, era=2), False),
    ],
)
def test_update_is_requested_from_a_gateway_of_a_later_era(
    run_with_catalogs: Callable[..., None],
    sent: StorePosition,
    known: StorePosition,
    *,
    is_requested: bool,
) -> None:
    """Guards against a gateway that asks for the lost history of the store."""

    async def test(catalog: Any) -> None:
        newer_peers: list[str] = []
        local = Address("127.0.0.1", free_port())
        beacons = BeaconSocket(
            local,
            local,
            catalog.clock,
            list,
            dict,
            dict,
            lambda: (0, known),
            newer_peers.append,
            tuple,
            tuple,
        )
        beacon = Beacon("127.0.0.2:1", 1, 0.0, 0, sent, {})
        beacons.datagram_received(msgspec.msgpack.encode(beacon), ("127.0.0.2", 1))
        assert bool(newer_peers) == is_requested

    run_with_catalogs(test)
