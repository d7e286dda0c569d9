"""Stand-in for a runner of a streaming service."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from messages import encode, read_message
from names import HEADER
from runner import Arrival, Runner

if TYPE_CHECKING:
    from messages import Message

_SLOTS = 6
_QUEUED = 4
_FIRST_EVENT_S = 0.3
_EVENT_GAP_S = 0.04
_EVENTS = 10


class StreamRunner(Runner):
    """Runner that answers each request with a stream of events.

    The head is sent when the request is taken, the first event once its prompt is read.
    """

    _slots: asyncio.Semaphore | None = None
    _taken = 0

    async def start(self) -> None:
        """Start to serve and to write heartbeats."""
        self._slots = asyncio.Semaphore(_SLOTS)
        await super().start()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while (request := await read_message(reader)) is not None:
                await self._stream(request, writer)
        except (OSError, asyncio.CancelledError):
            # The connection ends, or the case does.
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _stream(self, request: Message, writer: asyncio.StreamWriter) -> None:
        request_id = request.header(HEADER["attempt_id"])
        headers = {HEADER["attempt_id"]: request_id}
        if request.header(HEADER["expect_runner"]) not in ("", self.id):
            writer.write(encode("HTTP/1.1 421 Other", headers))
            return
        if self._taken >= _SLOTS + _QUEUED:
            headers[HEADER["not_executed"]] = "1"
            writer.write(encode("HTTP/1.1 503 Full", headers))
            return
        tenant = request.header(HEADER["tenant"])
        self.arrivals.append(
            Arrival(request_id, tenant, self.id, self.service, time.monotonic())
        )
        lines = [
            "HTTP/1.1 200 OK",
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
            f"{HEADER['attempt_id']}: {request_id}",
            f"{HEADER['seal']}: {self.id}.{len(self.arrivals)}",
        ]
        self._taken += 1
        try:
            writer.write("\r\n".join([*lines, "", ""]).encode())
            assert self._slots is not None
            async with self._slots:
                await self._send_events(request_id, writer)
        finally:
            self._taken -= 1
        self.answered.add(request_id)

    async def _send_events(self, request_id: str, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(_FIRST_EVENT_S)
        self.ran.append(request_id)
        for number in range(1, _EVENTS + 1):
            event = f"id: {number}\ndata: {request_id} {number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(_EVENT_GAP_S)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
