"""Identity check of another process over a dedicated connection."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from grpclib.exceptions import GRPCError, StreamTerminatedError

from sardineyard.wire import peer_pb2 as pb
from sardineyard.wire.peer_grpc import PeerStub

if TYPE_CHECKING:
    from sardineyard.core.address import Address
    from sardineyard.wire.dialer import Dialer

_IDENTIFY_TIMEOUT_S = 0.5


async def identify(address: Address, dialer: Dialer) -> pb.IdentifyReply | None:
    """Identify the process at an address over a new connection, or return None."""
    channel = dialer.open(address)
    try:
        async with asyncio.timeout(_IDENTIFY_TIMEOUT_S):
            return await PeerStub(channel).Identify(pb.IdentifyRequest())
    except (OSError, TimeoutError, GRPCError, StreamTerminatedError):
        return None
    finally:
        channel.close()
