"""Datagrams by which gateways hear each other's load and which upstreams are slow.

A datagram that is lost is made up for by the next one, so no connection is needed, and
one that went silent cannot hide the news.
"""

from __future__ import annotations

import asyncio
import logging
from statistics import median
from typing import TYPE_CHECKING, cast

import msgspec

from sardineyard.catalog.messages import PeerLoads
from sardineyard.core.address import parse_address

if TYPE_CHECKING:
    from collections.abc import Callable

    from sardineyard.core.address import Address
    from sardineyard.core.clock import Clock
    from sardineyard.core.mailbox import Mailbox

_logger = logging.getLogger(__name__)

# Pause between two beacons. Gateways that do not see each other's newest requests
# choose the same rank, where one of them then waits for a slot.
_BEACON_S = 0.1
# Load that is older than this is not counted: its sender is gone or cut off.
_STALE_S = 1.0
# Largest datagram that is sent; a gateway has requests at a few dozen upstreams.
_MAX_BYTES = 8_192


class Beacon(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Carry the load of one gateway and the newest versions that it knows."""

    address: str
    number: int
    started: float
    config_version: int
    upstream_revision: int
    in_flight: dict[str, int]
    # Factors of measured over published passes, by service, as far as measured.
    pass_factors: dict[str, float] = {}


class UpstreamSlow(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Tell gateways that the upstream at an address is slow."""

    host: str
    port: int
    # Time of its own work over the usual time.
    slowdown: float


class Beacons(asyncio.DatagramProtocol):
    """Own the datagram socket of a gateway."""

    def __init__(
        self,
        own_address: Address,
        beacon_address: Address,
        clock: Clock,
        peers: Callable[[], list[str]],
        in_flight: Callable[[], dict[str, int]],
        pass_factors: Callable[[], dict[str, float]],
        versions: Callable[[], tuple[int, int]],
        is_behind: Callable[[str], None],
    ) -> None:
        self._own_address = own_address
        self._beacon_address = beacon_address
        self._clock = clock
        self._peers = peers
        self._in_flight = in_flight
        self._pass_factors = pass_factors
        self._versions = versions
        self._is_behind = is_behind
        self._transport: asyncio.DatagramTransport | None = None
        self._heard: dict[str, tuple[float, Beacon]] = {}
        self._subscribers: list[Mailbox[object]] = []

    def subscribe(self, mailbox: Mailbox[object]) -> None:
        """Send the load of the other gateways and slow upstreams to a mailbox."""
        self._subscribers.append(mailbox)

    async def run(self) -> None:
        """Send beacons until cancelled."""
        loop = asyncio.get_running_loop()
        address = (self._beacon_address.host, self._beacon_address.port)
        await loop.create_datagram_endpoint(lambda: self, local_addr=address)
        started = self._clock.now()
        number = 0
        try:
            while True:
                number += 1
                self._send(number, started)
                self._publish()
                await asyncio.sleep(_BEACON_S)
        finally:
            if self._transport is not None:
                self._transport.close()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take over the transport (called by asyncio)."""
        self._transport = cast("asyncio.DatagramTransport", transport)

    def datagram_received(self, data: bytes, address: object) -> None:
        """Take in a beacon (called by asyncio)."""
        try:
            message = msgspec.msgpack.decode(data, type=Beacon | UpstreamSlow)
        except msgspec.DecodeError as error:
            _logger.warning(
                "a datagram is no beacon",
                extra={"event": "beacon_malformed", "reason": str(error)},
            )
            return
        if isinstance(message, UpstreamSlow):
            for subscriber in self._subscribers:
                subscriber.offer(message)
        else:
            self._take(message)

    def error_received(self, error: Exception) -> None:
        """Ignore that a peer does not listen (called by asyncio)."""
        _logger.debug("beacon not delivered", extra={"event": "beacon_undelivered"})

    def _take(self, beacon: Beacon) -> None:
        known = self._heard.get(beacon.address)
        if known is not None:
            before = known[1]
            is_same_process = before.started == beacon.started
            if is_same_process and before.number >= beacon.number:
                return
        self._heard[beacon.address] = (self._clock.now(), beacon)
        version, revision = self._versions()
        if beacon.config_version > version or beacon.upstream_revision > revision:
            self._is_behind(beacon.address)

    def _send(self, number: int, started: float) -> None:
        if self._transport is None:
            return
        version, revision = self._versions()
        data = msgspec.msgpack.encode(
            Beacon(
                str(self._own_address),
                number,
                started,
                version,
                revision,
                self._in_flight(),
                self._pass_factors(),
            )
        )
        if len(data) > _MAX_BYTES:
            _logger.warning(
                "the load does not fit into a datagram",
                extra={"event": "beacon_too_large", "bytes": len(data)},
            )
            return
        for peer in self._peers():
            host = parse_address(peer).host
            self._transport.sendto(data, (host, self._beacon_address.port))

    def _publish(self) -> None:
        oldest = self._clock.now() - _STALE_S
        totals: dict[str, int] = {}
        factors: dict[str, list[float]] = {}
        processes = 1
        for address, (heard_at, beacon) in list(self._heard.items()):
            if heard_at < oldest:
                del self._heard[address]
                continue
            processes += 1
            for upstream, count in beacon.in_flight.items():
                totals[upstream] = totals.get(upstream, 0) + count
            for service, factor in beacon.pass_factors.items():
                factors.setdefault(service, []).append(factor)
        medians = {service: median(values) for service, values in factors.items()}
        for subscriber in self._subscribers:
            subscriber.offer(PeerLoads(totals, processes, medians))
