"""TCP proxy whose connections can go silent without an end."""

from __future__ import annotations

import asyncio

from sardineyard.core.address import Address


class BlackholeProxy:
    """TCP proxy in front of a server that can drop all bytes of a connection.

    A blackholed connection stays open and is never reset, on both sides.
    """

    def __init__(self, target: Address) -> None:
        self._target = target
        self._server: asyncio.Server | None = None
        self._blackholed: set[int] = set()
        self._writers: dict[int, tuple[asyncio.StreamWriter, ...]] = {}
        self._count = 0
        self.blackholes_new = False

    @property
    def address(self) -> Address:
        """Return the address on which the proxy listens."""
        assert self._server is not None
        return Address(*self._server.sockets[0].getsockname())

    async def start(self) -> None:
        """Listen on a port that the operating system chooses."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)

    def blackhole_open(self) -> None:
        """Drop all further bytes of the connections that are open now."""
        self._blackholed.update(range(self._count))

    def close_blackholed(self) -> None:
        """Close the blackholed connections, as a recovered network would."""
        for number in self._blackholed:
            for writer in self._writers.pop(number, ()):
                writer.close()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        number, self._count = self._count, self._count + 1
        if self.blackholes_new:
            self._blackholed.add(number)
        try:
            far_reader, far_writer = await asyncio.open_connection(
                self._target.host, self._target.port
            )
        except OSError:
            writer.close()
            return
        self._writers[number] = (writer, far_writer)
        await asyncio.gather(
            self._relay(number, reader, far_writer),
            self._relay(number, far_reader, writer),
        )

    async def _relay(
        self, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while data := await reader.read(65_536):
                if number not in self._blackholed:
                    writer.write(data)
        except OSError:
            pass
        if number not in self._blackholed:
            writer.close()
