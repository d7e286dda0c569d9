"""Listening socket that loses no connection when it is closed."""

from __future__ import annotations

import asyncio
import socket
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from sardineyard.core.address import Address

# Time for which a connection that was accepted during the stop may wait for its first
# request; clients send it within a round trip.
FIRST_REQUEST_GRACE_S = 0.25


class Listener:
    """Owner of a listening socket and of the connections that wait in its backlog."""

    def __init__(
        self,
        address: Address,
        backlog: int,
        new_protocol: Callable[[], asyncio.BaseProtocol],
    ) -> None:
        self._address = address
        self._backlog = backlog
        self._new_protocol = new_protocol
        self._socket: socket.socket | None = None
        self._server: asyncio.Server | None = None
        self._accepting: set[asyncio.Task[object]] = set()

    @property
    def port(self) -> int:
        """Return the port on which the socket listens."""
        assert self._server is not None
        return int(self._server.sockets[0].getsockname()[1])

    @property
    def is_closed(self) -> bool:
        """Return whether the socket is closed."""
        return self._socket is None

    @property
    def accepting(self) -> int:
        """Return the number of connections that are being handed over."""
        return len(self._accepting)

    async def start(self) -> None:
        """Start listening."""
        family = socket.AF_INET6 if ":" in self._address.host else socket.AF_INET
        listening = socket.socket(family, socket.SOCK_STREAM)
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listening.setblocking(False)
        listening.bind((self._address.host, self._address.port))
        self._socket = listening
        self._server = await asyncio.get_running_loop().create_server(
            self._new_protocol, sock=listening, backlog=self._backlog
        )

    def close(self) -> None:
        """Accept the connections that wait in the backlog and stop listening.

        The kernel resets those that are still waiting when the socket is closed.
        """
        if self._socket is None or self._server is None:
            return
        for _ in range(self._backlog):
            try:
                connection, _ = self._socket.accept()
            except OSError:
                # No connection waits any more, or the client has left.
                break
            connection.setblocking(False)
            self._hand_over(connection)
        self._server.close()
        self._socket = None

    def _hand_over(self, connection: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        task: asyncio.Task[object] = loop.create_task(
            loop.connect_accepted_socket(self._new_protocol, connection)
        )
        self._accepting.add(task)
        task.add_done_callback(self._accepting.discard)
