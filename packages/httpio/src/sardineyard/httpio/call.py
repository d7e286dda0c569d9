"""Client connection for exchanges whose answer may break off, stray or come early."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import h11

from sardineyard.httpio.fields import find, keep_alive_timeout_s
from sardineyard.httpio.link import connect

if TYPE_CHECKING:
    from sardineyard.core.address import Address
    from sardineyard.httpio.buffers import BufferBudget
    from sardineyard.httpio.fields import HeaderList
    from sardineyard.httpio.link import SocketLink

# Connecting within a region takes 2 ms; one lost packet delays it by a second.
CONNECT_TIMEOUT_S = 1.2
_MAX_BODY_BYTES = 2**24
# Bytes of each body that are not counted against the budget of the process, so that
# endless bodies at one server leave the usual answers alone.
_FREE_BODY_BYTES = 65_536
# Answers that only announce another one (100, 103); servers send one or two.
_MAX_INTERIM_ANSWERS = 8


class BrokenAnswerError(Exception):
    """Report an answer that breaks the protocol or ends early."""


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """Hold status and header fields of an answer."""

    status: int
    headers: HeaderList


class CallConnection:
    """Own one socket to a server and run one exchange at a time on it."""

    def __init__(
        self, link: SocketLink, host: bytes, budget: BufferBudget | None = None
    ) -> None:
        self._link = link
        self._budget = budget
        self._counted_bytes = 0
        self._host = host
        self._http = h11.Connection(h11.CLIENT)
        self._request: h11.Request | None = None
        self._body = b""
        self._keep_alive_s: float | None = None
        self.received_any = False

    @classmethod
    async def open(
        cls,
        address: Address,
        timeout_s: float = CONNECT_TIMEOUT_S,
        budget: BufferBudget | None = None,
    ) -> CallConnection:
        """Connect to an address; raise OSError or TimeoutError.

        Bodies count against the budget until the next exchange or the end.
        """
        link = await connect(address, timeout_s)
        return cls(link, str(address).encode(), budget)

    @property
    def keep_alive_s(self) -> float | None:
        """Return the idle timeout that the server stated last, in seconds."""
        return self._keep_alive_s

    @property
    def is_reusable(self) -> bool:
        """Return whether the last exchange is whole and nothing came behind it."""
        return (
            self._http.our_state is h11.DONE
            and self._http.their_state is h11.DONE
            and not self._http.trailing_data[0]
            and self._link.unsent_bytes == 0
            and self.is_quiet
        )

    @property
    def is_quiet(self) -> bool:
        """Return whether the server has neither sent anything nor closed."""
        return self._link.is_open and not self._link.has_input

    def send(
        self, method: bytes, target: bytes, headers: HeaderList, body: bytes
    ) -> None:
        """Write a whole request; raise OSError."""
        if self._http.our_state is h11.DONE:
            self._http.start_next_cycle()
        self.release_buffers()
        fields = list(headers)
        if not find(headers, b"host"):
            fields.insert(0, (b"host", self._host))
        if body or method not in (b"GET", b"HEAD", b"DELETE", b"OPTIONS"):
            fields.append((b"content-length", b"%d" % len(body)))
        self.received_any = False
        self._request = h11.Request(method=method, target=target, headers=fields)
        self._body = body
        self._link.write(self._encode())

    async def receive_head(self) -> AnswerHead:
        """Wait for the head of the answer; raise OSError or BrokenAnswerError."""
        for _ in range(_MAX_INTERIM_ANSWERS + 1):
            event = await self._next_event()
            if isinstance(event, h11.Response):
                self._keep_alive_s = keep_alive_timeout_s(list(event.headers))
                return AnswerHead(event.status_code, list(event.headers.raw_items()))
            if not isinstance(event, h11.InformationalResponse):
                raise BrokenAnswerError("no head of an answer")
        raise BrokenAnswerError(f"more than {_MAX_INTERIM_ANSWERS} interim answers")

    async def receive_piece(self) -> bytes | None:
        """Return the next piece of the body, or None behind the last one."""
        event = await self._next_event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return None
        raise BrokenAnswerError("the body ended early")

    async def receive_body(self, max_bytes: int = _MAX_BODY_BYTES) -> bytes:
        """Return the whole body; raise OSError or BrokenAnswerError."""
        body = bytearray()
        while (piece := await self.receive_piece()) is not None:
            body += piece
            if len(body) > max_bytes:
                raise BrokenAnswerError(f"the body has more than {max_bytes} bytes")
            self._count(len(body) - _FREE_BODY_BYTES)
        return bytes(body)

    def release_buffers(self) -> None:
        """Stop counting the last body against the budget."""
        if self._budget is not None:
            self._budget.give_back(self._counted_bytes)
        self._counted_bytes = 0

    def expect_another_answer(self) -> None:
        """Read on for the answer of this request, behind one of an earlier request."""
        assert self._request is not None
        rest = self._http.trailing_data[0]
        self._http = h11.Connection(h11.CLIENT)
        # The request was sent before; only the state of the parser is needed.
        self._encode()
        if rest:
            self._http.receive_data(rest)

    def close(self) -> None:
        """Close the socket; a server that is still at work sees it at once."""
        self.release_buffers()
        self._link.abort()

    def _count(self, size: int) -> None:
        """Count the bytes of a body; raise BrokenAnswerError where none are left."""
        more = size - self._counted_bytes
        if self._budget is None or more <= 0:
            return
        if not self._budget.take(more):
            raise BrokenAnswerError("no memory is left for the body")
        self._counted_bytes += more

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
                raise BrokenAnswerError(str(error)) from None
            if event is h11.PAUSED:
                raise BrokenAnswerError("bytes behind the answer")
            if event is not h11.NEED_DATA:
                return event
            data = await self._link.receive()
            self.received_any = self.received_any or bool(data)
            try:
                self._http.receive_data(data)
            except RuntimeError:
                raise BrokenAnswerError("bytes behind the end") from None


class CallClient:
    """Make calls to one server over one kept connection."""

    def __init__(self, address: Address, max_body_bytes: int = _MAX_BODY_BYTES) -> None:
        self._address = address
        self._max_body_bytes = max_body_bytes
        self._connection: CallConnection | None = None

    async def call(
        self, method: str, target: str, body: bytes = b"", content_type: str = ""
    ) -> tuple[int, bytes]:
        """Return status and body; raise OSError, TimeoutError or BrokenAnswerError.

        A call that fails, or that is cancelled by a time-out, costs the connection.
        """
        connection = self._connection
        self._connection = None
        if connection is None or not connection.is_reusable:
            self._discard(connection)
            connection = await CallConnection.open(self._address)
        headers = [(b"content-type", content_type.encode())] if content_type else []
        try:
            connection.send(method.encode(), target.encode(), headers, body)
            head = await connection.receive_head()
            answer = await connection.receive_body(self._max_body_bytes)
        except BaseException:
            connection.close()
            raise
        if connection.is_reusable:
            self._connection = connection
        else:
            connection.close()
        return head.status, answer

    def close(self) -> None:
        """Close the connection."""
        self._discard(self._connection)
        self._connection = None

    def _discard(self, connection: CallConnection | None) -> None:
        if connection is not None:
            connection.close()
