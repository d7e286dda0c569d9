"""Tests of the keeper and of the tasks that watch the store."""

from __future__ import annotations

import asyncio
import zlib
from typing import TYPE_CHECKING, Any

import pytest

from sardineyard.catalog.messages import (
    ConfigReceived,
    PeerUpdate,
    PeerUpdateReceived,
    PrepareExchange,
    UpstreamsListed,
    UpstreamUpdate,
)
from sardineyard.core.mailbox import Reply
from sardineyard.forwarding.store import BEGINNING, StoredConfig, StoreFailure
from sardineyard.standins.gateway_doubles import (
    empty_config,
    position_at,
    ready_entry,
)

if TYPE_CHECKING:
    from collections.abc import Callable


def test_older_configuration_is_ignored(
    run_with_catalogs: Callable[..., None],
) -> None:
    """Guards against a stale read or a peer that restores an older version."""

    async def test(catalog: Any) -> None:
        catalog.start(watches_store=False)
        mailbox = catalog.keeper.mailbox
        for version in (5, 9, 7):
            mailbox.post(
                ConfigReceived(
                    StoredConfig(empty_config(version), b"", position_at(1)), "store"
                )
            )
        await catalog.wait_until(lambda: catalog.keeper.config is not None)
        await asyncio.sleep(0.05)
        assert catalog.keeper.config.version == 9

    run_with_catalogs(test)


def test_store_changes_are_adopted(
    run_with_catalogs: Callable[..., None],
) -> None:
    """Guards against a watch that stops after its first change."""

    async def test(catalog: Any) -> None:
        catalog.start()
        for version in (2, 3, 4):
            await catalog.store.put_config(empty_config(version))
            await catalog.store.put_upstream(ready_entry(f"u{version}"))
            await catalog.wait_until(
                lambda version=version: (
                    catalog.keeper.config is not None
                    and catalog.keeper.config.version == version
                )
            )
        await catalog.wait_until(lambda: catalog.upstreams() == {"u2", "u3", "u4"})
        await catalog.store.remove_upstream("u3")
        await catalog.wait_until(lambda: catalog.upstreams() == {"u2", "u4"})

    run_with_catalogs(test)


@pytest.mark.parametrize("failure", list(StoreFailure))
def test_watch_resumes_after_a_store_failure(
    run_with_catalogs: Callable[..., None], failure: StoreFailure
) -> None:
    """Guards against a watch task that ends with the first failed call."""

    async def test(catalog: Any) -> None:
        await catalog.store.put_config(empty_config(1))
        catalog.start()
        await catalog.wait_until(lambda: catalog.keeper.is_ready)
        catalog.store.failure = failure
        await catalog.store.put_config(empty_config(2))
        await asyncio.sleep(0.3)
        assert catalog.keeper.config.version == 1
        catalog.store.failure = None
        await catalog.wait_until(lambda: catalog.keeper.config.version == 2)

    run_with_catalogs(test)


def test_lapsed_upstreams_stay_usable_until_renewed_or_expired(
    run_with_catalogs: Callable[..., None],
) -> None:
    """Guards against a service without upstreams right after an outage."""

    async def test(catalog: Any) -> None:
        await catalog.store.put_upstream(ready_entry("u1"))
        await catalog.store.put_upstream(ready_entry("u2"))
        catalog.start()
        await catalog.wait_until(lambda: catalog.keeper.versions[1] > BEGINNING)
        catalog.store.failure = StoreFailure.REFUSED
        await asyncio.sleep(0.1)
        await catalog.store.remove_upstream("u1")
        await catalog.store.remove_upstream("u2")
        await asyncio.sleep(0.5)
        catalog.store.failure = None
        await asyncio.sleep(1.2)
        assert catalog.upstreams() == {"u1", "u2"}
        await catalog.store.put_upstream(ready_entry("u1"))
        await catalog.wait_until(lambda: catalog.upstreams() == {"u1"})

    run_with_catalogs(test)


def test_reply_contains_what_the_peer_lacks(
    run_with_catalogs: Callable[..., None],
) -> None:
    """Guards against a process without store access that stays out of date."""

    async def test(catalog: Any) -> None:
        await catalog.store.put_config(empty_config(3))
        await catalog.store.put_upstream(ready_entry("u1"))
        catalog.start()
        await catalog.wait_until(lambda: catalog.keeper.is_ready)
        reply: Reply[PeerUpdate] = Reply()
        update = PeerUpdate(
            "127.0.0.1:1", config_version=1, upstream_position=BEGINNING
        )
        catalog.keeper.mailbox.post(PeerUpdateReceived(update, reply))
        peer_reply = await reply.wait()
        assert peer_reply.config_version == 3
        assert peer_reply.config is not None
        assert [item.id for item in peer_reply.upstreams] == ["u1"]
        assert peer_reply.is_complete

    run_with_catalogs(test)


def test_configuration_is_compressed_for_peers(
    run_with_catalogs: Callable[..., None],
) -> None:
    """Guards against links saturated by a configuration with many routes."""
    raw = b"".join(b'{"prefix": "/%d/", "timeout": 8000}' % n for n in range(9_000))

    async def test(catalog: Any) -> None:
        catalog.start(watches_store=False)
        mailbox = catalog.keeper.mailbox
        mailbox.post(
            ConfigReceived(StoredConfig(empty_config(5), raw, position_at(1)), "store")
        )
        reply: Reply[PeerUpdate] = Reply()
        mailbox.post(PeerUpdateReceived(PeerUpdate("", 4, BEGINNING), reply))
        sent = (await reply.wait()).config
        assert sent is not None
        assert len(sent) < len(raw) / 3
        assert zlib.decompress(sent) == raw

    run_with_catalogs(test)


@pytest.mark.parametrize(
    "compressed", [b"no stream", zlib.compress(b"x")[:-1], zlib.compress(b"x" * 2**25)]
)
def test_malformed_compressed_configuration_is_ignored(
    run_with_catalogs: Callable[..., None], compressed: bytes
) -> None:
    """Guards against a peer whose data stops the keeper or fills its memory."""

    async def test(catalog: Any) -> None:
        catalog.start(watches_store=False)
        mailbox = catalog.keeper.mailbox
        update = PeerUpdate("127.0.0.1:1", 6, BEGINNING, config=compressed)
        mailbox.post(PeerUpdateReceived(update))
        mailbox.post(
            ConfigReceived(StoredConfig(empty_config(5), b"", position_at(1)), "store")
        )
        await catalog.wait_until(lambda: catalog.keeper.config is not None)
        assert catalog.keeper.config.version == 5

    run_with_catalogs(test)


def test_late_reply_of_a_peer_does_not_restore_an_upstream_that_has_left(
    run_with_catalogs: Callable[..., None],
) -> None:
    """Guards against a restarted process that uses a removed upstream again."""

    async def test(catalog: Any) -> None:
        await catalog.store.put_config(empty_config(1))
        await catalog.store.put_upstream(ready_entry("left"))
        left = (await catalog.store.read_upstreams()).entries[0]
        await catalog.store.put_upstream(ready_entry("stays"))
        await catalog.store.remove_upstream("left")
        catalog.start()
        await catalog.wait_until(lambda: catalog.keeper.is_ready)
        # The exchange began before the list was read, at a peer without the removal.
        outdated = UpstreamUpdate("left", left.position, left.raw)
        update = PeerUpdate(
            "", 0, left.position, upstreams=(outdated,), is_complete=True
        )
        catalog.keeper.mailbox.post(PeerUpdateReceived(update))
        await asyncio.sleep(0.1)
        assert catalog.upstreams() == {"stays"}

    run_with_catalogs(test)


def test_list_of_a_restarted_process_removes_what_left_before_its_start(
    run_with_catalogs: Callable[..., None],
) -> None:
    """Guards against an upstream that has left and stays in use in a store outage.

    The restarted process knows the list, but not the removals before its start.
    """

    async def test(restarted: Any, behind: Any) -> None:
        store = restarted.store
        await store.put_config(empty_config(1))
        await store.put_upstream(ready_entry("left"))
        await store.put_upstream(ready_entry("stays"))
        for catalog in (restarted, behind):
            catalog.start(watches_store=False)
        old_list = UpstreamsListed(await store.read_upstreams(), after_outage=False)
        behind.keeper.mailbox.post(old_list)
        await store.remove_upstream("left")
        new_list = UpstreamsListed(await store.read_upstreams(), after_outage=False)
        restarted.keeper.mailbox.post(new_list)
        query: Reply[PeerUpdate] = Reply()
        behind.keeper.mailbox.post(PrepareExchange(query))
        reply: Reply[PeerUpdate] = Reply()
        update = PeerUpdateReceived(await query.wait(), reply)
        restarted.keeper.mailbox.post(update)
        behind.keeper.mailbox.post(PeerUpdateReceived(await reply.wait()))
        await behind.wait_until(lambda: behind.upstreams() == {"stays"})

    run_with_catalogs(test, "127.0.0.1:1", "127.0.0.2:1")
