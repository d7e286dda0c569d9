"""Task that has peers confirm the address of this agent."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from grpclib.client import Channel
from grpclib.exceptions import GRPCError, StreamTerminatedError

from sardineyard.agent.key_messages import LeaseAnswered
from sardineyard.core.address import parse_address
from sardineyard.core.clock import deadline_after
from sardineyard.core.ids import Incarnation
from sardineyard.core.mailbox import Mailbox
from sardineyard.idempotency.lease import ADDRESS_LEASE_S, begin_renewal
from sardineyard.wire import peer_pb2 as pb
from sardineyard.wire.peer_grpc import PeerStub

if TYPE_CHECKING:
    from collections.abc import Iterable
    from random import Random

    from sardineyard.configsync.messages import DocumentAdopted
    from sardineyard.core.address import Address
    from sardineyard.core.clock import Clock, Deadline

# Two renewals may fail before the lease ends.
_INTERVAL_S = ADDRESS_LEASE_S / 3
# A peer that did not answer is left out for this time, unless no other is known.
_LEFT_OUT_S = 5.0


class LeaseTask:
    """Ask a random peer again and again who answers at this agent's address."""

    def __init__(
        self,
        advertised: Address,
        seeds: Iterable[Address],
        key_owner: Mailbox[Any],
        clock: Clock,
        random: Random,
    ) -> None:
        self.mailbox: Mailbox[DocumentAdopted] = Mailbox()
        self._advertised = advertised
        self._seeds = frozenset(seeds)
        self._peers = self._seeds - {advertised}
        self._key_owner = key_owner
        self._clock = clock
        self._random = random
        self._left_out: dict[Address, Deadline] = {}

    async def run(self) -> None:
        """Renew the lease for ever."""
        while True:
            self._take_document()
            next_at = deadline_after(self._clock, _INTERVAL_S)
            while not await self._renew() and self._clock.now() < next_at:
                pass
            await asyncio.sleep(max(0.0, next_at - self._clock.now()))

    def _take_document(self) -> None:
        while (adopted := self.mailbox.take()) is not None:
            agents = {
                parse_address(upstream.agent_address)
                for upstream in adopted.document.upstreams
            }
            self._peers = (self._seeds | agents) - {self._advertised}

    async def _renew(self) -> bool:
        """Ask one peer and return whether asking another one now is of no use."""
        now = self._clock.now()
        trusted = [peer for peer in self._peers if self._left_out.get(peer, 0.0) <= now]
        peers = sorted(trusted or self._peers)
        if not peers:
            return True
        peer = self._random.choice(peers)
        renewal = begin_renewal(self._clock)
        reply = await _dial_back(peer, self._advertised)
        if reply is None or not reply.reached:
            self._left_out[peer] = deadline_after(self._clock, _LEFT_OUT_S)
            return not trusted
        self._left_out.pop(peer, None)
        self._key_owner.post(LeaseAnswered(renewal, Incarnation(reply.incarnation)))
        return True


async def _dial_back(peer: Address, advertised: Address) -> pb.DialBackReply | None:
    channel = Channel(peer.host, peer.port)
    try:
        async with asyncio.timeout(_INTERVAL_S):
            request = pb.DialBackRequest(address=str(advertised))
            return await PeerStub(channel).DialBack(request)
    except (OSError, TimeoutError, GRPCError, StreamTerminatedError):
        return None
    finally:
        channel.close()
