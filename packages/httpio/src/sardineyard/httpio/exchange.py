"""The response side of one HTTP exchange."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import h11

if TYPE_CHECKING:
    from collections.abc import Mapping


class Exchange:
    """Writer of one response, complete or in chunks, to the peer of a connection."""

    def __init__(
        self,
        connection: h11.Connection,
        writer: asyncio.StreamWriter,
        write_timeout_s: float,
    ) -> None:
        self._connection = connection
        self._writer = writer
        self._write_timeout_s = write_timeout_s
        self._started = False
        self._finished = False

    @property
    def started(self) -> bool:
        """Return whether the response head was sent."""
        return self._started

    @property
    def finished(self) -> bool:
        """Return whether the complete response was sent."""
        return self._finished

    async def send(
        self, status: int, headers: Mapping[str, str], body: bytes = b""
    ) -> None:
        """Send a complete response."""
        await self.start(status, {**headers, "content-length": str(len(body))})
        if body:
            await self.write(body)
        await self.finish()

    async def start(self, status: int, headers: Mapping[str, str]) -> None:
        """Send the response head."""
        self._started = True
        self._emit(
            h11.Response(
                status_code=status,
                headers=[
                    (name.encode(), value.encode()) for name, value in headers.items()
                ],
            )
        )
        await self._drain()

    async def write(self, data: bytes) -> None:
        """Send a chunk of the body."""
        self._emit(h11.Data(data=data))
        await self._drain()

    async def finish(self) -> None:
        """Send the end of the body, which marks it as complete."""
        self._emit(h11.EndOfMessage())
        self._finished = True
        await self._drain()

    def _emit(self, event: h11.Event) -> None:
        data = self._connection.send(event)
        if data:
            self._writer.write(data)

    async def _drain(self) -> None:
        # Below the high-water mark drain() would return at once; the timer is only
        # set up when the peer reads too slowly.
        if self._writer.transport.get_write_buffer_size() < _HIGH_WATER_BYTES:
            if self._writer.transport.is_closing():
                raise ConnectionResetError("the peer closed the connection")
            return
        async with asyncio.timeout(self._write_timeout_s):
            await self._writer.drain()


_HIGH_WATER_BYTES = 65_536
