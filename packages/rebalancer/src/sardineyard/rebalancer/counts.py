"""Datagrams by which ranks send counts to the coordinator and warn the gateways.

A reading of all ranks by calls takes a dozen packets a rank; a datagram takes one, and
a lost one is a sample less.
"""

from __future__ import annotations

import asyncio
import logging
from math import ceil
from typing import TYPE_CHECKING, cast

import msgspec

from sardineyard.core.address import parse_address
from sardineyard.core.ids import RankIndex

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from sardineyard.catalog.beacons import UpstreamSlow
    from sardineyard.core.address import Address
    from sardineyard.core.mailbox import Mailbox

_logger = logging.getLogger(__name__)

# Pause between two datagrams of a rank. Popularity shifts every few seconds, and each
# tenth of a second until the shift is seen makes streams late.
_LEAST_PAUSE_S = 0.1
# Bytes of counts that a coordinator receives in a second: a third of the slowest link
# of 4 Mbit/s, which also carries the orders and the rest of the VM.
_BYTES_PER_S = 160_000
# Bytes of a datagram beside one for each count: names of the fields and headers.
_BYTES_BESIDE_COUNTS = 96
# Ranks whose counts show a shift: those of six differ by up to 0.08 from the popularity
# that they are drawn from, a shift moves 0.14 and more (measured, 72 ranks).
_LEAST_SAMPLE = 6
_LARGEST_BYTE = 255
# A datagram over IPv4 holds at most 65,507 bytes; 1,728 counts take about 1.8 KB.
_MAX_BYTES = 60_000


class CountsPlan(msgspec.Struct, frozen=True):
    """Say how many ranks of a group send counts to its coordinator, and how often."""

    ranks: int
    pause_s: float


def plan_counts(ranks: int, counts_per_rank: int) -> CountsPlan:
    """Return which part of a group sends counts; all ranks choose experts alike."""
    bytes_per_rank = counts_per_rank + _BYTES_BESIDE_COUNTS
    affordable = int(_BYTES_PER_S * _LEAST_PAUSE_S / bytes_per_rank)
    sampled = min(ranks, max(_LEAST_SAMPLE, affordable))
    pause_s = sampled * bytes_per_rank / _BYTES_PER_S
    return CountsPlan(sampled, max(_LEAST_PAUSE_S, pause_s))


class CountsPushed(msgspec.Struct, frozen=True):
    """Carry what one rank counted since its last datagram to the coordinator."""

    rank: RankIndex
    epoch: int
    # Choices for each unit of a count.
    unit: int
    # One byte for each expert, set by set.
    counts: bytes

    @classmethod
    def of(cls, rank: RankIndex, epoch: int, choices: Sequence[float]) -> CountsPushed:
        """Return the message for the choices of a rank."""
        unit = max(1, ceil(max(choices) / _LARGEST_BYTE))
        return cls(rank, epoch, unit, bytes(round(count / unit) for count in choices))

    @property
    def choices(self) -> list[int]:
        """Return how often each expert was chosen, set by set."""
        return [count * self.unit for count in self.counts]


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
