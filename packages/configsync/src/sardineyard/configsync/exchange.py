"""Task that owns the channels to peers and passes documents and members on."""

from __future__ import annotations

import asyncio
import logging
from functools import singledispatchmethod
from typing import TYPE_CHECKING, Any

from sardineyard.configsync.adoption import Source, is_race
from sardineyard.configsync.channels import CALL_FAILURES, PeerChannels
from sardineyard.configsync.crashes import CrashGossip
from sardineyard.configsync.members import MemberTable
from sardineyard.configsync.messages import (
    CrashesCounted,
    CrashesHeard,
    DocumentAdopted,
    DocumentOffered,
    DumpPeers,
    ExchangeDue,
    FleetViewChanged,
    PeerAnswered,
    PeerCalled,
    PeerFailed,
    SourceSettled,
)
from sardineyard.configsync.neighbours import Neighbours
from sardineyard.configsync.peer_encoding import (
    decode_members,
    encode_member,
    order_of,
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

INTERVAL_S = 0.5
# Seeds asked at the same time at the start; more are asked while none answers.
_SEED_BATCH = 5
# Peers that hear of a new document at once instead of with the next exchange.
_PUSH_FANOUT = 3


class PeerExchange:
    """Exchange document order and members with random peers."""

    def __init__(
        self,
        own: PeerMember,
        seeds: tuple[Address, ...],
        follower: Mailbox[Any],
        clock: Clock,
        random: Random,
        dialer: Dialer,
        meter: ControlMeter,
    ) -> None:
        self.mailbox: Mailbox[Any] = Mailbox()
        self._own = own
        self._seeds = tuple(seed for seed in seeds if seed != own.address)
        self._follower = follower
        self._clock = clock
        self._random = random
        self._table = MemberTable(own)
        self._neighbours = Neighbours(random)
        self._channels = PeerChannels(dialer, meter)
        self._crashes = CrashGossip(clock)
        self._crash_listeners: list[Mailbox[Any]] = []
        self._agents: tuple[Address, ...] = ()
        self._order: DocumentOrder | None = None
        self._view: FleetView | None = None
        self._race: DocumentOrder | None = None
        self._fetching: set[DocumentOrder] = set()
        self._calls: set[asyncio.Task[None]] = set()

    def subscribe_crashes(self, mailbox: Mailbox[Any]) -> None:
        """Send counts of crashes that are news to a mailbox."""
        self._crash_listeners.append(mailbox)

    async def run(self) -> None:
        """Ask the seeds, then handle messages for ever."""
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._tick(), name="peer-exchange-timer")
                group.create_task(self._ask_seeds(), name="peer-exchange-seeds")
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
        known = {*self._seeds, *self._agents, *(m.address for m in self._table.others)}
        known.discard(self._own.address)
        self._channels.drop(self._neighbours.refresh(known, now))
        peer = self._neighbours.choose()
        if peer is not None:
            self._start_call(self._talk(peer))

    @_handle.register(DocumentAdopted)
    def _adopted(self, message: DocumentAdopted) -> None:
        self._order = message.order
        upstreams = message.document.upstreams
        self._agents = tuple(parse_address(u.agent_address) for u in upstreams)
        self._push()

    @_handle.register(PeerCalled)
    def _peer_called(self, message: PeerCalled) -> None:
        domain = message.state.sender.failure_domain
        members = self._learn(message.state)
        message.reply.send(self._own_state(domain))
        if members:
            self._compare(message.state, members[0].address)

    @_handle.register(PeerAnswered)
    def _peer_answered(self, message: PeerAnswered) -> None:
        self._neighbours.succeeded(message.address)
        self._learn(message.state)
        self._compare(message.state, message.address)

    @_handle.register(PeerFailed)
    def _peer_failed(self, message: PeerFailed) -> None:
        self._neighbours.failed(message.address, self._clock.now())
        self._channels.drop((message.address,))

    @_handle.register(CrashesCounted)
    def _crashes_counted(self, message: CrashesCounted) -> None:
        if self._crashes.merge(message.counts):
            self._push()

    @_handle.register(DumpPeers)
    def _dump(self, message: DumpPeers) -> None:
        view = self._table.view()
        message.reply.send(
            {
                "role": view.role,
                "fleet_size": view.size,
                "known_members": self._table.size,
                "neighbours": [str(address) for address in self._neighbours.current],
            }
        )

    def _learn(self, state: pb.PeerState) -> list[PeerMember]:
        now = self._clock.now()
        sender = decode_members([state.sender], now)
        for member in sender:
            self._table.heard(member, state.known_members, now)
        self._table.merge(decode_members(state.members, now))
        news = self._crashes.merge(self._crashes.decode(state.crashes))
        if news:
            for listener in self._crash_listeners:
                listener.offer(CrashesHeard(news))
            # The caller of a crashing request may send it to the next entry at once.
            self._push()
        view = self._table.view()
        if view != self._view:
            self._view = view
            self._follower.offer(FleetViewChanged(view))
        return sender

    def _push(self) -> None:
        """Talk to a few peers now instead of with the next exchange."""
        neighbours = self._neighbours.current
        count = min(_PUSH_FANOUT, len(neighbours))
        for peer in self._random.sample(neighbours, count):
            self._start_call(self._talk(peer))

    def _compare(self, state: pb.PeerState, address: Address) -> None:
        order = order_of(state)
        if order is None:
            return
        if is_race(self._order, order) and order != self._race:
            self._race = order
            _logger.warning(
                "a peer has another document of the same version",
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
            self._start_call(self._fetch(address, order))

    def _own_state(self, domain: str) -> pb.PeerState:
        now = self._clock.now()
        members = self._table.select(FailureDomain(domain), self._random)
        return pb.PeerState(
            sender=encode_member(self._own, self._own.heard_at),
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

    async def _talk(self, address: Address) -> None:
        state = self._own_state(self._own.failure_domain)
        try:
            answer = await self._channels.exchange(address, state)
        except CALL_FAILURES:
            self.mailbox.offer(PeerFailed(address))
        else:
            self.mailbox.offer(PeerAnswered(address, answer))

    async def _fetch(self, address: Address, order: DocumentOrder) -> None:
        self._fetching.add(order)
        try:
            raw = await self._channels.fetch_document(address)
        except CALL_FAILURES:
            self.mailbox.offer(PeerFailed(address))
        else:
            if raw:
                self._follower.post(DocumentOffered(raw, str(address)))
        finally:
            self._fetching.discard(order)

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(self._random.uniform(0.8, 1.2) * INTERVAL_S)
            self.mailbox.offer(ExchangeDue())

    async def _ask_seeds(self) -> None:
        """Take the document of the seeds before the first one comes into force."""
        seeds = self._random.sample(self._seeds, len(self._seeds))
        answered = False
        while seeds and not answered:
            batch, seeds = seeds[:_SEED_BATCH], seeds[_SEED_BATCH:]
            answers = await asyncio.gather(*(self._ask_seed(seed) for seed in batch))
            answered = any(answers)
        self._follower.offer(FleetViewChanged(self._table.view()))
        self._follower.post(SourceSettled(Source.PEERS))

    async def _ask_seed(self, seed: Address) -> bool:
        state = self._own_state(self._own.failure_domain)
        try:
            answer = await self._channels.exchange(seed, state)
            self._learn(answer)
            order = order_of(answer)
            if order is not None and (self._order is None or order > self._order):
                raw = await self._channels.fetch_document(seed)
                self._follower.post(DocumentOffered(raw, str(seed)))
        except CALL_FAILURES:
            self.mailbox.offer(PeerFailed(seed))
            return False
        return True
