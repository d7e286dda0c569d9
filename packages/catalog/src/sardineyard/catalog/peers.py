"""Exchange of news between the processes of the fleet."""

from __future__ import annotations

import asyncio
import logging
from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec
from grpclib.client import Channel, UnaryUnaryMethod
from grpclib.const import Cardinality, Handler
from grpclib.encoding.base import CodecBase
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError

from sardineyard.catalog.messages import ExchangeDue, NewsReceived, PeerNews
from sardineyard.core.address import parse_address
from sardineyard.core.mailbox import Reply

if TYPE_CHECKING:
    from collections.abc import Coroutine
    from random import Random

    from grpclib.server import Stream

    from sardineyard.core.clock import Clock
    from sardineyard.core.mailbox import Mailbox

_logger = logging.getLogger(__name__)

EXCHANGE_METHOD = "/sardineyard.catalog.Peers/Exchange"

_CALL_TIMEOUT_S = 0.6
# The same where the answer carries what this process lacks: 0.5 MB before compression,
# over a link that others use as well. No other peer is asked meanwhile.
_ASK_TIMEOUT_S = 1.0
# A peer that was not heard from for this many rounds of all peers is taken as away; it
# is then tried now and then, and forgotten after a while.
_SILENT_ROUNDS = 2.5
_LEAST_SILENT_S = 2.0
_RETRY_S = 1.0
_FORGET_S = 10.0
_MAX_MEMBERS = 64
# Ways in which a call to another process ends without an answer.
CALL_ERRORS = (
    OSError,
    TimeoutError,
    GRPCError,
    ProtocolError,
    StreamTerminatedError,
    msgspec.DecodeError,
)


class NewsCodec(CodecBase):
    """Encode messages as MessagePack."""

    __content_subtype__ = "msgpack"

    def encode(self, message: object, message_type: object) -> bytes:
        """Return the bytes of a message."""
        return msgspec.msgpack.encode(message)

    def decode(self, data: bytes, message_type: type[object]) -> object:
        """Return a message from its bytes; raise msgspec.DecodeError."""
        return msgspec.msgpack.decode(data, type=message_type)


class PeerService:
    """Answer the exchanges that peers start."""

    def __init__(self, keeper: Mailbox[object], exchange: PeerExchange) -> None:
        self._keeper = keeper
        self._exchange = exchange

    async def exchange(self, stream: Stream[PeerNews, PeerNews]) -> None:
        """Take the news of a peer and return what it lacks."""
        news = await stream.recv_message()
        if news is None:
            return
        self._exchange.heard(news)
        reply: Reply[PeerNews] = Reply()
        self._keeper.post(NewsReceived(news, reply))
        await stream.send_message(self._exchange.sign(await reply.wait()))

    def __mapping__(self) -> dict[str, Handler]:
        """Return the methods of this service (called by grpclib)."""
        return {
            EXCHANGE_METHOD: Handler(
                self.exchange, Cardinality.UNARY_UNARY, PeerNews, PeerNews
            )
        }


@dataclass(slots=True)
class _Peer:
    address: str
    channel: Channel | None = None
    heard_at: float = float("-inf")
    tried_at: float = float("-inf")
    known_since: float = 0.0
    is_busy: bool = False


class PeerExchange:
    """Own the channels to peers and exchange news with them in turn."""

    def __init__(
        self,
        keeper: Mailbox[object],
        own_address: str,
        seeds: tuple[str, ...],
        clock: Clock,
        rng: Random,
        round_s: float,
    ) -> None:
        self._keeper = keeper
        self._own_address = own_address
        self._clock = clock
        self._rng = rng
        self._round_s = round_s
        self._seeds = seeds
        self._peers: dict[str, _Peer] = {}
        self._order: list[str] = []
        self._calls: set[asyncio.Task[None]] = set()
        # Whether a peer that is ahead is asked for what this process lacks.
        self._is_asking = False

    @property
    def alive(self) -> list[str]:
        """Return the addresses of the peers heard from of late."""
        oldest = self._clock.now() - self._silent_s
        return [p.address for p in self._peers.values() if p.heard_at >= oldest]

    def use_seeds(self, seeds: tuple[str, ...]) -> None:
        """Use other first addresses."""
        self._seeds = seeds

    def sign(self, news: PeerNews) -> PeerNews:
        """Return news with the members that this process knows."""
        return msgspec.structs.replace(news, members=tuple(self.alive[:_MAX_MEMBERS]))

    def ask(self, address: str) -> None:
        """Exchange news with a peer now, as it knows more than this process.

        One peer is asked at a time: each one that is ahead would send the same.
        """
        peer = self._know(address)
        if peer is not None and not peer.is_busy and not self._is_asking:
            self._is_asking = True
            self._start(peer, self._ask(peer))

    def heard(self, news: PeerNews) -> None:
        """Take in who a peer is and whom it knows."""
        for member in news.members:
            self._know(member)
        if not news.address:
            return
        peer = self._know(news.address)
        if peer is not None:
            if peer.heard_at < self._clock.now() - self._silent_s:
                _log_peer("peer_heard", peer.address)
            peer.heard_at = self._clock.now()

    async def run(self) -> None:
        """Exchange news until cancelled."""
        try:
            while True:
                for seed in self._seeds:
                    self._know(seed)
                self._forget_silent()
                peer = None if self._is_asking else self._next_peer()
                if peer is not None:
                    self._start(peer, self._call(peer, _CALL_TIMEOUT_S))
                await asyncio.sleep(self._round_s * self._rng.uniform(0.8, 1.2))
        finally:
            for peer in self._peers.values():
                _close(peer)

    def _know(self, address: str) -> _Peer | None:
        if address == self._own_address:
            return None
        if address not in self._peers:
            try:
                parse_address(address)
            except ValueError:
                _log_peer("peer_address_malformed", address)
                return None
            self._peers[address] = _Peer(address, known_since=self._clock.now())
        return self._peers[address]

    def _forget_silent(self) -> None:
        now = self._clock.now()
        for address, peer in list(self._peers.items()):
            silent_s = now - max(peer.heard_at, peer.known_since)
            if silent_s > _FORGET_S + self._silent_s and address not in self._seeds:
                _close(peer)
                del self._peers[address]
                _log_peer("peer_forgotten", address)

    @property
    def _silent_s(self) -> float:
        rounds = _SILENT_ROUNDS * max(1, len(self._peers))
        return max(_LEAST_SILENT_S, rounds * self._round_s)

    def _next_peer(self) -> _Peer | None:
        now = self._clock.now()
        if not self._order:
            self._order = self._rng.sample(list(self._peers), len(self._peers))
        while self._order:
            peer = self._peers.get(self._order.pop())
            if peer is None or peer.is_busy:
                continue
            is_silent = now - peer.heard_at > self._silent_s
            if not is_silent or now - peer.tried_at > _RETRY_S:
                return peer
        return None

    def _start(self, peer: _Peer, call: Coroutine[None, None, None]) -> None:
        peer.is_busy = True
        peer.tried_at = self._clock.now()
        task = asyncio.get_running_loop().create_task(call)
        self._calls.add(task)
        task.add_done_callback(self._calls.discard)

    async def _ask(self, peer: _Peer) -> None:
        try:
            await self._call(peer, _ASK_TIMEOUT_S)
        finally:
            self._is_asking = False

    async def _call(self, peer: _Peer, timeout_s: float) -> None:
        reply: Reply[PeerNews] = Reply()
        self._keeper.post(ExchangeDue(reply))
        try:
            news = self.sign(await reply.wait())
            if peer.channel is None:
                address = parse_address(peer.address)
                peer.channel = Channel(address.host, address.port, codec=NewsCodec())
            method = UnaryUnaryMethod(peer.channel, EXCHANGE_METHOD, PeerNews, PeerNews)
            async with asyncio.timeout(timeout_s):
                answer: PeerNews = await method(news)
        except CALL_ERRORS as error:
            # A channel that went silent stays silent, so each failure costs it.
            _close(peer)
            if self._clock.now() - peer.heard_at < self._silent_s:
                _log_peer("peer_call_failed", peer.address, repr(error))
        else:
            self.heard(answer)
            self._keeper.post(NewsReceived(answer))
        finally:
            peer.is_busy = False


def _close(peer: _Peer) -> None:
    if peer.channel is not None:
        peer.channel.close()
        peer.channel = None


def _log_peer(event: str, address: str, reason: str = "") -> None:
    _logger.info(
        "a peer changed", extra={"event": event, "peer": address, "reason": reason}
    )
