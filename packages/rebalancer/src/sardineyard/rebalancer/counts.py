"""Datagrams by which ranks send counts to the coordinator and warn the gateways.

A reading of all ranks by calls takes a dozen packets a rank; a datagram takes one, and
a lost one is made up for by the next, as counts only grow.
"""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING, cast

import msgspec

from sardineyard.core.address import parse_address
from sardineyard.experts.group import RankCounts

if TYPE_CHECKING:
    from collections.abc import Callable

    from sardineyard.catalog.beacons import UpstreamSlow
    from sardineyard.core.address import Address
    from sardineyard.core.mailbox import Mailbox

_logger = logging.getLogger(__name__)

# Pause between two datagrams of a rank. Popularity shifts every few seconds, and each
# tenth of a second until the shift is seen makes streams late.
_LEAST_PAUSE_S = 0.1
# Bytes of counts that a coordinator receives in a second: an eighth of a link of
# 10 Mbit/s, which also carries the orders and the rest of the VM.
_BYTES_PER_S = 160_000
# Bytes of one count in a datagram.
_BYTES_PER_COUNT = 3.5
# A datagram over IPv4 holds at most 65,507 bytes; 1,728 counts take about 5 KB.
_MAX_BYTES = 60_000


def counts_pause_s(ranks: int, counts_per_rank: int) -> float:
    """Return the seconds between two datagrams of each rank of a group."""
    bytes_per_round = ranks * counts_per_rank * _BYTES_PER_COUNT
    return max(_LEAST_PAUSE_S, bytes_per_round / _BYTES_PER_S)


class CountsPushed(msgspec.Struct, frozen=True):
    """Carry the counts of one rank to the coordinator with a number."""

    fence: int
    rank: int
    started_ms: int
    counts: RankCounts


class CountsSocket(asyncio.DatagramProtocol):
    """Own the datagram socket of a rebalancer."""

    def __init__(
        self,
        address: Address,
        receiver: Mailbox[object],
        gateways: Callable[[], list[str]],
    ) -> None:
        self._address = address
        self._receiver = receiver
        self._gateways = gateways
        self._transport: asyncio.DatagramTransport | None = None

    async def start(self) -> None:
        """Start to listen."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self, local_addr=(self._address.host, self._address.port)
        )

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()

    def send(self, message: CountsPushed, host: str) -> None:
        """Send counts to the rebalancer on a host."""
        data = msgspec.msgpack.encode(message)
        if len(data) > _MAX_BYTES:
            _logger.warning(
                "the counts do not fit into a datagram",
                extra={"event": "counts_too_large", "bytes": len(data)},
            )
        elif self._transport is not None:
            self._transport.sendto(data, (host, self._address.port))

    def tell_gateways(self, message: UpstreamSlow) -> None:
        """Tell all known gateways that the runner is slow."""
        if self._transport is None:
            return
        data = msgspec.msgpack.encode(message)
        for gateway in self._gateways():
            host = parse_address(gateway).host
            self._transport.sendto(data, (host, self._address.port))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take over the transport (called by asyncio)."""
        self._transport = cast("asyncio.DatagramTransport", transport)

    def datagram_received(self, data: bytes, address: object) -> None:
        """Pass counts on (called by asyncio)."""
        try:
            message = msgspec.msgpack.decode(data, type=CountsPushed)
        except msgspec.DecodeError as error:
            _logger.warning(
                "a datagram holds no counts",
                extra={"event": "counts_malformed", "reason": str(error)},
            )
            return
        self._receiver.offer(message)
