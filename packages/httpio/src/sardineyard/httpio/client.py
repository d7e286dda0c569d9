"""HTTP/1.1 client: each connection is used by one task at a time."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import h11

from sardineyard.httpio.messages import HttpResponse, is_valid_status
from sardineyard.httpio.socket_stream import connect

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from types import TracebackType

    from sardineyard.core.address import Address
    from sardineyard.httpio.messages import HttpRequest
    from sardineyard.httpio.socket_stream import SocketStream

_CONNECT_TIMEOUT_S = 1.0
# Time for one write, after which a server that reads too slowly is given up.
_WRITE_TIMEOUT_S = 10.0


class ResponseError(Exception):
    """Response that breaks the protocol, ends early or exceeds a limit."""


class ClientConnection:
    """Connection to a server, which carries one exchange at a time."""

    def __init__(self, stream: SocketStream, host: str) -> None:
        self._stream = stream
        self._host = host
        self._http = h11.Connection(h11.CLIENT)

    @classmethod
    async def open(cls, address: Address) -> ClientConnection:
        """Connect to an address; raise OSError or TimeoutError."""
        return cls(await connect(address, _CONNECT_TIMEOUT_S), str(address))

    @property
    def reusable(self) -> bool:
        """Return whether the last exchange is complete and no more bytes arrived."""
        return (
            self._http.our_state is h11.DONE
            and self._http.their_state is h11.DONE
            and not self._http.trailing_data[0]
            and self._stream.is_open
            and not self._stream.has_input
        )

    async def __aenter__(self) -> ClientConnection:
        """Return the connection."""
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Close the connection."""
        self.close()

    def start_next_exchange(self) -> None:
        """Prepare a reusable connection for its next exchange."""
        self._http.start_next_cycle()

    async def send(self, request: HttpRequest) -> None:
        """Send a complete request."""
        headers = {
            "host": self._host,
            **request.headers,
            "content-length": str(len(request.body)),
        }
        data = self._http.send(
            h11.Request(
                method=request.method,
                target=request.target,
                headers=list(headers.items()),
            )
        )
        self._stream.write((data or b"") + self._encode_body(request.body))
        await self._stream.flush(_WRITE_TIMEOUT_S)

    async def receive_head(self) -> HttpResponse:
        """Wait for the response head; the body of the returned value is empty."""
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Response):
                if not is_valid_status(event.status_code):
                    raise ResponseError(f"invalid status {event.status_code}")
                headers = {
                    name.decode("latin-1"): value.decode("latin-1")
                    for name, value in event.headers
                }
                return HttpResponse(event.status_code, headers, b"")
            if not isinstance(event, h11.InformationalResponse):
                raise ResponseError("no response head")

    async def receive_body(self) -> AsyncIterator[bytes]:
        """Yield the chunks of the body as they arrive."""
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Data):
                yield bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                return
            else:
                raise ResponseError("the body ended early")

    def close(self) -> None:
        """Close the socket."""
        self._stream.close()

    def _encode_body(self, body: bytes) -> bytes:
        data = self._http.send(h11.Data(data=body)) or b"" if body else b""
        return data + (self._http.send(h11.EndOfMessage()) or b"")

    async def _next_event(self) -> object:
        while True:
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError as error:
                raise ResponseError(str(error)) from error
            if event is not h11.NEED_DATA:
                return event
            self._http.receive_data(await self._stream.receive())


async def fetch(
    address: Address, request: HttpRequest, timeout_s: float, max_bytes: int = 2**24
) -> HttpResponse:
    """Run one exchange on a new connection and return the complete response.

    Raise OSError, TimeoutError or ResponseError.
    """
    async with asyncio.timeout(timeout_s):
        async with await ClientConnection.open(address) as connection:
            await connection.send(request)
            head = await connection.receive_head()
            body = bytearray()
            async for chunk in connection.receive_body():
                body += chunk
                if len(body) > max_bytes:
                    raise ResponseError(f"the body has more than {max_bytes} bytes")
            return HttpResponse(head.status, head.headers, bytes(body))
