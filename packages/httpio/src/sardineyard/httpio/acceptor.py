"""HTTP/1.1 server that cancels a handler when its client disconnects."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, TypeAlias

import h11

from sardineyard.core.errors import ErrorKind
from sardineyard.httpio.fields import find
from sardineyard.httpio.listener import FIRST_REQUEST_GRACE_S, Listener
from sardineyard.httpio.request_reader import (
    IncomingRequest,
    RequestReader,
    RequestRefusedError,
)
from sardineyard.httpio.socket_stream import MAX_WRITE_BYTES, SocketStream

if TYPE_CHECKING:
    from sardineyard.core.address import Address
    from sardineyard.httpio.buffers import BufferBudget
    from sardineyard.httpio.fields import HeaderList
    from sardineyard.httpio.request_reader import (
        AcceptLimits,
    )

_logger = logging.getLogger(__name__)

# Time for one write, after which a client that reads too slowly is disconnected.
_WRITE_TIMEOUT_S = 10.0
# Limits on reading and discarding the input of a refused client, which may still be
# sending: an immediate close would reset the connection, and the client would lose
# the response before reading it.
_LINGER_S = 1.0
_LINGER_BYTES = 8_388_608
_BACKLOG = 512
# Connections beyond the limit whose next request is refused. Further ones are reset.
_MAX_REFUSED_CONNECTIONS = 64
# Idle time in seconds from which a connection may be closed to make room for another:
# a client that has just connected sends its first request within this time.
_MIN_IDLE_S = FIRST_REQUEST_GRACE_S


class ResponseWriter:
    """Writer of one response, complete or in chunks."""

    def __init__(
        self,
        http: h11.Connection,
        stream: SocketStream,
        should_close: Callable[[], bool],
    ) -> None:
        self._http = http
        self._stream = stream
        self._should_close = should_close
        # Whether the response head carries `Connection: close`.
        self.closes_connection = False
        self.is_started = False
        self.is_finished = False

    async def send(self, status: int, headers: HeaderList, body: bytes) -> None:
        """Send a complete response; raise OSError or TimeoutError."""
        length = (b"content-length", b"%d" % len(body))
        data = self._encode_head(status, [*headers, length])
        for start in range(0, len(body), MAX_WRITE_BYTES):
            if start > 0:
                self._stream.write(data)
                await self._stream.flush(_WRITE_TIMEOUT_S)
                data = b""
            piece = body[start : start + MAX_WRITE_BYTES]
            data += self._http.send(h11.Data(data=piece)) or b""
        self._stream.write(data + self._encode_end())
        await self._stream.flush(_WRITE_TIMEOUT_S)

    async def start(self, status: int, headers: HeaderList) -> None:
        """Send the head of a response whose length is not known."""
        self._stream.write(self._encode_head(status, headers))
        await self._stream.flush(_WRITE_TIMEOUT_S)

    async def write(self, data: bytes) -> None:
        """Send a chunk of the body."""
        self._stream.write(self._http.send(h11.Data(data=data)) or b"")
        await self._stream.flush(_WRITE_TIMEOUT_S)

    async def finish(self) -> None:
        """Send the end of the body, which marks it as complete."""
        self._stream.write(self._encode_end())
        await self._stream.flush(_WRITE_TIMEOUT_S)

    def _encode_head(self, status: int, headers: HeaderList) -> bytes:
        self.is_started = True
        self.closes_connection = self._should_close()
        if self.closes_connection:
            headers = [*headers, (b"connection", b"close")]
        head = h11.Response(status_code=status, headers=headers)
        return self._http.send(head) or b""

    def _encode_end(self) -> bytes:
        data = self._http.send(h11.EndOfMessage()) or b""
        self.is_finished = True
        return data


Handler: TypeAlias = Callable[[IncomingRequest, ResponseWriter], Awaitable[None]]
# Responds to a request that could not be read completely, with the headers that were.
RefusalHandler: TypeAlias = Callable[
    [ErrorKind, str, "HeaderList", ResponseWriter], Awaitable[None]
]


class Acceptor:
    """HTTP server with strict parsing; runs one task for each connection."""

    def __init__(
        self,
        address: Address,
        handler: Handler,
        refuse: RefusalHandler,
        limits: Callable[[], AcceptLimits],
        max_connections: int,
        body_budget: BufferBudget,
    ) -> None:
        self._listener = Listener(address, _BACKLOG, lambda: SocketStream(self._accept))
        self._handler = handler
        self._refuse = refuse
        self._limits = limits
        self._max_connections = max_connections
        self._body_budget = body_budget
        self._connections: dict[asyncio.Task[None], _AcceptedConnection] = {}
        self._closes_after_response = False

    @property
    def open_connections(self) -> int:
        """Return the number of open connections."""
        return len(self._connections) + self._listener.accepting

    @property
    def port(self) -> int:
        """Return the port on which the server listens."""
        return self._listener.port

    @property
    def closes_after_response(self) -> bool:
        """Return whether each connection closes after its next response."""
        return self._closes_after_response

    async def start(self) -> None:
        """Start listening."""
        await self._listener.start()

    def close_after_responses(self) -> None:
        """Close each connection after its next response."""
        self._closes_after_response = True

    def stop_listening(self) -> None:
        """Stop accepting connections and close those without a request."""
        self._closes_after_response = True
        self._listener.close()
        for connection in self._connections.values():
            connection.close_if_idle()

    async def close(self) -> None:
        """Stop listening and abort every open connection."""
        self.stop_listening()
        tasks = list(self._connections)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _accept(self, stream: SocketStream) -> None:
        excess = len(self._connections) + 1 - self._max_connections
        is_refused = excess > 0 and not self._close_longest_idle()
        if is_refused:
            is_reset = excess > _MAX_REFUSED_CONNECTIONS
            _logger.warning(
                "connection limit reached",
                extra={
                    "event": "connection_limit",
                    "open": len(self._connections),
                    "new_connection": "reset" if is_reset else "refused",
                },
            )
            if is_reset:
                stream.abort()
                return
        connection = _AcceptedConnection(
            self,
            stream,
            self._handler,
            self._refuse,
            self._body_budget,
            is_refused=is_refused,
        )
        task = asyncio.get_running_loop().create_task(connection.run(self._limits))
        self._connections[task] = connection
        task.add_done_callback(self._on_task_done)
        if self._listener.is_closed:
            loop = asyncio.get_running_loop()
            loop.call_later(FIRST_REQUEST_GRACE_S, connection.close_if_idle)

    def _close_longest_idle(self) -> bool:
        """Close the connection that is idle for longest; return whether there is one.

        Its client may open another one, whereas a new client has none at all.
        """
        idle_before = asyncio.get_running_loop().time() - _MIN_IDLE_S
        idle = [
            connection
            for connection in self._connections.values()
            if connection.is_idle and connection.idle_since < idle_before
        ]
        if not idle:
            return False
        min(idle, key=lambda connection: connection.idle_since).close_if_idle()
        return True

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self._connections.pop(task, None)
        if not task.cancelled() and task.exception() is not None:
            _logger.error(
                "connection task failed",
                extra={"event": "connection_failed"},
                exc_info=task.exception(),
            )


class _AcceptedConnection:
    """Accepted connection, which serves its requests one after another."""

    def __init__(
        self,
        acceptor: Acceptor,
        stream: SocketStream,
        handler: Handler,
        refuse: RefusalHandler,
        body_budget: BufferBudget,
        *,
        is_refused: bool,
    ) -> None:
        self._acceptor = acceptor
        self._stream = stream
        self._handler = handler
        self._refuse = refuse
        self._reader = RequestReader(stream, body_budget)
        # Whether the connection is beyond the limit, so that its request is refused.
        self._is_refused = is_refused
        self._is_responding = False
        self._is_closed = False
        # Monotonic time of the accept or of the last response.
        self.idle_since = asyncio.get_running_loop().time()

    @property
    def is_idle(self) -> bool:
        """Return whether no request is in progress or received."""
        return (
            self._reader.is_idle
            and not self._stream.has_input
            and not self._is_responding
            and not self._is_closed
        )

    def close_if_idle(self) -> None:
        """Close the connection if no request is in progress or received."""
        if self.is_idle:
            self._is_closed = True
            self._stream.close()

    async def run(self, limits: Callable[[], AcceptLimits]) -> None:
        """Serve requests until the connection ends."""
        try:
            while await self._serve_one(limits()):
                pass
        except (OSError, TimeoutError):
            self._stream.abort()
        except asyncio.CancelledError:
            self._stream.abort()
            raise
        finally:
            self._reader.release_body()
            self._stream.close()

    async def _serve_one(self, limits: AcceptLimits) -> bool:
        http = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits.max_head_bytes
        )
        try:
            request = await self._reader.read(http, limits)
            if request is not None and self._is_refused:
                raise RequestRefusedError(
                    ErrorKind.OVERLOADED, "too many connections", request.headers
                )
        except RequestRefusedError as refusal:
            response = ResponseWriter(http, self._stream, lambda: True)
            await self._refuse(refusal.kind, refusal.detail, refusal.headers, response)
            await self._linger()
            return False
        if request is None:
            return False
        response = ResponseWriter(
            http, self._stream, lambda: self._acceptor.closes_after_response
        )
        self._is_responding = True
        await self._run_handler(request, response)
        self._is_responding = False
        self.idle_since = asyncio.get_running_loop().time()
        if not response.is_finished:
            # Abort, so that the client does not accept a partial response as complete.
            self._stream.abort()
            return False
        # The head may have been sent without `Connection: close` before the shutdown.
        closes_connection = (
            response.closes_connection or self._acceptor.closes_after_response
        )
        return (
            not closes_connection
            and http.our_state is h11.DONE
            and not self._stream.ended.is_set()
        )

    async def _run_handler(
        self, request: IncomingRequest, response: ResponseWriter
    ) -> None:
        loop = asyncio.get_running_loop()
        handler = loop.create_task(_call_handler(self._handler, request, response))
        disconnect = loop.create_task(self._stream.ended.wait())
        try:
            await asyncio.wait(
                {handler, disconnect}, return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            disconnect.cancel()
            handler.cancel()
            await asyncio.gather(handler, return_exceptions=True)

    async def _linger(self) -> None:
        remaining_bytes = _LINGER_BYTES
        try:
            async with asyncio.timeout(_LINGER_S):
                while remaining_bytes > 0 and (data := await self._stream.receive()):
                    remaining_bytes -= len(data)
        except (TimeoutError, OSError):
            # The client had enough time to read the response.
            return


async def _call_handler(
    handler: Handler, request: IncomingRequest, response: ResponseWriter
) -> None:
    """Run a handler; an error in it ends only this exchange."""
    try:
        await handler(request, response)
    except (OSError, TimeoutError) as error:
        _logger.info(
            "response could not be delivered",
            extra={
                "event": "answer_undelivered",
                "request_id": find(request.headers, b"x-request-id").decode("latin-1"),
                "reason": f"{type(error).__name__}: {error}",
            },
        )
    except Exception:
        _logger.exception("request handler failed", extra={"event": "handler_failed"})
