"""Stand-in for a runner of a service: plain answers and streams of events."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from world import HEADERS, Server, service_entry

if TYPE_CHECKING:
    from collections.abc import Callable

    from world import Connection, Record, Request


class Runner:
    """Runner with slots and a short queue, as PROTOCOL.md says."""

    def __init__(
        self,
        record: Record,
        service: str,
        id: str,
        host: str,
        port: int,
        slots: int = 6,
        work_s: float = 0.02,
        prefill_s: float = 0.05,
        events: int = 24,
        gap_s: float = 0.05,
    ) -> None:
        self.record, self.service, self.id = record, service, id
        self.host, self.port, self.slots = host, port, slots
        self.work_s, self.prefill_s = work_s, prefill_s
        self.events, self.gap_s = events, gap_s
        self.born = int(time.time() * 1000)
        # A request with these bytes in its body crashes the runner that begins it.
        self.crashes_on: bytes | None = None
        self.on_crash: Callable[[Runner], None] | None = None
        # A request with this path takes the machine of the runner down: no connection
        # is closed, and nothing is answered any more.
        self.goes_dark_on: str | None = None
        self._is_dark = asyncio.Event()
        self._never = asyncio.Event()
        self.running = 0
        # Streams that are read and have no event yet.
        self.starting = 0
        self.ran: list[str] = []
        self._connections: set[Connection] = set()
        self._server = Server(host, port, self._serve)

    @property
    def entry(self) -> dict:
        """Return the entry of the runner in the store."""
        return service_entry(
            self.service, f"{self.host}:{self.port}", self.slots, born=self.born
        )

    async def start(self) -> None:
        """Start it."""
        self.born = int(time.time() * 1000)
        await self._server.start()

    def crash(self) -> None:
        """End at once, as a killed process does: listener and connections."""
        self._server.stop()
        for connection in list(self._connections):
            connection.writer.transport.abort()
        self.record(f"runner {self.id} crashes with {self.running} requests")
        if self.on_crash is not None:
            self.on_crash(self)

    def end_darkness(self) -> None:
        """Close what the machine knew of before it went down."""
        self._server.stop()
        for connection in list(self._connections):
            connection.writer.transport.abort()
        self._connections.clear()
        self._is_dark.clear()
        self._server = Server(self.host, self.port, self._serve)

    async def _serve(self, connection: Connection, request: Request) -> None:
        self._connections.add(connection)
        if self._is_dark.is_set():
            await self._never.wait()
        id = request.get(HEADERS["attempt"].lower())
        fields = [f"{HEADERS['attempt']}: {id}"]
        if request.path == "/health":
            connection.answer(200, b"", f"{HEADERS['runner']}: {self.id}")
            return
        if request.get(HEADERS["expected"].lower()) not in ("", self.id):
            connection.answer(421, b"", *fields)
            return
        if self.running >= self.slots + 4:
            connection.answer(503, b"", *fields, f"{HEADERS['not_run']}: 1")
            return
        self.running += 1
        self.ran.append(id)
        fields.append(f"{HEADERS['seal']}: {self.id}.{len(self.ran)}")
        left_s = int(request.get(HEADERS["deadline"].lower()) or 60_000) / 1000
        try:
            async with asyncio.timeout(left_s):
                if request.path.startswith("/draft/"):
                    await self._stream(connection, request, fields)
                else:
                    await asyncio.sleep(self.work_s)
                    if self._is_dark.is_set() or request.path == self.goes_dark_on:
                        await self._stay_dark()
                    connection.answer(200, f"{id} done".encode(), *fields)
        except TimeoutError:
            connection.writer.transport.abort()
        finally:
            self.running -= 1

    async def _stream(
        self, connection: Connection, request: Request, fields: list[str]
    ) -> None:
        lines = [
            "HTTP/1.1 200 OK",
            *fields,
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
        ]
        connection.write("\r\n".join([*lines, "", ""]).encode())
        first = int(request.get("last-event-id") or 0) + 1
        self.starting += 1
        try:
            await self._pause(connection, self.prefill_s)
            if self.crashes_on is not None and self.crashes_on in request.body:
                self.crash()
                raise ConnectionResetError
        finally:
            self.starting -= 1
        for number in range(first, self.events + 1):
            event = f"id: {number}\ndata: token {number}\n\n".encode()
            connection.write(b"%x\r\n%s\r\n" % (len(event), event))
            await connection.writer.drain()
            if number < self.events:
                await self._pause(connection, self.gap_s)
        connection.write(b"0\r\n\r\n")

    async def _stay_dark(self) -> None:
        if not self._is_dark.is_set():
            self._is_dark.set()
            self.record(f"runner {self.id} goes dark with {self.running} requests")
            if self.on_crash is not None:
                self.on_crash(self)
        await self._never.wait()

    async def _pause(self, connection: Connection, seconds: float) -> None:
        """Wait; drop the request if its connection has closed meanwhile."""
        await asyncio.sleep(seconds)
        if connection.writer.is_closing() or connection.reader.at_eof():
            raise ConnectionResetError
