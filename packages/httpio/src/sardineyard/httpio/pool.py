"""Pool of idle client connections to one address."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sardineyard.httpio.client import ClientConnection

if TYPE_CHECKING:
    from sardineyard.core.address import Address


class ConnectionPool:
    """Connections to one address, each of which one task uses at a time."""

    def __init__(self, address: Address, max_idle: int = 64) -> None:
        self._address = address
        self._max_idle = max_idle
        self._idle: list[ClientConnection] = []

    @property
    def idle(self) -> int:
        """Return the number of idle connections."""
        return len(self._idle)

    async def acquire(self, *, fresh: bool = False) -> ClientConnection:
        """Return an idle connection, or a new one if none is idle or `fresh` is set.

        The server may have closed an idle connection, which is only detected after
        sending. Calls that must not be retried therefore use a fresh one.
        """
        while self._idle and not fresh:
            connection = self._idle.pop()
            if connection.reusable:
                connection.start_next_exchange()
                return connection
            connection.close()
        return await ClientConnection.open(self._address)

    def release(self, connection: ClientConnection) -> None:
        """Return a connection to the pool; close it if its exchange is incomplete."""
        if connection.reusable and len(self._idle) < self._max_idle:
            self._idle.append(connection)
        else:
            connection.close()

    def close(self) -> None:
        """Close the idle connections."""
        while self._idle:
            self._idle.pop().close()
