"""Tests of the exchange between processes."""

from __future__ import annotations

import asyncio
import socket
from random import Random
from typing import TYPE_CHECKING, Any

from grpclib.const import Cardinality, Handler
from grpclib.server import Server

from sardineyard.catalog.beacons import Beacons
from sardineyard.catalog.messages import PeerLoads, PeerNews
from sardineyard.catalog.peers import (
    EXCHANGE_METHOD,
    NewsCodec,
    PeerExchange,
    PeerService,
)
from sardineyard.core.address import Address
from sardineyard.core.mailbox import Mailbox
from sardineyard.forwarding.config import ForwardingConfig
from sardineyard.forwarding.source import StoreFailure

if TYPE_CHECKING:
    from collections.abc import Callable


def free_port() -> int:
    """Return a port on which nothing listens."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


def test_a_process_that_the_store_turns_away_learns_from_its_peers(
    run_followers: Callable[..., None],
) -> None:
    """Guards against removed keys that one process accepts while it is cut off."""
    ports = [free_port() for _ in range(3)]
    addresses = [f"127.0.0.1:{port}" for port in ports]

    async def test(*followers: Any) -> None:
        servers = []
        for follower, port, address in zip(followers, ports, addresses, strict=True):
            exchange = PeerExchange(
                follower.keeper.mailbox,
                address,
                (addresses[0],),
                follower.clock,
                Random(port),
                0.05,
            )
            server = Server(
                [PeerService(follower.keeper.mailbox, exchange)], codec=NewsCodec()
            )
            await server.start("127.0.0.1", port)
            servers.append(server)
            follower.start(follows_store=follower is not followers[2])
            follower.tasks.start("peers", exchange.run())
        for version in (4, 5):
            await followers[0].store.put_config(ForwardingConfig(version, (), {}, ()))
            await followers[2].until(
                lambda version=version: (
                    followers[2].keeper.config is not None
                    and followers[2].keeper.config.version == version
                )
            )
        assert followers[2].keeper.is_ready
        for server in servers:
            server.close()

    run_followers(test, *addresses)


def test_gateways_know_each_others_load(run_followers: Callable[..., None]) -> None:
    """Guards against gateways that fill a group without seeing each other."""

    async def test(follower: Any) -> None:
        port = free_port()
        hosts = ["127.0.0.1", "127.0.0.2"]
        mailboxes: list[Mailbox[Any]] = [Mailbox(), Mailbox()]
        behind: list[str] = []
        for index, host in enumerate(hosts):
            beacons = Beacons(
                Address(host, 1),
                Address(host, port),
                follower.clock,
                lambda index=index: [f"{hosts[1 - index]}:1"],
                lambda index=index: {"u1": index + 1},
                lambda index=index: {"llm": 1.0 + index},
                lambda index=index: (index, 0),
                behind.append,
            )
            beacons.subscribe(mailboxes[index])
            follower.tasks.start(host, beacons.run())
        await asyncio.sleep(0.6)
        loads: list[PeerLoads] = []
        while (load := mailboxes[0].take()) is not None:
            loads.append(load)
        assert loads[-1] == PeerLoads({"u1": 2}, 2, {"llm": 2.0})
        assert set(behind) == {"127.0.0.2:1"}

    run_followers(test)


def test_a_failed_store_alone_makes_no_process_ready(
    run_followers: Callable[..., None],
) -> None:
    """Guards against a process that serves with nothing known."""

    async def test(follower: Any) -> None:
        follower.store.failure = StoreFailure.UNREACHABLE
        follower.start()
        await asyncio.sleep(0.3)
        assert not follower.keeper.is_ready

    run_followers(test)


def test_a_process_that_is_behind_asks_one_peer_at_a_time(
    run_followers: Callable[..., None],
) -> None:
    """Guards against a link that is filled with the same configuration twelve times."""
    asked = 0

    class SlowService:
        """Count the exchanges and answer none."""

        async def exchange(self, stream: Any) -> None:
            nonlocal asked
            asked += 1
            await asyncio.sleep(1.0)

        def __mapping__(self) -> dict[str, Handler]:
            kind = Cardinality.UNARY_UNARY
            handler = Handler(self.exchange, kind, PeerNews, PeerNews)
            return {EXCHANGE_METHOD: handler}

    async def test(follower: Any) -> None:
        ports = [free_port() for _ in range(12)]
        servers = [Server([SlowService()], codec=NewsCodec()) for _ in ports]
        for server, port in zip(servers, ports, strict=True):
            await server.start("127.0.0.1", port)
        exchange = PeerExchange(
            follower.keeper.mailbox, "", (), follower.clock, Random(1), 0.05
        )
        follower.start()
        follower.tasks.start("peers", exchange.run())
        for _ in range(3):
            for port in ports:
                exchange.ask(f"127.0.0.1:{port}")
            await asyncio.sleep(0.1)
        assert asked == 1
        for server in servers:
            server.close()

    run_followers(test, "")
