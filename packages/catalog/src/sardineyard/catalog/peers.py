"""Exchange of catalog updates between the processes of the fleet."""

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

from sardineyard.catalog.messages import PeerUpdate, PeerUpdateReceived, PrepareExchange
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

# Timeout of a regular exchange, in seconds.
_EXCHANGE_TIMEOUT_S = 0.6
# Timeout in seconds of an exchange that requests newer versions: a configuration of
# 0.5 MB before compression, over a shared link. No other exchange starts meanwhile.
_UPDATE_TIMEOUT_S = 1.0
# A peer is silent if nothing was received from it for this many rounds of exchanges
# with all peers, and for at least this many seconds.
_SILENCE_ROUNDS = 2.5
_MIN_SILENCE_S = 2.0
# Interval between two exchanges with a silent peer, in seconds.
_SILENT_RETRY_INTERVAL_S = 1.0
# Time in seconds after which a silent peer is removed, unless it is a seed.
_REMOVE_SILENT_AFTER_S = 10.0
# Maximum number of member addresses in an update.
_MAX_MEMBERS = 64
# Errors that end a call to another process without a reply.
CALL_ERRORS = (
    OSError,
    TimeoutError,
    GRPCError,
    ProtocolError,
    StreamTerminatedError,
    msgspec.DecodeError,
)


class MessagePackCodec(CodecBase):
    """Codec of grpclib that encodes messages as MessagePack."""

    __content_subtype__ = "msgpack"

    def encode(self, message: object, message_type: object) -> bytes:
        """Encode a message."""
        return msgspec.msgpack.encode(message)

    def decode(self, data: bytes, message_type: type[object]) -> object:
        """Decode a message; raise msgspec.DecodeError if it is malformed."""
        try:
            return msgspec.msgpack.decode(data, type=message_type)
        except RecursionError as error:
            raise msgspec.DecodeError(str(error)) from None


class PeerService:
    """The gRPC service through which peers exchange updates with this process."""

    def __init__(self, keeper: Mailbox[object], exchange: PeerExchange) -> None:
        self._keeper = keeper
        self._exchange = exchange

    async def exchange(self, stream: Stream[PeerUpdate, PeerUpdate]) -> None:
        """Apply the update of a peer and reply with the changes that it lacks."""
        update = await stream.recv_message()
        if update is None:
            return
        self._exchange.record_sender(update)
        reply: Reply[PeerUpdate] = Reply()
        self._keeper.post(PeerUpdateReceived(update, reply))
        await stream.send_message(self._exchange.with_members(await reply.wait()))

    def __mapping__(self) -> dict[str, Handler]:
        """Return the handlers of the methods of this service (called by grpclib)."""
        return {
            EXCHANGE_METHOD: Handler(
                self.exchange, Cardinality.UNARY_UNARY, PeerUpdate, PeerUpdate
            )
        }


@dataclass(slots=True)
class _Peer:
    address: str
    channel: Channel | None = None
    last_received_at: float = float("-inf")
    last_called_at: float = float("-inf")
    added_at: float = 0.0
    # Whether an exchange with the peer is in progress.
    is_busy: bool = False


class PeerExchange:
    """Owner of the channels to peers, which exchanges updates with each in turn."""

    def __init__(
        self,
        keeper: Mailbox[object],
        local_address: str,
        seeds: tuple[str, ...],
        clock: Clock,
        rng: Random,
        interval_s: float,
    ) -> None:
        self._keeper = keeper
        self._local_address = local_address
        self._clock = clock
        self._rng = rng
        self._interval_s = interval_s
        self._seeds = seeds
        self._peers: dict[str, _Peer] = {}
        # Addresses of the peers that are still to be called in this round.
        self._round_peers: list[str] = []
        self._calls: set[asyncio.Task[None]] = set()
        # Whether an update is being requested from a peer with newer versions.
        self._is_requesting = False

    @property
    def alive(self) -> list[str]:
        """Return the addresses of the peers that are not silent."""
        oldest = self._clock.now() - self._silence_timeout_s
        return [p.address for p in self._peers.values() if p.last_received_at >= oldest]

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Replace the addresses of the seed peers."""
        self._seeds = seeds

    def with_members(self, update: PeerUpdate) -> PeerUpdate:
        """Return a copy of an update with the addresses of the peers that are alive."""
        return msgspec.structs.replace(update, members=tuple(self.alive[:_MAX_MEMBERS]))

    def request_update(self, address: str) -> None:
        """Start an exchange with a peer that has newer versions than this process.

        Only one such exchange runs at a time: every peer with newer versions would
        send the same update.
        """
        peer = self._get_or_add(address)
        if peer is not None and not peer.is_busy and not self._is_requesting:
            self._is_requesting = True
            _log_peer("peer_update_requested", address)
            self._start_call(peer, self._request_update(peer))

    def record_sender(self, update: PeerUpdate) -> None:
        """Record that a peer sent an update, and add the members that it lists."""
        for member in update.members:
            self._get_or_add(member)
        if not update.address:
            return
        peer = self._get_or_add(update.address)
        if peer is not None:
            if peer.last_received_at < self._clock.now() - self._silence_timeout_s:
                _log_peer("peer_heard", peer.address)
            peer.last_received_at = self._clock.now()

    async def run(self) -> None:
        """Exchange updates until cancelled."""
        try:
            # The first seed that answers may be behind, so all of them are asked.
            for seed in self._seeds:
                peer = self._get_or_add(seed)
                if peer is not None and not peer.is_busy:
                    self._start_exchange(peer)
            while True:
                for seed in self._seeds:
                    self._get_or_add(seed)
                self._remove_silent()
                peer = None if self._is_requesting else self._next_peer()
                if peer is not None:
                    self._start_exchange(peer)
                await asyncio.sleep(self._interval_s * self._rng.uniform(0.8, 1.2))
        finally:
            for peer in self._peers.values():
                _close_channel(peer)

    def _get_or_add(self, address: str) -> _Peer | None:
        if address == self._local_address:
            return None
        if address not in self._peers:
            try:
                parse_address(address)
            except ValueError:
                _log_peer("peer_address_malformed", address)
                return None
            self._peers[address] = _Peer(address, added_at=self._clock.now())
        return self._peers[address]

    def _remove_silent(self) -> None:
        now = self._clock.now()
        for address, peer in list(self._peers.items()):
            silent_s = now - max(peer.last_received_at, peer.added_at)
            if (
                silent_s > _REMOVE_SILENT_AFTER_S + self._silence_timeout_s
                and address not in self._seeds
            ):
                _close_channel(peer)
                del self._peers[address]
                _log_peer("peer_forgotten", address)

    @property
    def _silence_timeout_s(self) -> float:
        rounds = _SILENCE_ROUNDS * max(1, len(self._peers))
        return max(_MIN_SILENCE_S, rounds * self._interval_s)

    def _next_peer(self) -> _Peer | None:
        now = self._clock.now()
        if not self._round_peers:
            self._round_peers = self._rng.sample(list(self._peers), len(self._peers))
        while self._round_peers:
            peer = self._peers.get(self._round_peers.pop())
            if peer is None or peer.is_busy:
                continue
            is_silent = now - peer.last_received_at > self._silence_timeout_s
            if not is_silent or now - peer.last_called_at > _SILENT_RETRY_INTERVAL_S:
                return peer
        return None

    def _start_exchange(self, peer: _Peer) -> None:
        self._start_call(peer, self._exchange_with(peer, _EXCHANGE_TIMEOUT_S))

    def _start_call(self, peer: _Peer, call: Coroutine[None, None, None]) -> None:
        peer.is_busy = True
        peer.last_called_at = self._clock.now()
        task = asyncio.get_running_loop().create_task(call)
        self._calls.add(task)
        task.add_done_callback(self._calls.discard)

    async def _request_update(self, peer: _Peer) -> None:
        # A connection that was kept may have gone silent, which only a timeout shows.
        _close_channel(peer)
        try:
            await self._exchange_with(peer, _UPDATE_TIMEOUT_S)
        finally:
            self._is_requesting = False

    async def _exchange_with(self, peer: _Peer, timeout_s: float) -> None:
        connection = "new" if peer.channel is None else "kept"
        try:
            update = await self._prepare_update()
            peer_reply = await self._call(peer, update, timeout_s)
            self.record_sender(peer_reply)
            self._keeper.post(PeerUpdateReceived(peer_reply))
            if peer_reply.config_version < update.config_version:
                # The peer cannot ask a process without an address for it.
                newer = await self._prepare_update(receiver=peer_reply)
                await self._call(peer, newer, _UPDATE_TIMEOUT_S)
        except CALL_ERRORS as error:
            # Any error closes the channel, as a stalled connection does not recover.
            _close_channel(peer)
            if self._clock.now() - peer.last_received_at < self._silence_timeout_s:
                _log_peer("peer_call_failed", peer.address, repr(error), connection)
        finally:
            peer.is_busy = False

    async def _prepare_update(self, receiver: PeerUpdate | None = None) -> PeerUpdate:
        reply: Reply[PeerUpdate] = Reply()
        self._keeper.post(PrepareExchange(reply, receiver))
        return self.with_members(await reply.wait())

    async def _call(
        self, peer: _Peer, update: PeerUpdate, timeout_s: float
    ) -> PeerUpdate:
        if peer.channel is None:
            address = parse_address(peer.address)
            peer.channel = Channel(address.host, address.port, codec=MessagePackCodec())
        method = UnaryUnaryMethod(peer.channel, EXCHANGE_METHOD, PeerUpdate, PeerUpdate)
        async with asyncio.timeout(timeout_s):
            return await method(update)


def _close_channel(peer: _Peer) -> None:
    if peer.channel is not None:
        peer.channel.close()
        peer.channel = None


def _log_peer(event: str, address: str, reason: str = "", connection: str = "") -> None:
    _logger.info(
        "peer exchange event",
        extra={
            "event": event,
            "peer": address,
            "reason": reason,
            "connection": connection,
        },
    )
