"""HTTP/1.1 server: one task owns each connection."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, TypeAlias

import h11

from sardineyard.core.errors import ErrorKind
from sardineyard.httpio.exchange import Exchange
from sardineyard.httpio.messages import HttpRequest

if TYPE_CHECKING:
    from sardineyard.core.address import Address
    from sardineyard.httpio.messages import HttpLimits

_logger = logging.getLogger(__name__)

Handler: TypeAlias = Callable[[HttpRequest, Exchange], Awaitable[None]]
# Responds to a request that could not be read.
RefusalHandler: TypeAlias = Callable[[ErrorKind, str, Exchange], Awaitable[None]]

_READ_BYTES = 65_536


class _RefusedError(Exception):
    """Request that breaks the protocol or a limit."""

    def __init__(self, kind: ErrorKind, detail: str) -> None:
        super().__init__(detail)
        self.kind = kind
        self.detail = detail


class HttpServer:
    """HTTP server that runs one task for each accepted connection."""

    def __init__(
        self,
        address: Address,
        handler: Handler,
        refuse: RefusalHandler,
        limits: HttpLimits,
    ) -> None:
        self._address = address
        self._handler = handler
        self._refuse = refuse
        self._limits = limits
        self._connections: set[ServerConnection] = set()
        self._server: asyncio.Server | None = None

    @property
    def open_connections(self) -> int:
        """Return the number of open connections."""
        return len(self._connections)

    @property
    def port(self) -> int:
        """Return the port on which the server listens."""
        assert self._server is not None
        return int(self._server.sockets[0].getsockname()[1])

    def use_limits(self, limits: HttpLimits) -> None:
        """Set the limits of connections that are accepted from now on."""
        self._limits = limits

    async def start(self) -> None:
        """Start listening."""
        self._server = await asyncio.start_server(
            self._accept, self._address.host, self._address.port, backlog=1024
        )

    async def stop_listening(self) -> None:
        """Stop accepting connections and close the idle ones."""
        if self._server is not None:
            self._server.close()
        for connection in list(self._connections):
            connection.drain()

    async def close(self) -> None:
        """Stop listening and abort every open connection."""
        await self.stop_listening()
        for connection in list(self._connections):
            connection.abort()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if len(self._connections) >= self._limits.max_connections:
            writer.transport.abort()
            return
        connection = ServerConnection(
            reader, writer, self._handler, self._refuse, self._limits
        )
        self._connections.add(connection)
        try:
            await connection.run()
        finally:
            self._connections.discard(connection)


class ServerConnection:
    """Accepted connection, which serves its requests one after another."""

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        handler: Handler,
        refuse: RefusalHandler,
        limits: HttpLimits,
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._handler = handler
        self._refuse = refuse
        self._limits = limits
        self._http = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits.max_head_bytes
        )
        self._busy = False
        self._draining = False

    def drain(self) -> None:
        """Close the connection after the request in progress, if any."""
        self._draining = True
        if not self._busy:
            self._writer.close()

    def abort(self) -> None:
        """Abort the connection."""
        self._writer.transport.abort()

    async def run(self) -> None:
        """Serve requests until the connection ends."""
        try:
            while await self._serve_one():
                self._http.start_next_cycle()
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            pass
        except h11.LocalProtocolError:
            # The handler ended without completing the response; the abort lets the
            # peer detect the truncated body.
            self.abort()
        except asyncio.CancelledError:
            self.abort()
        finally:
            self._writer.close()

    async def _serve_one(self) -> bool:
        exchange = Exchange(self._http, self._writer, self._limits.write_timeout_s)
        try:
            request = await self._read_request()
        except _RefusedError as refusal:
            await self._refuse(refusal.kind, refusal.detail, exchange)
            return False
        if request is None:
            return False
        self._busy = True
        try:
            await self._run_handler(request, exchange)
        finally:
            self._busy = False
        if not exchange.finished:
            self.abort()
            return False
        return not self._draining and self._http.our_state is h11.DONE

    async def _run_handler(self, request: HttpRequest, exchange: Exchange) -> None:
        loop = asyncio.get_running_loop()
        handler = loop.create_task(_call_handler(self._handler, request, exchange))
        watcher = loop.create_task(self._wait_for_disconnect())
        try:
            await asyncio.wait({handler, watcher}, return_when=asyncio.FIRST_COMPLETED)
        finally:
            watcher.cancel()
            if not handler.done():
                handler.cancel()
            await asyncio.gather(handler, watcher, return_exceptions=True)

    async def _wait_for_disconnect(self) -> None:
        # Bytes of a pipelined request are buffered for the next cycle, up to the
        # size of one head.
        buffered = 0
        while buffered <= self._limits.max_head_bytes:
            data = await self._reader.read(_READ_BYTES)
            if not data:
                return
            buffered += len(data)
            self._http.receive_data(data)
        await asyncio.get_running_loop().create_future()

    async def _read_request(self) -> HttpRequest | None:
        try:
            async with asyncio.timeout(self._limits.idle_timeout_s):
                if self._http.trailing_data[0] == b"":
                    first = await self._reader.read(_READ_BYTES)
                    if not first:
                        return None
                    self._http.receive_data(first)
        except TimeoutError:
            return None
        head = await self._read_head()
        if head is None:
            return None
        body = await self._read_body(head)
        return HttpRequest(
            method=head.method.decode(),
            target=head.target.decode("ascii", "replace"),
            headers={
                name.decode("latin-1"): value.decode("latin-1")
                for name, value in head.headers
            },
            body=body,
        )

    async def _read_head(self) -> h11.Request | None:
        try:
            async with asyncio.timeout(self._limits.head_timeout_s):
                event = await self._next_event()
        except TimeoutError:
            raise _RefusedError(
                ErrorKind.REQUEST_TIMEOUT, "the head was not complete in time"
            ) from None
        if not isinstance(event, h11.Request):
            return None
        # h11 limits the size of a head only while it is incomplete; this check
        # covers a head that arrives in a single read.
        if _head_bytes(event) > self._limits.max_head_bytes:
            raise _RefusedError(
                ErrorKind.HEAD_TOO_LARGE,
                f"more than {self._limits.max_head_bytes} bytes",
            )
        return event

    async def _read_body(self, head: h11.Request) -> bytes:
        body = bytearray()
        if self._http.they_are_waiting_for_100_continue:
            data = self._http.send(
                h11.InformationalResponse(status_code=100, headers=[])
            )
            self._writer.write(data or b"")
        try:
            async with asyncio.timeout(self._limits.body_timeout_s):
                while True:
                    event = await self._next_event()
                    if isinstance(event, h11.Data):
                        body += event.data
                        if len(body) > self._limits.max_body_bytes:
                            raise _RefusedError(
                                ErrorKind.BODY_TOO_LARGE,
                                f"more than {self._limits.max_body_bytes} bytes",
                            )
                    else:
                        return bytes(body)
        except TimeoutError:
            raise _RefusedError(
                ErrorKind.REQUEST_TIMEOUT, "the body was not complete in time"
            ) from None

    async def _next_event(self) -> object:
        while True:
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError as error:
                kind = (
                    ErrorKind.HEAD_TOO_LARGE
                    if error.error_status_hint == 431
                    else ErrorKind.BAD_REQUEST
                )
                raise _RefusedError(kind, str(error)) from None
            if event is not h11.NEED_DATA:
                return event
            data = await self._reader.read(_READ_BYTES)
            if not data and self._http.their_state is not h11.IDLE:
                raise ConnectionResetError("the peer closed in the middle of a request")
            self._http.receive_data(data)


def _head_bytes(head: h11.Request) -> int:
    fields = sum(len(name) + len(value) for name, value in head.headers)
    return len(head.method) + len(head.target) + fields


async def _call_handler(
    handler: Handler, request: HttpRequest, exchange: Exchange
) -> None:
    """Run a handler; an error in it ends only this exchange."""
    try:
        await handler(request, exchange)
    except (ConnectionError, TimeoutError):
        pass
    except Exception:
        _logger.exception("request handler failed", extra={"event": "handler_failed"})
