"""Task that renews the lease of this agent's address.

The lease lasts while peers confirm that they reach this incarnation at the address.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from grpclib.exceptions import GRPCError, StreamTerminatedError

from sardineyard.agent.key_messages import DialBackCompleted
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
    from sardineyard.wire.dialer import Dialer

# Two successive renewals may fail before the lease expires.
_RENEWAL_INTERVAL_S = ADDRESS_LEASE_S / 3
# Peers that failed to confirm are skipped for this long, unless no others are known.
_PEER_EXCLUSION_S = 5.0


class LeaseTask:
    """Have peers dial this agent's address and report which incarnation responds."""

    def __init__(
        self,
        advertised: Address,
        seeds: Iterable[Address],
        key_owner: Mailbox[Any],
        clock: Clock,
        random: Random,
        dialer: Dialer,
    ) -> None:
        self._dialer = dialer
        self.mailbox: Mailbox[DocumentAdopted] = Mailbox()
        self._advertised = advertised
        self._seeds = frozenset(seeds)
        self._peers = self._seeds - {advertised}
        self._key_owner = key_owner
        self._clock = clock
        self._random = random
        self._excluded_until: dict[Address, Deadline] = {}

    async def run(self) -> None:
        """Renew the lease periodically until cancelled."""
        while True:
            self._apply_documents()
            next_at = deadline_after(self._clock, _RENEWAL_INTERVAL_S)
            while not await self._renew() and self._clock.now() < next_at:
                pass
            await asyncio.sleep(max(0.0, next_at - self._clock.now()))

    def _apply_documents(self) -> None:
        while (adopted := self.mailbox.receive_nowait()) is not None:
            agents = {
                parse_address(upstream.agent_address)
                for upstream in adopted.document.upstreams
            }
            self._peers = (self._seeds | agents) - {self._advertised}

    async def _renew(self) -> bool:
        """Query one peer; return False if another peer should be tried immediately."""
        now = self._clock.now()
        responsive = [
            peer for peer in self._peers if self._excluded_until.get(peer, 0.0) <= now
        ]
        peers = sorted(responsive or self._peers)
        if not peers:
            return True
        peer = self._random.choice(peers)
        renewal = begin_renewal(self._clock)
        reply = await _dial_back(peer, self._advertised, self._dialer)
        if reply is None or not reply.reached:
            self._excluded_until[peer] = deadline_after(self._clock, _PEER_EXCLUSION_S)
            return not responsive
        self._excluded_until.pop(peer, None)
        self._key_owner.post(DialBackCompleted(renewal, Incarnation(reply.incarnation)))
        return True


async def _dial_back(
    peer: Address, advertised: Address, dialer: Dialer
) -> pb.DialBackReply | None:
    channel = dialer.open(peer)
    try:
        async with asyncio.timeout(_RENEWAL_INTERVAL_S):
            request = pb.DialBackRequest(address=str(advertised))
            return await PeerStub(channel).DialBack(request)
    except (OSError, TimeoutError, GRPCError, StreamTerminatedError):
        return None
    finally:
        channel.close()
