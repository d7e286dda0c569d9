"""Strict reader of the HTTP/1.1 requests of one connection."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

import h11

from sardineyard.core.errors import ErrorKind
from sardineyard.httpio.buffers import BodyReservation
from sardineyard.httpio.fields import find
from sardineyard.httpio.head_check import HeadError, check_head, head_length

if TYPE_CHECKING:
    from sardineyard.httpio.buffers import BufferBudget
    from sardineyard.httpio.fields import HeaderList
    from sardineyard.httpio.socket_stream import SocketStream

# Bytes of each body that are not counted against the budget of the process, so that
# requests of typical size are still read while large ones use up the budget.
_UNCOUNTED_BODY_BYTES = 16_384


@dataclass(frozen=True, slots=True)
class AcceptLimits:
    """Limits on the size and duration of requests."""

    max_head_bytes: int
    max_body_bytes: int
    head_timeout_s: float
    idle_timeout_s: float


@dataclass(frozen=True, slots=True)
class IncomingRequest:
    """Complete request with its header fields as they were sent."""

    method: bytes
    target: bytes
    headers: HeaderList
    body: bytes
    # Monotonic time at which the head was complete.
    arrived: float

    @property
    def path(self) -> str:
        """Return the path without the query."""
        return self.target.partition(b"?")[0].decode("latin-1")


class RequestRefusedError(Exception):
    """Request that breaks the protocol or a limit, or for which memory is lacking."""

    def __init__(
        self, kind: ErrorKind, detail: str, headers: HeaderList | None = None
    ) -> None:
        super().__init__(detail)
        self.kind = kind
        self.detail = detail
        # Empty if the head could not be read.
        self.headers: HeaderList = headers or []


class RequestReader:
    """Reader that returns the requests of one connection one after another."""

    def __init__(self, stream: SocketStream, body_budget: BufferBudget) -> None:
        self._stream = stream
        self._reservation = BodyReservation(body_budget, _UNCOUNTED_BODY_BYTES)
        self._buffer = b""
        self._is_idle = True

    @property
    def is_idle(self) -> bool:
        """Return whether no byte of the next request has arrived."""
        return self._is_idle

    async def read(
        self, http: h11.Connection, limits: AcceptLimits
    ) -> IncomingRequest | None:
        """Return the next request, or None if the client closes or stays idle.

        Raises RequestRefusedError, and OSError if the client disconnects. The body
        counts against the budget until the next call or `release_body`.
        """
        self.release_body()
        head = await self._read_head(limits)
        if head is None:
            return None
        arrived = asyncio.get_running_loop().time()
        try:
            check_head(head)
            http.receive_data(head)
            event = http.next_event()
        except (HeadError, h11.RemoteProtocolError) as error:
            raise RequestRefusedError(ErrorKind.BAD_REQUEST, str(error)) from None
        if not isinstance(event, h11.Request):
            raise RequestRefusedError(ErrorKind.BAD_REQUEST, "no request")
        headers: HeaderList = list(event.headers.raw_items())
        try:
            length = int(find(headers, b"content-length") or 0)
            self._reserve(length, limits)
            body = await self._read_body(http, limits, length)
        except RequestRefusedError as refusal:
            refusal.headers = headers
            raise
        return IncomingRequest(
            bytes(event.method), bytes(event.target), headers, body, arrived
        )

    def release_body(self) -> None:
        """Stop counting the last body against the budget."""
        self._reservation.release()

    def _reserve(self, body_bytes: int, limits: AcceptLimits) -> None:
        """Reserve memory for a body; raise RequestRefusedError if it is too large."""
        if body_bytes > limits.max_body_bytes:
            raise RequestRefusedError(ErrorKind.BODY_TOO_LARGE, "body too large")
        if not self._reservation.try_grow(body_bytes):
            raise RequestRefusedError(
                ErrorKind.OVERLOADED, "no memory for the body at present"
            )

    async def _read_head(self, limits: AcceptLimits) -> bytes | None:
        """Return a complete head, or None if the client closes or stays idle."""
        self._is_idle = not self._buffer
        try:
            async with asyncio.timeout(limits.idle_timeout_s):
                if not self._buffer and not await self._receive():
                    return None
        except TimeoutError:
            return None
        self._is_idle = False
        try:
            async with asyncio.timeout(limits.head_timeout_s):
                while (length := head_length(self._buffer)) is None:
                    if len(self._buffer) > limits.max_head_bytes:
                        raise RequestRefusedError(
                            ErrorKind.HEAD_TOO_LARGE, "head too large"
                        )
                    if not await self._receive():
                        return None
        except TimeoutError:
            raise RequestRefusedError(
                ErrorKind.REQUEST_TIMEOUT, "the head was not complete in time"
            ) from None
        if length > limits.max_head_bytes:
            raise RequestRefusedError(ErrorKind.HEAD_TOO_LARGE, "head too large")
        head, self._buffer = self._buffer[:length], self._buffer[length:]
        return head

    async def _read_body(
        self, http: h11.Connection, limits: AcceptLimits, length: int
    ) -> bytes:
        # A body that grows step by step leaves gaps on the heap that are not reused.
        body, received = bytearray(length), 0
        if http.they_are_waiting_for_100_continue:
            continue_response = h11.InformationalResponse(status_code=100, headers=[])
            self._stream.write(http.send(continue_response) or b"")
        if self._buffer:
            http.receive_data(self._buffer)
        self._buffer = b""
        while True:
            try:
                event = http.next_event()
            except h11.RemoteProtocolError as error:
                raise RequestRefusedError(ErrorKind.BAD_REQUEST, str(error)) from None
            if isinstance(event, h11.Data):
                end = received + len(event.data)
                self._reserve(end, limits)
                # Beyond the stated length, of which chunked bodies have none, it grows.
                body[received:end] = event.data
                received = end
            elif isinstance(event, h11.EndOfMessage):
                self._buffer = bytes(http.trailing_data[0])
                return bytes(body)
            else:
                http.receive_data(await self._receive_body_bytes(limits))

    async def _receive_body_bytes(self, limits: AcceptLimits) -> bytes:
        try:
            async with asyncio.timeout(limits.idle_timeout_s):
                data = await self._stream.receive()
        except TimeoutError:
            raise RequestRefusedError(
                ErrorKind.REQUEST_TIMEOUT, "the body was not complete in time"
            ) from None
        if not data:
            raise ConnectionResetError("the client closed in the middle of a request")
        return data

    async def _receive(self) -> bool:
        data = await self._stream.receive()
        self._buffer += data
        return bool(data)
