"""HTTP/1.1 server that cancels a handler as soon as its client is gone."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, TypeAlias

import h11

from sardineyard.core.errors import ErrorKind
from sardineyard.httpio.fields import find
from sardineyard.httpio.link import SocketLink
from sardineyard.httpio.request_reader import (
    IncomingRequest,
    RequestReader,
    RequestRefusedError,
)

if TYPE_CHECKING:
    from sardineyard.core.address import Address
    from sardineyard.httpio.fields import HeaderList
    from sardineyard.httpio.request_reader import (
        AcceptLimits,
    )

_logger = logging.getLogger(__name__)

# A client that reads nothing for this long is given up.
_WRITE_TIMEOUT_S = 10.0
# A refused client may still be sending; closing at once would reset the connection
# and destroy the answer before the client has read it.
_LINGER_S = 1.0
_LINGER_BYTES = 8_388_608
_BACKLOG = 512


class Answer:
    """Write one answer, whole or in pieces."""

    def __init__(
        self, http: h11.Connection, link: SocketLink, closes: Callable[[], bool]
    ) -> None:
        self._http = http
        self._link = link
        self._closes = closes
        # Whether the client was told that the connection ends with this answer.
        self.is_last = False
        self.is_started = False
        self.is_finished = False

    async def send(self, status: int, headers: HeaderList, body: bytes) -> None:
        """Send a whole answer; raise OSError or TimeoutError."""
        length = (b"content-length", b"%d" % len(body))
        data = self._head(status, [*headers, length])
        if body:
            data += self._http.send(h11.Data(data=body)) or b""
        self._link.write(data + self._end())
        await self._link.flush(_WRITE_TIMEOUT_S)

    async def start(self, status: int, headers: HeaderList) -> None:
        """Send the head of an answer whose length is not known."""
        self._link.write(self._head(status, headers))
        await self._link.flush(_WRITE_TIMEOUT_S)

    async def write(self, data: bytes) -> None:
        """Send a piece of the body."""
        self._link.write(self._http.send(h11.Data(data=data)) or b"")
        await self._link.flush(_WRITE_TIMEOUT_S)

    async def finish(self) -> None:
        """Mark the body as whole."""
        self._link.write(self._end())
        await self._link.flush(_WRITE_TIMEOUT_S)

    def _head(self, status: int, headers: HeaderList) -> bytes:
        self.is_started = True
        self.is_last = self._closes()
        if self.is_last:
            headers = [*headers, (b"connection", b"close")]
        response = h11.Response(status_code=status, headers=headers)
        return self._http.send(response) or b""

    def _end(self) -> bytes:
        data = self._http.send(h11.EndOfMessage()) or b""
        self.is_finished = True
        return data


Handler: TypeAlias = Callable[[IncomingRequest, Answer], Awaitable[None]]
# Answers a request that could not be read.
Refuse: TypeAlias = Callable[[ErrorKind, str, Answer], Awaitable[None]]


class Acceptor:
    """Listen on an address and run one task for each connection."""

    def __init__(
        self,
        address: Address,
        handler: Handler,
        refuse: Refuse,
        limits: Callable[[], AcceptLimits],
        max_connections: int,
    ) -> None:
        self._address = address
        self._handler = handler
        self._refuse = refuse
        self._limits = limits
        self._max_connections = max_connections
        self._connections: dict[asyncio.Task[None], _AcceptedConnection] = {}
        self._server: asyncio.Server | None = None
        self._closes_after_answer = False

    @property
    def open_connections(self) -> int:
        """Return the number of open connections."""
        return len(self._connections)

    @property
    def port(self) -> int:
        """Return the port on which the server listens."""
        assert self._server is not None
        return int(self._server.sockets[0].getsockname()[1])

    @property
    def closes_after_answer(self) -> bool:
        """Return whether each connection ends with its next answer."""
        return self._closes_after_answer

    async def start(self) -> None:
        """Start to listen."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: SocketLink(self._accept),
            self._address.host,
            self._address.port,
            backlog=_BACKLOG,
        )

    def close_after_answers(self) -> None:
        """Let each connection end with its next answer."""
        self._closes_after_answer = True

    def stop_listening(self) -> None:
        """Accept no more connections and close those without a request."""
        if self._server is not None:
            self._server.close()
        for connection in self._connections.values():
            connection.close_if_idle()

    async def close(self) -> None:
        """Stop listening and cut every open connection."""
        self.stop_listening()
        tasks = list(self._connections)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _accept(self, link: SocketLink) -> None:
        if len(self._connections) >= self._max_connections:
            _logger.warning(
                "too many connections, the new one is closed",
                extra={"event": "connection_limit", "open": len(self._connections)},
            )
            link.abort()
            return
        connection = _AcceptedConnection(self, link, self._handler, self._refuse)
        task = asyncio.get_running_loop().create_task(connection.run(self._limits))
        self._connections[task] = connection
        task.add_done_callback(self._ended)

    def _ended(self, task: asyncio.Task[None]) -> None:
        self._connections.pop(task, None)
        if not task.cancelled() and task.exception() is not None:
            _logger.error(
                "a connection failed",
                extra={"event": "connection_failed"},
                exc_info=task.exception(),
            )


class _AcceptedConnection:
    """Own one accepted socket and serve its requests in turn."""

    def __init__(
        self, acceptor: Acceptor, link: SocketLink, handler: Handler, refuse: Refuse
    ) -> None:
        self._acceptor = acceptor
        self._link = link
        self._handler = handler
        self._refuse = refuse
        self._reader = RequestReader(link)
        self._is_answering = False

    def close_if_idle(self) -> None:
        """Close the connection when no request is on it."""
        if self._reader.is_idle and not self._is_answering:
            self._link.close()

    async def run(self, limits: Callable[[], AcceptLimits]) -> None:
        """Serve requests until the connection ends."""
        try:
            while await self._serve_one(limits()):
                pass
        except (OSError, TimeoutError):
            self._link.abort()
        except asyncio.CancelledError:
            self._link.abort()
            raise
        finally:
            self._link.close()

    async def _serve_one(self, limits: AcceptLimits) -> bool:
        http = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits.max_head_bytes
        )
        try:
            request = await self._reader.read(http, limits)
        except RequestRefusedError as refusal:
            answer = Answer(http, self._link, lambda: True)
            await self._refuse(refusal.kind, refusal.detail, answer)
            await self._linger()
            return False
        if request is None:
            return False
        answer = Answer(http, self._link, lambda: self._acceptor.closes_after_answer)
        self._is_answering = True
        await self._run_handler(request, answer)
        self._is_answering = False
        if not answer.is_finished:
            # The client must not take the answer for a complete one.
            self._link.abort()
            return False
        # An answer whose head was sent before may not have announced the end.
        is_last = answer.is_last or self._acceptor.closes_after_answer
        return (
            not is_last and http.our_state is h11.DONE and not self._link.ended.is_set()
        )

    async def _run_handler(self, request: IncomingRequest, answer: Answer) -> None:
        loop = asyncio.get_running_loop()
        handler = loop.create_task(_run(self._handler, request, answer))
        gone = loop.create_task(self._link.ended.wait())
        try:
            await asyncio.wait({handler, gone}, return_when=asyncio.FIRST_COMPLETED)
        finally:
            gone.cancel()
            handler.cancel()
            await asyncio.gather(handler, return_exceptions=True)

    async def _linger(self) -> None:
        left = _LINGER_BYTES
        try:
            async with asyncio.timeout(_LINGER_S):
                while left > 0 and (data := await self._link.receive()):
                    left -= len(data)
        except (TimeoutError, OSError):
            # The client had its time to read the answer.
            return


async def _run(handler: Handler, request: IncomingRequest, answer: Answer) -> None:
    """Run a handler; an error in it ends this exchange and not the process."""
    try:
        await handler(request, answer)
    except (OSError, TimeoutError) as error:
        _logger.info(
            "an answer could not be delivered",
            extra={
                "event": "answer_undelivered",
                "request_id": find(request.headers, b"x-request-id").decode("latin-1"),
                "reason": f"{type(error).__name__}: {error}",
            },
        )
    except Exception:
        _logger.exception("handler failed", extra={"event": "handler_failed"})
