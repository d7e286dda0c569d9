"""Tests of the eras of a store that returns from an older copy."""

from __future__ import annotations

import asyncio
import logging
from dataclasses import replace
from random import Random
from typing import TYPE_CHECKING, Any

import pytest

from sardineyard.catalog.follower import StoreFollower, WatchTiming
from sardineyard.catalog.messages import (
    PeerUpdate,
    PeerUpdateReceived,
    UpstreamsChanged,
    UpstreamsListed,
    UpstreamUpdate,
)
from sardineyard.core.clock import SystemClock
from sardineyard.core.ids import FailureDomain, ServiceName
from sardineyard.core.mailbox import Mailbox, Reply
from sardineyard.forwarding.config import (
    ForwardingConfig,
    UpstreamEntry,
    UpstreamPhase,
)
from sardineyard.forwarding.store import (
    StoredUpstream,
    StoreFailure,
    UpstreamChanges,
    UpstreamSnapshot,
)
from sardineyard.standins.gateway_doubles import position_at

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from sardineyard.core.ids import StoreEra
    from sardineyard.forwarding.store import StorePosition

SERVICE = ServiceName("desk")


def config(version: int) -> ForwardingConfig:
    """Return an empty configuration of a version."""
    return ForwardingConfig(version, (), {}, ())


def entry(id: str, started_ms: int = 1) -> UpstreamEntry:
    """Return the entry of an upstream with an address of its own."""
    port = 80 + sum(id.encode())
    domain = FailureDomain("a")
    return UpstreamEntry(
        id, SERVICE, "127.0.0.1", port, domain, 4, UpstreamPhase.READY, started_ms
    )


@pytest.fixture
def run_with_copy(
    run_with_catalogs: Callable[..., None],
) -> Callable[[Callable[[Any], Awaitable[None]]], None]:
    """Return a function that runs a test with a catalog whose store has a copy.

    The store has lost version 2 and the entry of u2 once it returns from the copy.
    """

    def run(test: Callable[[Any], Awaitable[None]], watch_s: float = 0.4) -> None:
        async def run_test(catalog: Any) -> None:
            await catalog.store.put_config(config(1))
            await catalog.store.put_upstream(entry("u1"))
            catalog.start(watch_s=watch_s)
            await catalog.wait_until(lambda: catalog.upstreams() == {"u1"})
            catalog.store.take_copy()
            await catalog.store.put_config(config(2))
            await catalog.store.put_upstream(entry("u2"))
            await catalog.wait_until(lambda: catalog.keeper.config.version == 2)
            await catalog.wait_until(lambda: catalog.upstreams() == {"u1", "u2"})
            await test(catalog)

        run_with_catalogs(run_test)

    return run


def test_configuration_at_a_revision_that_was_given_out_before_is_adopted(
    run_with_copy: Callable[..., None],
) -> None:
    """Guards against a revoked key in use: no watch fails, only the era tells."""

    async def test(catalog: Any) -> None:
        catalog.store.return_from_copy()
        await catalog.store.put_config(config(3))
        async with asyncio.timeout(1.5):
            await catalog.wait_until(lambda: catalog.keeper.config.version == 3)

    run_with_copy(test)


def test_era_that_one_task_sees_ends_the_watch_of_the_other(
    run_with_copy: Callable[..., None],
) -> None:
    """Guards against a watch of the lost history that waits for its whole time."""

    async def test(catalog: Any) -> None:
        catalog.store.return_from_copy()
        # The watch of the configuration waits for a higher revision than this one.
        await catalog.store.put_config(config(3))
        for id in ("u3", "u4"):
            await catalog.store.put_upstream(entry(id))
        async with asyncio.timeout(1.5):
            await catalog.wait_until(lambda: catalog.keeper.config.version == 3)

    run_with_copy(test, watch_s=20.0)


@pytest.mark.parametrize("failure", [StoreFailure.REFUSED, StoreFailure.HISTORY_LOST])
def test_era_of_a_failed_call_is_followed(
    run_with_copy: Callable[..., None],
    caplog: pytest.LogCaptureFixture,
    failure: StoreFailure,
) -> None:
    """Guards against a process that learns of an era only once a call succeeds."""

    async def test(catalog: Any) -> None:
        catalog.store.return_from_copy()
        catalog.store.failure = failure
        await catalog.wait_until(
            lambda: "store_era_seen" in {r.__dict__["event"] for r in caplog.records}
        )

    with caplog.at_level(logging.INFO):
        run_with_copy(test)


def test_configuration_of_the_copy_does_not_replace_a_newer_one(
    run_with_copy: Callable[..., None],
) -> None:
    """Guards against a revoked key that is in use again after the store's return."""

    async def test(catalog: Any) -> None:
        catalog.store.return_from_copy()
        await catalog.wait_until(lambda: catalog.keeper.versions[1].era == 1)
        await asyncio.sleep(0.5)
        assert catalog.keeper.config.version == 2

    run_with_copy(test)


def test_process_reads_everything_once_after_a_return(
    run_with_copy: Callable[..., None],
) -> None:
    """Guards against a fleet whose reads exceed the limit of the store."""

    async def test(catalog: Any) -> None:
        reads = catalog.store.reads
        catalog.store.return_from_copy()
        await asyncio.sleep(1.5)
        assert catalog.keeper.versions[1].era == 1
        # The configuration and the upstreams.
        assert catalog.store.reads - reads == 2

    run_with_copy(test)


def test_late_answer_of_the_lost_history_changes_nothing(
    run_with_copy: Callable[..., None],
) -> None:
    """Guards against a list or changes that were read before the store's return."""

    async def test(catalog: Any) -> None:
        late_list = await catalog.store.read_upstreams()
        catalog.store.return_from_copy()
        await catalog.wait_until(lambda: catalog.keeper.versions[1].era == 1)
        await catalog.store.put_upstream(entry("u3"))
        await catalog.wait_until(lambda: "u3" in catalog.upstreams())
        position = position_at(90)
        changes = UpstreamChanges(late_list.entries, position)
        late_list = UpstreamSnapshot(late_list.entries, position)
        catalog.keeper.mailbox.post(UpstreamsListed(late_list, after_outage=False))
        catalog.keeper.mailbox.post(UpstreamsChanged(changes, after_outage=False))
        # The time for which u2, which the copy lacks, stays in use.
        await asyncio.sleep(2.0)
        assert catalog.upstreams() == {"u1", "u3"}
        assert catalog.keeper.versions[1].era == 1

    run_with_copy(test)


def test_watch_that_answers_from_an_earlier_era_is_repeated() -> None:
    """Guards against changes of the lost history that a late answer has."""
    position = position_at(20, era=2)
    answers = [
        UpstreamChanges(
            (StoredUpstream("u1", position_at(60, 1), None),), position_at(60, 1)
        ),
        UpstreamChanges((), position_at(21, era=2)),
    ]
    watched: list[StorePosition] = []

    async def read(era: StoreEra) -> UpstreamSnapshot:
        return UpstreamSnapshot((), position)

    async def watch(after: StorePosition, wait_s: float) -> UpstreamChanges:
        watched.append(after)
        if not answers:
            await asyncio.sleep(60.0)
        return answers.pop(0)

    async def test() -> list[object]:
        keeper: Mailbox[object] = Mailbox()
        timing = WatchTiming(5.0, 0.0, Random(1))
        clock = SystemClock()
        follower = StoreFollower("upstreams", read, watch, keeper, clock, timing)
        task = asyncio.create_task(follower.run())
        while len(watched) < 3:  # noqa: ASYNC110
            await asyncio.sleep(0.01)
        task.cancel()
        return [keeper.receive_nowait() for _ in range(keeper.depth)]

    sent = asyncio.run(test())
    assert watched == [position, position, position_at(21, era=2)]
    (changed,) = (m for m in sent if isinstance(m, UpstreamsChanged))
    assert changed.changes.position == position_at(21, era=2)


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
                await catalog.store.put_upstream(entry(id))
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
