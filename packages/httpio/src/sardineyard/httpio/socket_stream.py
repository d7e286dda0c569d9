"""Socket that detects a disconnect even while its owner is not reading."""

from __future__ import annotations

import asyncio
import socket
from typing import TYPE_CHECKING, cast

if TYPE_CHECKING:
    from collections.abc import Callable

    from sardineyard.core.address import Address

# Longer messages are written in pieces of this size, each after the one before has
# been sent, because a transport keeps a copy of what it has not sent.
MAX_WRITE_BYTES = 65_536
_READ_HIGH_WATER_BYTES = 65_536
_WRITE_HIGH_WATER_BYTES = 65_536
# Interval, in seconds, between the keep-alive probes of a connection on which nothing
# arrives, and the silence after which the second of them ends it. One second is the
# shortest interval of the operating system.
_PROBE_INTERVAL_S = 1
_MAX_SILENCE_S = 1.5
# Time without an acknowledgement after which bytes sent on a kept connection are lost.
# It covers the first two retransmissions, after 0.2 s and 0.6 s.
_MAX_UNACKNOWLEDGED_S = 0.7


class SocketStream(asyncio.BufferedProtocol):
    """Socket that buffers the received bytes until its owner reads them."""

    # The event loop fills it and hands it over without a pause, so all streams of the
    # loop share it. A plain protocol would get up to 256 KiB for each read.
    _read_buffer = memoryview(bytearray(_READ_HIGH_WATER_BYTES))

    def __init__(
        self, on_connected: Callable[[SocketStream], None] | None = None
    ) -> None:
        self._on_connected = on_connected
        self._transport: asyncio.Transport | None = None
        self._received = bytearray()
        self._error: Exception | None = None
        self._at_end = False
        self._lost = False
        self._readable = asyncio.Event()
        self._writable = asyncio.Event()
        self._writable.set()
        self.ended = asyncio.Event()

    @property
    def has_input(self) -> bool:
        """Return whether received bytes or the end of input are unread."""
        return bool(self._received) or self._at_end

    @property
    def is_open(self) -> bool:
        """Return whether both directions are open."""
        return self._transport is not None and not self.ended.is_set()

    @property
    def unsent_bytes(self) -> int:
        """Return the number of written bytes that are not yet in the socket buffer."""
        if self._transport is None:
            return 0
        return self._transport.get_write_buffer_size()

    async def receive(self) -> bytes:
        """Wait for bytes; return b"" at the end of input.

        Raises ConnectionError when the connection was reset.
        """
        while not self.has_input:
            self._readable.clear()
            await self._readable.wait()
        if self._received:
            data = bytes(self._received)
            self._received.clear()
            if self._transport is not None and not self.ended.is_set():
                self._transport.resume_reading()
            return data
        if self._error is not None:
            raise ConnectionResetError(str(self._error))
        return b""

    def write(self, data: bytes) -> None:
        """Write bytes without waiting."""
        if self._transport is None or self._transport.is_closing():
            raise ConnectionResetError("the connection is closed")
        if data:
            self._transport.write(data)

    async def flush(self, timeout_s: float | None) -> None:
        """Wait until most written bytes are sent; raise TimeoutError, ConnectionError.

        Returns at once below the high-water mark.
        """
        if not self._writable.is_set():
            async with asyncio.timeout(timeout_s):
                await self._writable.wait()
        if self._lost:
            raise ConnectionResetError("the connection is lost")

    def start_probes(self) -> None:
        """Let the operating system end the connection if its peer is silent."""
        sock = self._socket
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _PROBE_INTERVAL_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _PROBE_INTERVAL_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 1)
        # Also holds for sent bytes, which suspend the probes until they are
        # acknowledged.
        self._limit_unacknowledged(_MAX_SILENCE_S)

    def stop_probes(self) -> None:
        """Allow the peer to be silent, except that it acknowledges what is sent."""
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 0)
        self._limit_unacknowledged(_MAX_UNACKNOWLEDGED_S)

    @property
    def _socket(self) -> socket.socket:
        assert self._transport is not None
        return cast("socket.socket", self._transport.get_extra_info("socket"))

    def _limit_unacknowledged(self, seconds: float) -> None:
        self._socket.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(seconds * 1000)
        )

    def close(self) -> None:
        """Close the socket after the written bytes are sent."""
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Close the socket at once."""
        if self._transport is not None:
            self._transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport (called by asyncio)."""
        self._transport = cast("asyncio.Transport", transport)
        self._transport.set_write_buffer_limits(high=_WRITE_HIGH_WATER_BYTES)
        if self._on_connected is not None:
            self._on_connected(self)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next read (called by asyncio)."""
        return self._read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Keep the bytes that were read (called by asyncio)."""
        self._received += self._read_buffer[:nbytes]
        if len(self._received) > _READ_HIGH_WATER_BYTES and self._transport is not None:
            self._transport.pause_reading()
        self._readable.set()

    def eof_received(self) -> bool:
        """Record the end of the input (called by asyncio)."""
        self._end()
        # The transport stays open, so that a response in progress can be sent.
        return True

    def connection_lost(self, error: Exception | None) -> None:
        """Record the loss of the connection (called by asyncio)."""
        if not self._at_end:
            self._error = error
        self._lost = True
        self._end()
        self._writable.set()

    def pause_writing(self) -> None:
        """Record that the peer reads too slowly (called by asyncio)."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Record that the peer has caught up (called by asyncio)."""
        self._writable.set()

    def _end(self) -> None:
        self._at_end = True
        self._readable.set()
        self.ended.set()


async def connect(
    address: Address, timeout_s: float, *, probes_peer: bool = False
) -> SocketStream:
    """Connect to an address; raise OSError or TimeoutError.

    With `probes_peer`, a connection that goes silent is lost after two seconds.
    """
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(timeout_s):
        _, stream = await loop.create_connection(
            SocketStream, address.host, address.port
        )
    if probes_peer:
        stream.start_probes()
    return stream
