"""UDP datagrams with the load of the gateways and what they know of upstreams.

The next datagram makes up for a lost one. Datagrams need no connection, so no stalled
connection can hold back an update.
"""

from __future__ import annotations

import asyncio
import logging
from functools import singledispatchmethod
from statistics import median
from typing import TYPE_CHECKING, TypeVar, cast

import msgspec

from sardineyard.catalog.messages import PeerLimits, PeerLoads, PeerStatements
from sardineyard.core.address import parse_address
from sardineyard.core.clock import Deadline, deadline_after
from sardineyard.forwarding.quarantine import PeerHost
from sardineyard.forwarding.rate_limits import LimitStatement
from sardineyard.forwarding.store import StorePosition
from sardineyard.forwarding.traits import TraitStatement

if TYPE_CHECKING:
    from collections.abc import Callable

    from sardineyard.core.address import Address
    from sardineyard.core.clock import Clock
    from sardineyard.core.mailbox import Mailbox

_logger = logging.getLogger(__name__)

Statement = TypeVar("Statement")

# Interval between two beacons, in seconds. Gateways that do not know each other's
# newest requests choose the same upstream, where one of them waits for a slot.
_BEACON_INTERVAL_S = 0.1
# Interval in seconds at which unchanged findings are sent again, for lost datagrams and
# for processes that have just started.
_REPEAT_INTERVAL_S = 0.5
# Age in seconds at which a beacon is dropped: its sender has stopped or is cut off.
_MAX_BEACON_AGE_S = 1.0
# Maximum size of a beacon in bytes; a gateway has requests at a few dozen upstreams.
_MAX_DATAGRAM_BYTES = 8_192


class Beacon(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Datagram with the load of one gateway and the catalog versions that it has."""

    # Address of the gateway for exchanges with peers.
    address: str
    # Sequence number of the beacon, from 1 at the start of the gateway.
    number: int
    # Start time on the clock of the gateway; differs after a restart.
    started: float
    config_version: int
    upstream_position: StorePosition
    # Number of requests in flight, by upstream.
    in_flight: dict[str, int]
    # Ratio of the measured to the published duration of a decode pass, by service;
    # services without a measurement are left out.
    pass_factors: dict[str, float] = {}


class UpstreamSlow(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Datagram that warns gateways of a slow upstream."""

    host: str
    port: int
    # Compute time of the upstream relative to its baseline; 1.0 at normal speed.
    slowdown: float


class TraitFindings(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Datagram with what a gateway found out about the traits of requests."""

    statements: tuple[TraitStatement, ...]


class UpstreamLimits(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Datagram with the rate limits of upstreams and the requests sent to these."""

    statements: tuple[LimitStatement, ...]


class BeaconSocket(asyncio.DatagramProtocol):
    """Owner of the socket on which a gateway sends and receives beacons."""

    def __init__(
        self,
        local_address: Address,
        beacon_address: Address,
        clock: Clock,
        peers: Callable[[], list[str]],
        in_flight: Callable[[], dict[str, int]],
        pass_factors: Callable[[], dict[str, float]],
        versions: Callable[[], tuple[int, StorePosition]],
        on_newer_version: Callable[[str], None],
        trait_statements: Callable[[], tuple[TraitStatement, ...]],
        limit_statements: Callable[[], tuple[LimitStatement, ...]],
    ) -> None:
        self._local_address = local_address
        self._beacon_address = beacon_address
        self._clock = clock
        self._peers = peers
        self._in_flight = in_flight
        self._pass_factors = pass_factors
        self._versions = versions
        self._on_newer_version = on_newer_version
        self._trait_statements = trait_statements
        self._limit_statements = limit_statements
        self._sent_findings: set[tuple[object, ...]] = set()
        self._repeat_findings_at = Deadline(0.0)
        self._transport: asyncio.DatagramTransport | None = None
        self._received: dict[str, tuple[float, Beacon]] = {}
        self._subscribers: list[Mailbox[object]] = []
        self._findings_subscribers: list[Mailbox[object]] = []

    def subscribe(self, mailbox: Mailbox[object]) -> None:
        """Add a mailbox that gets the load of the other gateways and slow upstreams."""
        self._subscribers.append(mailbox)

    def subscribe_findings(self, mailbox: Mailbox[object]) -> None:
        """Add a mailbox that gets what other gateways found out about traits."""
        self._findings_subscribers.append(mailbox)

    async def run(self) -> None:
        """Send beacons and publish the load of the other gateways until cancelled."""
        loop = asyncio.get_running_loop()
        address = (self._beacon_address.host, self._beacon_address.port)
        await loop.create_datagram_endpoint(lambda: self, local_addr=address)
        started = self._clock.now()
        number = 0
        try:
            while True:
                number += 1
                self._send(number, started)
                self._send_findings()
                self._send_limits()
                self._publish()
                await asyncio.sleep(_BEACON_INTERVAL_S)
        finally:
            if self._transport is not None:
                self._transport.close()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport for sending (called by asyncio)."""
        self._transport = cast("asyncio.DatagramTransport", transport)

    def datagram_received(self, data: bytes, address: tuple[str, int]) -> None:
        """Handle one datagram (called by asyncio)."""
        try:
            message = msgspec.msgpack.decode(
                data, type=Beacon | UpstreamSlow | TraitFindings | UpstreamLimits
            )
        except (msgspec.DecodeError, RecursionError) as error:
            _logger.warning(
                "ignored a malformed datagram",
                extra={"event": "beacon_malformed", "reason": str(error)},
            )
            return
        self._handle(message, address[0])

    def error_received(self, error: Exception) -> None:
        """Ignore send errors of peers that do not listen (called by asyncio)."""
        _logger.debug(
            "beacon could not be delivered", extra={"event": "beacon_undelivered"}
        )

    @singledispatchmethod
    def _handle(self, message: object, host: str) -> None:
        raise TypeError(f"unexpected datagram {type(message).__name__}")

    @_handle.register(UpstreamSlow)
    def _handle_slow_upstream(self, message: UpstreamSlow, host: str) -> None:
        for subscriber in self._subscribers:
            subscriber.offer(message)

    @_handle.register(TraitFindings)
    def _handle_findings(self, message: TraitFindings, host: str) -> None:
        # The host is the one that the network reports, so that a process cannot state
        # findings in the name of others.
        for subscriber in self._findings_subscribers:
            subscriber.offer(PeerStatements(PeerHost(host), message.statements))

    @_handle.register(UpstreamLimits)
    def _handle_limits(self, message: UpstreamLimits, host: str) -> None:
        for subscriber in self._subscribers:
            subscriber.offer(PeerLimits(PeerHost(host), message.statements))

    @_handle.register(Beacon)
    def _handle_beacon(self, beacon: Beacon, host: str) -> None:
        known = self._received.get(beacon.address)
        if known is not None:
            previous = known[1]
            is_same_process = previous.started == beacon.started
            if is_same_process and previous.number >= beacon.number:
                return
        self._received[beacon.address] = (self._clock.now(), beacon)
        version, position = self._versions()
        if beacon.config_version > version or beacon.upstream_position > position:
            self._on_newer_version(beacon.address)

    def _send(self, number: int, started: float) -> None:
        if self._transport is None:
            return
        version, position = self._versions()
        data = msgspec.msgpack.encode(
            Beacon(
                str(self._local_address),
                number,
                started,
                version,
                position,
                self._in_flight(),
                self._pass_factors(),
            )
        )
        self._send_to_peers(data)

    def _send_findings(self) -> None:
        statements = self._trait_statements()
        findings: set[tuple[object, ...]] = {
            (
                statement.trait,
                statement.finding,
                *(crash.upstream for crash in statement.crashes),
            )
            for statement in statements
        }
        is_due = self._clock.now() >= self._repeat_findings_at
        if not statements or (findings == self._sent_findings and not is_due):
            return
        self._sent_findings = findings
        self._repeat_findings_at = deadline_after(self._clock, _REPEAT_INTERVAL_S)
        self._send_statements(TraitFindings, statements)

    def _send_limits(self) -> None:
        # Sent with each beacon: the limits bound the requests of all gateways together.
        if statements := self._limit_statements():
            self._send_statements(UpstreamLimits, statements)

    def _send_statements(
        self,
        datagram: Callable[[tuple[Statement, ...]], object],
        statements: tuple[Statement, ...],
    ) -> None:
        """Send as many statements as fit; the most important ones come first."""
        data = msgspec.msgpack.encode(datagram(statements))
        while len(data) > _MAX_DATAGRAM_BYTES:
            statements = statements[: len(statements) // 2]
            data = msgspec.msgpack.encode(datagram(statements))
        self._send_to_peers(data)

    def _send_to_peers(self, data: bytes) -> None:
        if len(data) > _MAX_DATAGRAM_BYTES:
            _logger.warning(
                "beacon not sent: larger than the maximum datagram size",
                extra={"event": "beacon_too_large", "bytes": len(data)},
            )
            return
        if self._transport is None:
            return
        for peer in self._peers():
            host = parse_address(peer).host
            self._transport.sendto(data, (host, self._beacon_address.port))

    def _publish(self) -> None:
        oldest = self._clock.now() - _MAX_BEACON_AGE_S
        totals: dict[str, int] = {}
        factors: dict[str, list[float]] = {}
        processes = 1
        for address, (received_at, beacon) in list(self._received.items()):
            if received_at < oldest:
                del self._received[address]
                continue
            processes += 1
            for upstream, count in beacon.in_flight.items():
                totals[upstream] = totals.get(upstream, 0) + count
            for service, factor in beacon.pass_factors.items():
                factors.setdefault(service, []).append(factor)
        medians = {service: median(values) for service, values in factors.items()}
        for subscriber in self._subscribers:
            subscriber.offer(PeerLoads(totals, processes, medians))
