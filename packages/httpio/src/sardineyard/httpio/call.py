"""Client connection that handles truncated, stray and early responses."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

import h11

from sardineyard.httpio.buffers import BodyReservation
from sardineyard.httpio.fields import find, keep_alive_timeout_s
from sardineyard.httpio.messages import is_valid_status
from sardineyard.httpio.socket_stream import MAX_WRITE_BYTES, connect

if TYPE_CHECKING:
    from sardineyard.core.address import Address
    from sardineyard.httpio.buffers import BufferBudget
    from sardineyard.httpio.fields import HeaderList
    from sardineyard.httpio.socket_stream import SocketStream

# Connecting within a region takes 2 ms; one lost packet delays it by 1 s.
CONNECT_TIMEOUT_S = 1.2
_MAX_BODY_BYTES = 2**24
# Bytes of each body that are not counted against the budget of the process, so that
# responses of typical size still succeed while endless bodies use up the budget.
_UNCOUNTED_BODY_BYTES = 65_536
# Interim responses (100, 103) before the final one; servers send one or two.
_MAX_INTERIM_RESPONSES = 8


class InvalidResponseError(Exception):
    """Response that breaks the protocol, ends early or exceeds a limit."""


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """Status and header fields of a response."""

    status: int
    headers: HeaderList


@dataclass(frozen=True, slots=True)
class CallResponse:
    """Complete response to a call."""

    status: int
    headers: HeaderList
    body: bytes


class CallConnection:
    """Connection to a server, which carries one exchange at a time."""

    def __init__(
        self, stream: SocketStream, host: bytes, budget: BufferBudget | None = None
    ) -> None:
        self._stream = stream
        self._reservation = (
            BodyReservation(budget, _UNCOUNTED_BODY_BYTES) if budget else None
        )
        self._host = host
        self._http = h11.Connection(h11.CLIENT)
        self._request: h11.Request | None = None
        self._body = b""
        # Sends the body of a request that is larger than one write.
        self._sender: asyncio.Task[None] | None = None
        self._keep_alive_s: float | None = None
        self._request_count = 0
        self._is_response_framed = False
        self.has_received_bytes = False

    @classmethod
    async def open(
        cls,
        address: Address,
        timeout_s: float = CONNECT_TIMEOUT_S,
        budget: BufferBudget | None = None,
        *,
        probes_peer: bool = False,
    ) -> CallConnection:
        """Connect to an address; raise OSError or TimeoutError.

        Bodies count against the budget until the next exchange or the close.
        """
        stream = await connect(address, timeout_s, probes_peer=probes_peer)
        return cls(stream, str(address).encode(), budget)

    @property
    def keep_alive_s(self) -> float | None:
        """Return the idle timeout in seconds that the server last announced."""
        return self._keep_alive_s

    @property
    def is_response_framed(self) -> bool:
        """Return whether the end of the last response shows in its own bytes."""
        return self._is_response_framed

    @property
    def is_first_exchange(self) -> bool:
        """Return whether the connection has carried no other request before."""
        return self._request_count <= 1

    @property
    def is_reusable(self) -> bool:
        """Return whether the last exchange is complete and no more bytes arrived."""
        return (
            self._http.our_state is h11.DONE
            and self._http.their_state is h11.DONE
            and not self._http.trailing_data[0]
            and self._stream.unsent_bytes == 0
            and self.is_idle
        )

    @property
    def is_idle(self) -> bool:
        """Return whether the connection is open and has no unread bytes."""
        return self._stream.is_open and not self._stream.has_input

    def send(
        self, method: bytes, target: bytes, headers: HeaderList, body: bytes
    ) -> None:
        """Write a request, the rest of a large body in the background.

        Raise OSError if the connection is closed.
        """
        if self._http.our_state is h11.DONE:
            self._http.start_next_cycle()
        self.release_buffers()
        fields = list(headers)
        if not find(headers, b"host"):
            fields.insert(0, (b"host", self._host))
        if body or method not in (b"GET", b"HEAD", b"DELETE", b"OPTIONS"):
            fields.append((b"content-length", b"%d" % len(body)))
        self.has_received_bytes = False
        self._request = h11.Request(method=method, target=target, headers=fields)
        self._body = body
        self._request_count += 1
        if len(body) <= MAX_WRITE_BYTES:
            self._stream.write(self._encode())
            return
        self._stream.write(self._http.send(self._request) or b"")
        self._sender = asyncio.create_task(self._send_body())

    async def receive_head(self) -> ResponseHead:
        """Wait for the response head; raise OSError or InvalidResponseError."""
        for _ in range(_MAX_INTERIM_RESPONSES + 1):
            event = await self._next_event()
            if isinstance(event, h11.Response):
                if not is_valid_status(event.status_code):
                    raise InvalidResponseError(f"invalid status {event.status_code}")
                self._keep_alive_s = keep_alive_timeout_s(list(event.headers))
                self._is_response_framed = any(
                    name in (b"content-length", b"transfer-encoding")
                    for name, _ in event.headers
                )
                return ResponseHead(event.status_code, list(event.headers.raw_items()))
            if not isinstance(event, h11.InformationalResponse):
                raise InvalidResponseError("no response head")
        raise InvalidResponseError(
            f"more than {_MAX_INTERIM_RESPONSES} interim responses"
        )

    async def receive_chunk(self) -> bytes | None:
        """Return the next chunk of the body, or None after the last one."""
        event = await self._next_event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return None
        raise InvalidResponseError("the response body ended early")

    async def receive_body(self, max_bytes: int = _MAX_BODY_BYTES) -> bytes:
        """Return the complete body; raise OSError or InvalidResponseError."""
        body = bytearray()
        while (chunk := await self.receive_chunk()) is not None:
            body += chunk
            if len(body) > max_bytes:
                raise InvalidResponseError(
                    f"the response body has more than {max_bytes} bytes"
                )
            if self._reservation is not None and not self._reservation.try_grow(
                len(body)
            ):
                raise InvalidResponseError(
                    "the buffer budget of the process is used up"
                )
        return bytes(body)

    def release_buffers(self) -> None:
        """Drop the bodies of the last exchange, which an idle connection would keep."""
        self._body = b""
        if self._reservation is not None:
            self._reservation.release()

    def expect_next_response(self) -> None:
        """Prepare to read the next response after a stray one to an earlier request."""
        assert self._request is not None
        if self._sender is not None and not self._sender.done():
            raise InvalidResponseError("the response precedes the body of its request")
        rest = self._http.trailing_data[0]
        self._http = h11.Connection(h11.CLIENT)
        # The request is already sent; encoding it again only sets the parser state.
        self._encode()
        if rest:
            self._http.receive_data(rest)

    async def wait_ended(self, timeout_s: float) -> bool:
        """Wait for the end of the connection; return whether it came in time."""
        try:
            async with asyncio.timeout(timeout_s):
                await self._stream.ended.wait()
        except TimeoutError:
            return False
        return True

    def start_probes(self) -> None:
        """Let the operating system end the connection if the server is silent."""
        self._stream.start_probes()

    def stop_probes(self) -> None:
        """Allow the server to be silent while it works on a request."""
        self._stream.stop_probes()

    def close(self) -> None:
        """Close the socket at once, so that a server that is still working notices."""
        self.release_buffers()
        if self._sender is not None:
            self._sender.cancel()
        self._stream.abort()

    async def _send_body(self) -> None:
        """Write the body as fast as the server reads it, so that no copy piles up."""
        body = memoryview(self._body)
        try:
            for start in range(0, len(body), MAX_WRITE_BYTES):
                piece = bytes(body[start : start + MAX_WRITE_BYTES])
                self._stream.write(self._http.send(h11.Data(data=piece)) or b"")
                await self._stream.flush(None)
            self._stream.write(self._http.send(h11.EndOfMessage()) or b"")
        except (OSError, h11.LocalProtocolError):
            # The response shows what became of the request, or the lost connection.
            return

    def _encode(self) -> bytes:
        assert self._request is not None
        data = self._http.send(self._request) or b""
        if self._body:
            data += self._http.send(h11.Data(data=self._body)) or b""
        return data + (self._http.send(h11.EndOfMessage()) or b"")

    async def _next_event(self) -> object:
        while True:
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError as error:
                raise InvalidResponseError(str(error)) from None
            if event is h11.PAUSED:
                raise InvalidResponseError("unexpected bytes after the response")
            if event is not h11.NEED_DATA:
                return event
            data = await self._stream.receive()
            self.has_received_bytes = self.has_received_bytes or bool(data)
            try:
                self._http.receive_data(data)
            except RuntimeError:
                raise InvalidResponseError(
                    "bytes after the end of the connection"
                ) from None


class CallClient:
    """Client that makes calls to one server over one persistent connection.

    With `probes_peer`, a call fails about two seconds after the connection has gone
    silent, however long its response may take.
    """

    def __init__(
        self,
        address: Address,
        max_body_bytes: int = _MAX_BODY_BYTES,
        *,
        probes_peer: bool = False,
    ) -> None:
        self._address = address
        self._probes_peer = probes_peer
        self._max_body_bytes = max_body_bytes
        self._connection: CallConnection | None = None

    async def call(
        self, method: str, target: str, body: bytes = b"", content_type: str = ""
    ) -> CallResponse:
        """Return the response; raise OSError, TimeoutError or InvalidResponseError.

        A call that fails, or that is cancelled by a timeout, closes the connection.
        """
        connection = self._connection
        self._connection = None
        if connection is None or not connection.is_reusable:
            self._discard(connection)
            connection = await CallConnection.open(
                self._address, probes_peer=self._probes_peer
            )
        headers = [(b"content-type", content_type.encode())] if content_type else []
        try:
            connection.send(method.encode(), target.encode(), headers, body)
            head = await connection.receive_head()
            response_body = await connection.receive_body(self._max_body_bytes)
        except BaseException:
            connection.close()
            raise
        if connection.is_reusable:
            self._connection = connection
        else:
            connection.close()
        return CallResponse(head.status, head.headers, response_body)

    def close(self) -> None:
        """Close the connection."""
        self._discard(self._connection)
        self._connection = None

    def _discard(self, connection: CallConnection | None) -> None:
        if connection is not None:
            connection.close()
