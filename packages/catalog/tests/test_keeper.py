"""Tests of the catalog and of the tasks that follow the store."""

from __future__ import annotations

import asyncio
import zlib
from typing import TYPE_CHECKING, Any

import pytest

from sardineyard.catalog.messages import ConfigArrived, NewsReceived, PeerNews
from sardineyard.core.ids import FailureDomain, ServiceName
from sardineyard.core.mailbox import Reply
from sardineyard.forwarding.config import (
    ForwardingConfig,
    UpstreamEntry,
    UpstreamPhase,
)
from sardineyard.forwarding.source import ConfigRead, StoreFailure

if TYPE_CHECKING:
    from collections.abc import Callable

SERVICE = ServiceName("desk")


def config(version: int) -> ForwardingConfig:
    """Return an empty configuration of a version."""
    return ForwardingConfig(version, (), {}, ())


def entry(id: str) -> UpstreamEntry:
    """Return the entry of an upstream."""
    # No two upstreams listen at one address.
    port = 80 + sum(id.encode())
    return UpstreamEntry(
        id, SERVICE, "127.0.0.1", port, FailureDomain("a"), 4, UpstreamPhase.READY
    )


def test_the_configuration_never_goes_back(
    run_followers: Callable[..., None],
) -> None:
    """Guards against an old version that a stale read or a peer brings."""

    async def test(follower: Any) -> None:
        follower.start(follows_store=False)
        mailbox = follower.keeper.mailbox
        for version in (5, 9, 7):
            mailbox.post(ConfigArrived(ConfigRead(config(version), b"", 1), "store"))
        await follower.until(lambda: follower.keeper.config is not None)
        await asyncio.sleep(0.05)
        assert follower.keeper.config.version == 9

    run_followers(test)


def test_changes_of_the_store_are_followed(
    run_followers: Callable[..., None],
) -> None:
    """Guards against a watch that stops after its first change."""

    async def test(follower: Any) -> None:
        follower.start()
        for version in (2, 3, 4):
            await follower.store.put_config(config(version))
            await follower.store.put_upstream(entry(f"u{version}"))
            await follower.until(
                lambda version=version: (
                    follower.keeper.config is not None
                    and follower.keeper.config.version == version
                )
            )
        await follower.until(lambda: follower.upstreams() == {"u2", "u3", "u4"})
        await follower.store.remove_upstream("u3")
        await follower.until(lambda: follower.upstreams() == {"u2", "u4"})

    run_followers(test)


@pytest.mark.parametrize("failure", list(StoreFailure))
def test_the_store_is_followed_again_after_a_failure(
    run_followers: Callable[..., None], failure: StoreFailure
) -> None:
    """Guards against a task that ends with the store's first refusal."""

    async def test(follower: Any) -> None:
        await follower.store.put_config(config(1))
        follower.start()
        await follower.until(lambda: follower.keeper.is_ready)
        follower.store.failure = failure
        await follower.store.put_config(config(2))
        await asyncio.sleep(0.3)
        assert follower.keeper.config.version == 1
        follower.store.failure = None
        await follower.until(lambda: follower.keeper.config.version == 2)

    run_followers(test)


def test_a_lapsed_entry_is_used_until_it_is_written_again(
    run_followers: Callable[..., None],
) -> None:
    """Guards against a service without upstreams right after an outage."""

    async def test(follower: Any) -> None:
        await follower.store.put_upstream(entry("u1"))
        await follower.store.put_upstream(entry("u2"))
        follower.start()
        await follower.until(lambda: follower.keeper.versions[1] > 0)
        follower.store.failure = StoreFailure.REFUSED
        await asyncio.sleep(0.1)
        await follower.store.remove_upstream("u1")
        await follower.store.remove_upstream("u2")
        await asyncio.sleep(0.5)
        follower.store.failure = None
        await asyncio.sleep(1.2)
        assert follower.upstreams() == {"u1", "u2"}
        await follower.store.put_upstream(entry("u1"))
        await follower.until(lambda: follower.upstreams() == {"u1"})

    run_followers(test)


def test_an_answer_holds_what_the_peer_lacks(
    run_followers: Callable[..., None],
) -> None:
    """Guards against a process that the store turns away and that learns nothing."""

    async def test(follower: Any) -> None:
        await follower.store.put_config(config(3))
        await follower.store.put_upstream(entry("u1"))
        follower.start()
        await follower.until(lambda: follower.keeper.is_ready)
        reply: Reply[PeerNews] = Reply()
        news = PeerNews("127.0.0.1:1", config_version=1, upstream_revision=0)
        follower.keeper.mailbox.post(NewsReceived(news, reply))
        answer = await reply.wait()
        assert answer.config_version == 3
        assert answer.config is not None
        assert [item.id for item in answer.upstreams] == ["u1"]
        assert answer.is_complete

    run_followers(test)


def test_a_configuration_goes_to_peers_compressed(
    run_followers: Callable[..., None],
) -> None:
    """Guards against links that a configuration of many routes fills."""
    raw = b"".join(b'{"prefix": "/%d/", "timeout": 8000}' % n for n in range(9_000))

    async def test(follower: Any) -> None:
        follower.start(follows_store=False)
        mailbox = follower.keeper.mailbox
        mailbox.post(ConfigArrived(ConfigRead(config(5), raw, 1), "store"))
        reply: Reply[PeerNews] = Reply()
        mailbox.post(NewsReceived(PeerNews("", 4, 0), reply))
        sent = (await reply.wait()).config
        assert sent is not None
        assert len(sent) < len(raw) / 3
        assert zlib.decompress(sent) == raw

    run_followers(test)


@pytest.mark.parametrize(
    "packed", [b"no stream", zlib.compress(b"x")[:-1], zlib.compress(b"x" * 2**25)]
)
def test_a_configuration_that_cannot_be_unpacked_is_left_out(
    run_followers: Callable[..., None], packed: bytes
) -> None:
    """Guards against a peer whose bytes end the keeper or fill its memory."""

    async def test(follower: Any) -> None:
        follower.start(follows_store=False)
        mailbox = follower.keeper.mailbox
        news = PeerNews("127.0.0.1:1", 6, 0, config=packed, config_revision=3)
        mailbox.post(NewsReceived(news))
        mailbox.post(ConfigArrived(ConfigRead(config(5), b"", 1), "store"))
        await follower.until(lambda: follower.keeper.config is not None)
        assert follower.keeper.config.version == 5

    run_followers(test)
