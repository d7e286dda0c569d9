"""gRPC channels to peers, one per address in use."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError

from sardineyard.core.control import ControlChannel, Direction
from sardineyard.wire import peer_pb2 as pb
from sardineyard.wire.peer_grpc import PeerStub

if TYPE_CHECKING:
    from collections.abc import Iterable

    from grpclib.client import Channel

    from sardineyard.core.address import Address
    from sardineyard.core.control import ControlMeter
    from sardineyard.wire.dialer import Dialer

CALL_ERRORS = (OSError, TimeoutError, GRPCError, ProtocolError, StreamTerminatedError)

# Above the response time of a loaded process, below the startup window.
_EXCHANGE_TIMEOUT_S = 1.0
# A document of 1 MB takes longer to transfer than the state of an exchange.
_FETCH_TIMEOUT_S = 5.0


class PeerChannels:
    """Pool of gRPC channels that are opened on first use and closed on request."""

    def __init__(self, dialer: Dialer, meter: ControlMeter) -> None:
        self._dialer = dialer
        self._meter = meter
        self._channels: dict[Address, Channel] = {}

    async def exchange(self, address: Address, state: pb.PeerState) -> pb.PeerState:
        """Send the local state to a peer and return the peer's state."""
        async with asyncio.timeout(_EXCHANGE_TIMEOUT_S):
            self._count(Direction.SENT, state.ByteSize())
            reply = await PeerStub(self._channel(address)).Exchange(state)
            self._count(Direction.RECEIVED, reply.ByteSize())
            return reply

    async def fetch_document(self, address: Address) -> bytes:
        """Fetch the bytes of the document that is in force at a peer."""
        async with asyncio.timeout(_FETCH_TIMEOUT_S):
            stub = PeerStub(self._channel(address))
            reply = await stub.FetchDocument(pb.FetchDocumentRequest())
            self._count(Direction.RECEIVED, reply.ByteSize())
            return reply.document

    def drop(self, addresses: Iterable[Address]) -> None:
        """Close the channels to the given addresses."""
        for address in addresses:
            channel = self._channels.pop(address, None)
            if channel is not None:
                channel.close()

    def close(self) -> None:
        """Close every channel."""
        self.drop(list(self._channels))

    def _count(self, direction: Direction, size: int) -> None:
        self._meter.count_control_message(ControlChannel.PEER, direction, size)

    def _channel(self, address: Address) -> Channel:
        channel = self._channels.get(address)
        if channel is None:
            channel = self._dialer.open(address)
            self._channels[address] = channel
        return channel
