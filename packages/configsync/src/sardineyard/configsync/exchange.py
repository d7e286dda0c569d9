"""Gossip of document versions, members and crash counts between processes."""

from __future__ import annotations

import asyncio
import logging
from functools import singledispatchmethod
from typing import TYPE_CHECKING, Any

from sardineyard.configsync.adoption import Source, is_version_conflict
from sardineyard.configsync.channels import CALL_ERRORS, PeerChannels
from sardineyard.configsync.crashes import CrashGossip
from sardineyard.configsync.members import MemberTable
from sardineyard.configsync.messages import (
    DocumentAdopted,
    DocumentOffered,
    DumpPeers,
    ExchangeDue,
    ExchangeRequested,
    ExchangeSucceeded,
    FleetViewChanged,
    LocalCrashesCounted,
    PeerCallFailed,
    PeerCrashesReceived,
    SourceSettled,
)
from sardineyard.configsync.neighbours import Neighbours
from sardineyard.configsync.peer_encoding import (
    decode_members,
    document_order,
    encode_member,
)
from sardineyard.core.address import parse_address
from sardineyard.core.ids import FailureDomain
from sardineyard.core.mailbox import Mailbox
from sardineyard.wire import peer_pb2 as pb

if TYPE_CHECKING:
    from collections.abc import Coroutine
    from random import Random

    from sardineyard.configsync.members import PeerMember
    from sardineyard.configsync.read_schedule import FleetView
    from sardineyard.core.address import Address
    from sardineyard.core.clock import Clock
    from sardineyard.core.control import ControlMeter
    from sardineyard.document.order import DocumentOrder
    from sardineyard.wire.dialer import Dialer

_logger = logging.getLogger(__name__)

EXCHANGE_INTERVAL_S = 0.5
# Seeds queried concurrently at startup; another batch follows while none replies.
_SEED_BATCH_SIZE = 5
# Peers that are notified immediately of a new document or crash count.
_PUSH_FANOUT = 3


class PeerExchange:
    """Task that owns the channels to peers, the member table and the crash counts."""

    def __init__(
        self,
        local_member: PeerMember,
        seeds: tuple[Address, ...],
        follower: Mailbox[Any],
        clock: Clock,
        random: Random,
        dialer: Dialer,
        meter: ControlMeter,
    ) -> None:
        self.mailbox: Mailbox[Any] = Mailbox()
        self._local_member = local_member
        self._seeds = tuple(seed for seed in seeds if seed != local_member.address)
        self._follower = follower
        self._clock = clock
        self._random = random
        self._table = MemberTable(local_member)
        self._neighbours = Neighbours(random)
        self._channels = PeerChannels(dialer, meter)
        self._crashes = CrashGossip(clock)
        self._crash_subscribers: list[Mailbox[Any]] = []
        self._agent_addresses: tuple[Address, ...] = ()
        self._order: DocumentOrder | None = None
        self._view: FleetView | None = None
        self._reported_conflict: DocumentOrder | None = None
        self._fetching: set[DocumentOrder] = set()
        self._calls: set[asyncio.Task[None]] = set()

    def subscribe_crashes(self, mailbox: Mailbox[Any]) -> None:
        """Send new crash counts from peers to a mailbox."""
        self._crash_subscribers.append(mailbox)

    async def run(self) -> None:
        """Query the seeds and handle messages until cancelled."""
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(
                    self._schedule_exchanges(), name="peer-exchange-timer"
                )
                group.create_task(self._query_seeds(), name="peer-exchange-seeds")
                while True:
                    self._handle(await self.mailbox.receive())
        finally:
            for call in self._calls:
                call.cancel()
            self._channels.close()

    @singledispatchmethod
    def _handle(self, message: object) -> None:
        raise TypeError(f"unexpected message {type(message).__name__}")

    @_handle.register(ExchangeDue)
    def _exchange_due(self, message: ExchangeDue) -> None:
        now = self._clock.now()
        self._table.expire(now)
        known = {
            *self._seeds,
            *self._agent_addresses,
            *(m.address for m in self._table.others),
        }
        known.discard(self._local_member.address)
        self._channels.drop(self._neighbours.refresh(known, now))
        peer = self._neighbours.choose()
        if peer is not None:
            self._start_call(self._exchange_with(peer))

    @_handle.register(DocumentAdopted)
    def _document_adopted(self, message: DocumentAdopted) -> None:
        self._order = message.order
        upstreams = message.document.upstreams
        self._agent_addresses = tuple(parse_address(u.agent_address) for u in upstreams)
        self._push_state()

    @_handle.register(ExchangeRequested)
    def _exchange_requested(self, message: ExchangeRequested) -> None:
        domain = message.state.sender.failure_domain
        members = self._merge_state(message.state)
        message.reply.send(self._local_state(domain))
        if members:
            self._compare_document(message.state, members[0].address)

    @_handle.register(ExchangeSucceeded)
    def _exchange_succeeded(self, message: ExchangeSucceeded) -> None:
        self._neighbours.record_success(message.address)
        self._merge_state(message.state)
        self._compare_document(message.state, message.address)

    @_handle.register(PeerCallFailed)
    def _peer_call_failed(self, message: PeerCallFailed) -> None:
        self._neighbours.record_failure(message.address, self._clock.now())
        self._channels.drop((message.address,))

    @_handle.register(LocalCrashesCounted)
    def _local_crashes_counted(self, message: LocalCrashesCounted) -> None:
        if self._crashes.merge(message.counts):
            self._push_state()

    @_handle.register(DumpPeers)
    def _dump_peers(self, message: DumpPeers) -> None:
        view = self._table.view()
        message.reply.send(
            {
                "role": view.role,
                "fleet_size": view.size,
                "known_members": self._table.size,
                "neighbours": [str(address) for address in self._neighbours.current],
            }
        )

    def _merge_state(self, state: pb.PeerState) -> list[PeerMember]:
        now = self._clock.now()
        sender = decode_members([state.sender], now)
        for member in sender:
            self._table.record_contact(member, state.known_members, now)
        self._table.merge(decode_members(state.members, now))
        updates = self._crashes.merge(self._crashes.decode(state.crashes))
        if updates:
            for subscriber in self._crash_subscribers:
                subscriber.offer(PeerCrashesReceived(updates))
            # The caller may retry the crashing request at another entry immediately.
            self._push_state()
        view = self._table.view()
        if view != self._view:
            self._view = view
            self._follower.offer(FleetViewChanged(view))
        return sender

    def _push_state(self) -> None:
        """Exchange state with a few peers now rather than at the next interval."""
        neighbours = self._neighbours.current
        count = min(_PUSH_FANOUT, len(neighbours))
        for peer in self._random.sample(neighbours, count):
            self._start_call(self._exchange_with(peer))

    def _compare_document(self, state: pb.PeerState, address: Address) -> None:
        order = document_order(state)
        if order is None:
            return
        if is_version_conflict(self._order, order) and order != self._reported_conflict:
            self._reported_conflict = order
            _logger.warning(
                "peer has a different document with the same version",
                extra={
                    "event": "document_race",
                    "version": order.version,
                    "digests": [order.digest, self._order and self._order.digest],
                    "origin": str(address),
                },
            )
        if (self._order is None or order > self._order) and (
            order not in self._fetching
        ):
            self._start_call(self._fetch_document(address, order))

    def _local_state(self, domain: str) -> pb.PeerState:
        now = self._clock.now()
        members = self._table.select(FailureDomain(domain), self._random)
        return pb.PeerState(
            sender=encode_member(self._local_member, self._local_member.last_heard_at),
            document_version=self._order.version if self._order else 0,
            document_digest=self._order.digest if self._order else "",
            members=[encode_member(member, now) for member in members],
            known_members=self._table.size,
            crashes=self._crashes.encode(),
        )

    def _start_call(self, call: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(call)
        self._calls.add(task)
        task.add_done_callback(self._calls.discard)

    async def _exchange_with(self, address: Address) -> None:
        state = self._local_state(self._local_member.failure_domain)
        try:
            reply = await self._channels.exchange(address, state)
        except CALL_ERRORS:
            self.mailbox.offer(PeerCallFailed(address))
        else:
            self.mailbox.offer(ExchangeSucceeded(address, reply))

    async def _fetch_document(self, address: Address, order: DocumentOrder) -> None:
        self._fetching.add(order)
        try:
            raw = await self._channels.fetch_document(address)
        except CALL_ERRORS:
            self.mailbox.offer(PeerCallFailed(address))
        else:
            if raw:
                self._follower.post(DocumentOffered(raw, str(address)))
        finally:
            self._fetching.discard(order)

    async def _schedule_exchanges(self) -> None:
        while True:
            await asyncio.sleep(self._random.uniform(0.8, 1.2) * EXCHANGE_INTERVAL_S)
            self.mailbox.offer(ExchangeDue())

    async def _query_seeds(self) -> None:
        """Query the seeds in batches until one replies, then settle the peer source."""
        seeds = self._random.sample(self._seeds, len(self._seeds))
        has_reply = False
        while seeds and not has_reply:
            batch, seeds = seeds[:_SEED_BATCH_SIZE], seeds[_SEED_BATCH_SIZE:]
            replied = await asyncio.gather(*(self._query_seed(seed) for seed in batch))
            has_reply = any(replied)
        self._follower.offer(FleetViewChanged(self._table.view()))
        self._follower.post(SourceSettled(Source.PEERS))

    async def _query_seed(self, seed: Address) -> bool:
        state = self._local_state(self._local_member.failure_domain)
        try:
            reply = await self._channels.exchange(seed, state)
            self._merge_state(reply)
            order = document_order(reply)
            if order is not None and (self._order is None or order > self._order):
                raw = await self._channels.fetch_document(seed)
                self._follower.post(DocumentOffered(raw, str(seed)))
        except CALL_ERRORS:
            self.mailbox.offer(PeerCallFailed(seed))
            return False
        return True
