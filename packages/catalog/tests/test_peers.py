"""Tests of the exchange of updates and of beacons between processes."""

from __future__ import annotations

import asyncio
import socket
from random import Random
from typing import TYPE_CHECKING, Any

import msgspec
import pytest
from grpclib.const import Cardinality, Handler
from grpclib.server import Server

from sardineyard.catalog.beacons import BeaconSocket
from sardineyard.catalog.messages import ConfigReceived, PeerLoads, PeerUpdate
from sardineyard.catalog.peers import (
    EXCHANGE_METHOD,
    MessagePackCodec,
    PeerExchange,
    PeerService,
)
from sardineyard.core.address import Address
from sardineyard.core.ids import PromptPartId, ServiceName
from sardineyard.core.mailbox import Mailbox
from sardineyard.forwarding.config import ForwardingConfig
from sardineyard.forwarding.store import BEGINNING, StoreFailure
from sardineyard.forwarding.traits import Finding, TraitStatement, traits_of
from sardineyard.standins.blackhole_proxy import BlackholeProxy

if TYPE_CHECKING:
    from collections.abc import Callable


def free_port() -> int:
    """Return a TCP port that is not in use."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


async def start_peer(
    catalog: Any, port: int, seeds: tuple[str, ...] = (), interval_s: float = 0.05
) -> tuple[PeerExchange, Server]:
    """Serve the exchanges of a catalog; its own ones are not started."""
    exchange = PeerExchange(
        catalog.keeper.mailbox,
        f"127.0.0.1:{port}",
        seeds,
        catalog.clock,
        Random(port),
        interval_s,
    )
    server = Server(
        [PeerService(catalog.keeper.mailbox, exchange)], codec=MessagePackCodec()
    )
    await server.start("127.0.0.1", port)
    return exchange, server


def new_caller(
    catalog: Any, seeds: tuple[str, ...] = (), interval_s: float = 0.05
) -> PeerExchange:
    """Return the exchange of a process that no other one can call."""
    return PeerExchange(
        catalog.keeper.mailbox, "", seeds, catalog.clock, Random(1), interval_s
    )


def test_process_without_store_access_gets_updates_from_peers(
    run_with_catalogs: Callable[..., None],
) -> None:
    """Guards against a process that accepts revoked API keys without store access."""
    ports = [free_port() for _ in range(3)]
    addresses = [f"127.0.0.1:{port}" for port in ports]

    async def test(*catalogs: Any) -> None:
        servers = []
        for catalog, port in zip(catalogs, ports, strict=True):
            exchange, server = await start_peer(catalog, port, (addresses[0],))
            servers.append(server)
            catalog.start(watches_store=catalog is not catalogs[2])
            catalog.tasks.start("peers", exchange.run())
        for version in (4, 5):
            await catalogs[0].store.put_config(ForwardingConfig(version, (), {}, ()))
            await catalogs[2].wait_until(
                lambda version=version: (
                    catalogs[2].keeper.config is not None
                    and catalogs[2].keeper.config.version == version
                )
            )
        assert catalogs[2].keeper.is_ready
        for server in servers:
            server.close()

    run_with_catalogs(test, *addresses)


def test_gateways_receive_each_others_load(
    run_with_catalogs: Callable[..., None],
) -> None:
    """Guards against gateways that overload a group, each unaware of the others."""

    async def test(catalog: Any) -> None:
        port = free_port()
        hosts = ["127.0.0.1", "127.0.0.2"]
        mailboxes: list[Mailbox[Any]] = [Mailbox(), Mailbox()]
        newer_peers: list[str] = []
        for index, host in enumerate(hosts):
            beacons = BeaconSocket(
                Address(host, 1),
                Address(host, port),
                catalog.clock,
                lambda index=index: [f"{hosts[1 - index]}:1"],
                lambda index=index: {"u1": index + 1},
                lambda index=index: {"llm": 1.0 + index},
                lambda index=index: (index, BEGINNING),
                newer_peers.append,
                tuple,
                tuple,
            )
            beacons.subscribe(mailboxes[index])
            catalog.tasks.start(host, beacons.run())
        await asyncio.sleep(0.6)
        loads: list[PeerLoads] = []
        while (load := mailboxes[0].receive_nowait()) is not None:
            loads.append(load)
        assert loads[-1] == PeerLoads({"u1": 2}, 2, {"llm": 2.0})
        assert set(newer_peers) == {"127.0.0.2:1"}

    run_with_catalogs(test)


def test_findings_that_do_not_fit_into_a_datagram_are_sent_in_part(
    run_with_catalogs: Callable[..., None],
) -> None:
    """Guards against gateways that state nothing because they have found too much."""
    parts = tuple(PromptPartId(f"part{number}") for number in range(40))
    traits = traits_of(ServiceName("llm"), None, b"", b"", b"", parts).prompt_parts
    companions = frozenset(traits[:4])
    statements = tuple(
        TraitStatement(trait, Finding.CRASHED, 60.0, companions) for trait in traits
    )

    async def test(catalog: Any) -> None:
        port = free_port()
        received: Mailbox[Any] = Mailbox()
        for host, peer, stated in (
            ("127.0.0.1", "127.0.0.2:1", statements),
            ("127.0.0.2", "127.0.0.1:1", ()),
        ):
            beacons = BeaconSocket(
                Address(host, 1),
                Address(host, port),
                catalog.clock,
                lambda peer=peer: [peer],
                dict,
                dict,
                lambda: (0, BEGINNING),
                lambda _: None,
                lambda stated=stated: stated,
                tuple,
            )
            if not stated:
                beacons.subscribe_findings(received)
            catalog.tasks.start(host, beacons.run())
        async with asyncio.timeout(3.0):
            message = await received.receive()
        assert message.peer == "127.0.0.1"
        assert message.statements == statements[: len(message.statements)]
        assert len(message.statements) >= 10

    run_with_catalogs(test)


def test_process_is_not_ready_while_the_store_fails(
    run_with_catalogs: Callable[..., None],
) -> None:
    """Guards against a process that serves without configuration or upstreams."""

    async def test(catalog: Any) -> None:
        catalog.store.failure = StoreFailure.UNREACHABLE
        catalog.start()
        await asyncio.sleep(0.3)
        assert not catalog.keeper.is_ready

    run_with_catalogs(test)


def test_update_is_requested_from_one_peer_at_a_time(
    run_with_catalogs: Callable[..., None],
) -> None:
    """Guards against twelve peers sending the same configuration over one link."""
    exchange_count = 0

    class UnresponsiveService:
        """Peer service that counts exchanges and never replies."""

        async def exchange(self, stream: Any) -> None:
            nonlocal exchange_count
            exchange_count += 1
            await asyncio.sleep(1.0)

        def __mapping__(self) -> dict[str, Handler]:
            cardinality = Cardinality.UNARY_UNARY
            handler = Handler(self.exchange, cardinality, PeerUpdate, PeerUpdate)
            return {EXCHANGE_METHOD: handler}

    async def test(catalog: Any) -> None:
        ports = [free_port() for _ in range(12)]
        servers = [
            Server([UnresponsiveService()], codec=MessagePackCodec()) for _ in ports
        ]
        for server, port in zip(servers, ports, strict=True):
            await server.start("127.0.0.1", port)
        exchange = new_caller(catalog)
        catalog.start()
        catalog.tasks.start("peers", exchange.run())
        for _ in range(3):
            for port in ports:
                exchange.request_update(f"127.0.0.1:{port}")
            await asyncio.sleep(0.1)
        assert exchange_count == 1
        for server in servers:
            server.close()

    run_with_catalogs(test, "")


def test_newer_version_is_not_requested_over_a_connection_that_has_gone_silent(
    run_with_catalogs: Callable[..., None],
) -> None:
    """Guards against a revoked key in use while a peer has announced its removal.

    The test allows the second that remains of the three for a change when the silence
    of the connection to the store was noticed after two.
    """
    port = free_port()

    async def test(ahead: Any, behind: Any) -> None:
        _, server = await start_peer(ahead, port)
        caller = new_caller(behind)
        proxy = BlackholeProxy(Address("127.0.0.1", port))
        await proxy.start()
        for catalog in (ahead, behind):
            catalog.start(watches_store=catalog is ahead)
        for version in (4, 5):
            await ahead.store.put_config(ForwardingConfig(version, (), {}, ()))
            await ahead.wait_until(
                lambda version=version: ahead.keeper.versions[0] == version
            )
            caller.request_update(str(proxy.address))
            async with asyncio.timeout(1.0):
                while behind.keeper.versions[0] != version:  # noqa: ASYNC110
                    await asyncio.sleep(0.01)
            proxy.blackhole_open()
        proxy.close_blackholed()
        server.close()

    run_with_catalogs(test, f"127.0.0.1:{port}", "")


def test_called_process_gets_the_newer_configuration_of_its_caller(
    run_with_catalogs: Callable[..., None],
) -> None:
    """Guards against gateways that use a revoked key while all rebalancers know.

    Rebalancers call the gateways and have no address at which to be asked.
    """
    port = free_port()

    async def test(ahead: Any, behind: Any) -> None:
        _, server = await start_peer(behind, port)
        caller = new_caller(ahead, (f"127.0.0.1:{port}",))
        for catalog in (ahead, behind):
            catalog.start(watches_store=catalog is ahead)
        ahead.tasks.start("peers", caller.run())
        for version in (4, 5):
            await ahead.store.put_config(ForwardingConfig(version, (), {}, ()))
            async with asyncio.timeout(1.0):
                while behind.keeper.versions[0] != version:  # noqa: ASYNC110
                    await asyncio.sleep(0.01)
        server.close()

    run_with_catalogs(test, "", f"127.0.0.1:{port}")


def test_deeply_nested_message_of_a_peer_is_malformed() -> None:
    """Guards against an exchange that ends with an error that nothing handles."""
    update = msgspec.msgpack.encode(PeerUpdate("", 1, BEGINNING))
    fields = msgspec.msgpack.decode(update)
    nested = b"\x91" * 20_000 + b"\x90"
    data = bytes([0x80 + len(fields) + 1]) + update[1:]
    data += msgspec.msgpack.encode("extra") + nested
    with pytest.raises(msgspec.DecodeError):
        MessagePackCodec().decode(data, PeerUpdate)


@pytest.mark.parametrize("newest", range(3))
def test_process_that_starts_does_not_stay_with_the_first_peer_that_answers(
    run_with_catalogs: Callable[..., None], newest: int
) -> None:
    """Guards against a revoked key in use after a start without access to the store."""
    ports = [free_port() for _ in range(3)]
    seeds = tuple(f"127.0.0.1:{port}" for port in ports)

    async def test(*catalogs: Any) -> None:
        starting = catalogs[-1]
        servers = []
        versions = [5 if index == newest else 4 for index in range(3)]
        for version, port, catalog in zip(versions, ports, catalogs, strict=False):
            _, server = await start_peer(catalog, port)
            servers.append(server)
            catalog.start(watches_store=False)
            await catalog.store.put_config(ForwardingConfig(version, (), {}, ()))
            stored = (await catalog.store.read_config()).newest
            catalog.keeper.mailbox.post(ConfigReceived(stored, "store"))
            # Lets the starting process decode this version.
            await starting.store.put_config(ForwardingConfig(version, (), {}, ()))
        starting.start(watches_store=False)
        starting.tasks.start("peers", new_caller(starting, seeds, 1.0).run())
        async with asyncio.timeout(0.5):
            while starting.keeper.versions[0] != 5:  # noqa: ASYNC110
                await asyncio.sleep(0.01)
        for server in servers:
            server.close()

    run_with_catalogs(test, *seeds, "", shared=False)
