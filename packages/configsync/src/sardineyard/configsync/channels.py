"""gRPC channels to peers, one for each address in use."""

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

CALL_FAILURES = (OSError, TimeoutError, GRPCError, ProtocolError, StreamTerminatedError)

# Longer than a process needs under load, shorter than the start window.
_EXCHANGE_TIMEOUT_S = 1.0
# A document of one megabyte needs longer than an exchange.
_FETCH_TIMEOUT_S = 5.0


class PeerChannels:
    """Keep channels open and close those that are no longer used."""

    def __init__(self, dialer: Dialer, meter: ControlMeter) -> None:
        self._dialer = dialer
        self._meter = meter
        self._channels: dict[Address, Channel] = {}

    async def exchange(self, address: Address, state: pb.PeerState) -> pb.PeerState:
        """Send the own state to a peer and return the peer's state."""
        async with asyncio.timeout(_EXCHANGE_TIMEOUT_S):
            self._count(Direction.SENT, state.ByteSize())
            answer = await PeerStub(self._channel(address)).Exchange(state)
            self._count(Direction.RECEIVED, answer.ByteSize())
            return answer

    async def fetch_document(self, address: Address) -> bytes:
        """Return the bytes of the document that is in force at a peer."""
        async with asyncio.timeout(_FETCH_TIMEOUT_S):
            stub = PeerStub(self._channel(address))
            reply = await stub.FetchDocument(pb.FetchDocumentRequest())
            self._count(Direction.RECEIVED, reply.ByteSize())
            return reply.document

    def drop(self, addresses: Iterable[Address]) -> None:
        """Close the channels to some addresses."""
        for address in addresses:
            channel = self._channels.pop(address, None)
            if channel is not None:
                channel.close()

    def close(self) -> None:
        """Close every channel."""
        self.drop(list(self._channels))

    def _count(self, direction: Direction, size: int) -> None:
        self._meter.control_message(ControlChannel.PEER, direction, size)

    def _channel(self, address: Address) -> Channel:
        channel = self._channels.get(address)
        if channel is None:
            channel = self._dialer.open(address)
            self._channels[address] = channel
        return channel
