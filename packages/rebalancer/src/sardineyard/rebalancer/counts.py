"""Datagrams that carry expert counts to the coordinator and warnings to gateways.

An expert count says how often a rank chose an expert of a layer set for its tokens.
Reading the counts by RPC takes about a dozen packets for each rank, a datagram takes
one. A lost datagram only makes the sample smaller.
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

# Shortest interval between two datagrams of one rank. The popularity of experts shifts
# every few seconds, and streams run late until the shift is detected.
_MIN_INTERVAL_S = 0.1
# Limit on the counts that a coordinator receives: a third of the slowest link, which
# has 4 Mbit/s and also carries the orders and all other traffic of the VM.
_MAX_RECEIVED_BYTES_PER_S = 160_000
# Size of a datagram without its counts: field names and packet headers.
_DATAGRAM_OVERHEAD_BYTES = 96
# Fewest ranks whose counts reveal a shift of popularity. With 72 ranks, a share of up
# to 0.08 of the choices counted by six ranks deviates from the popularity by chance; a
# shift moves a share of 0.14 or more.
_MIN_SAMPLED_RANKS = 6
_MAX_BYTE_VALUE = 255
# Below the 65,507 bytes of an IPv4 datagram; 1,728 counts take about 1.8 KB.
_MAX_DATAGRAM_BYTES = 60_000


class CountsPlan(msgspec.Struct, frozen=True):
    """Number of ranks that send counts to the coordinator, and their interval."""

    ranks: int
    pause_s: float


def plan_counts(ranks: int, counts_per_rank: int) -> CountsPlan:
    """Return how many ranks send counts and how often.

    A sample of the ranks is enough, as the popularity of experts is the same on all.
    """
    bytes_per_rank = counts_per_rank + _DATAGRAM_OVERHEAD_BYTES
    ranks_in_budget = int(_MAX_RECEIVED_BYTES_PER_S * _MIN_INTERVAL_S / bytes_per_rank)
    sampled_ranks = min(ranks, max(_MIN_SAMPLED_RANKS, ranks_in_budget))
    interval_s = sampled_ranks * bytes_per_rank / _MAX_RECEIVED_BYTES_PER_S
    return CountsPlan(sampled_ranks, max(_MIN_INTERVAL_S, interval_s))


class CountsPushed(msgspec.Struct, frozen=True):
    """Datagram with the expert counts of one rank since its previous datagram."""

    rank: RankIndex
    epoch: int
    # Expert choices that one unit of a count stands for.
    unit: int
    # One byte for each expert, layer set after layer set.
    counts: bytes

    @classmethod
    def of(cls, rank: RankIndex, epoch: int, choices: Sequence[float]) -> CountsPushed:
        """Return the datagram for how often a rank chose each expert."""
        unit = max(1, ceil(max(choices) / _MAX_BYTE_VALUE))
        return cls(rank, epoch, unit, bytes(round(count / unit) for count in choices))

    @property
    def choices(self) -> list[int]:
        """Return how often each expert was chosen, layer set after layer set."""
        return [count * self.unit for count in self.counts]


class CountsSocket(asyncio.DatagramProtocol):
    """UDP socket of a rebalancer: receives counts, sends counts and warnings."""

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
        """Open the socket and start to receive."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self, local_addr=(self._address.host, self._address.port)
        )

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()

    def send(self, message: CountsPushed, host: str) -> None:
        """Send counts to the rebalancer on the given host."""
        data = msgspec.msgpack.encode(message)
        if len(data) > _MAX_DATAGRAM_BYTES:
            _logger.warning(
                "expert counts not sent: they exceed the maximum size of a datagram",
                extra={"event": "counts_too_large", "bytes": len(data)},
            )
        elif self._transport is not None:
            self._transport.sendto(data, (host, self._address.port))

    def notify_gateways(self, message: UpstreamSlow) -> None:
        """Notify all known gateways that the runner is slow."""
        if self._transport is None:
            return
        data = msgspec.msgpack.encode(message)
        for gateway in self._gateways():
            host = parse_address(gateway).host
            self._transport.sendto(data, (host, self._address.port))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport (called by asyncio)."""
        self._transport = cast("asyncio.DatagramTransport", transport)

    def datagram_received(self, data: bytes, address: object) -> None:
        """Pass counts to the coordinator task (called by asyncio)."""
        try:
            message = msgspec.msgpack.decode(data, type=CountsPushed)
        except msgspec.DecodeError as error:
            _logger.warning(
                "discarded a datagram that could not be decoded as expert counts",
                extra={"event": "counts_malformed", "reason": str(error)},
            )
            return
        self._receiver.offer(message)
