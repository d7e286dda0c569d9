"""HTTP server of the console."""

from __future__ import annotations

import asyncio
import logging
import signal
from typing import TYPE_CHECKING

from sardineyard.console.editor import Editor
from sardineyard.console.routes import Routes
from sardineyard.core.tasks import TaskSet
from sardineyard.httpio.messages import HttpLimits
from sardineyard.httpio.server import HttpServer

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

    from sardineyard.core.address import Address
    from sardineyard.core.errors import ErrorKind
    from sardineyard.document.model import Document
    from sardineyard.httpio.exchange import Exchange

_logger = logging.getLogger(__name__)
# Sized for one operator with a few browser tabs.
_LIMITS = HttpLimits(max_connections=50, max_body_bytes=262_144)


class ConsoleServer:
    """Console: the editor task and the HTTP server of its forms."""

    def __init__(
        self, address: Address, document: Document, output: Path | None
    ) -> None:
        self._tasks = TaskSet()
        self._editor = Editor(document)
        routes = Routes(self._editor.mailbox, output)
        self._server = HttpServer(address, routes.handle, _send_refusal, _LIMITS)

    @property
    def port(self) -> int:
        """Return the port on which the server listens."""
        return self._server.port

    async def start(self) -> None:
        """Start the editor task and listen."""
        self._tasks.start("editor", self._editor.run())
        await self._server.start()

    async def close(self) -> None:
        """Stop listening and cancel the editor task."""
        await self._server.close()
        await self._tasks.cancel_all()


async def serve(
    address: Address,
    document: Document,
    output: Path | None,
    announce: Callable[[str], None],
) -> None:
    """Serve the forms until SIGINT or SIGTERM."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, stop.set)
    server = ConsoleServer(address, document, output)
    await server.start()
    host = f"[{address.host}]" if ":" in address.host else address.host
    announce(f"http://{host}:{server.port}/")
    await stop.wait()
    await server.close()


async def _send_refusal(kind: ErrorKind, detail: str, exchange: Exchange) -> None:
    _logger.warning("request refused", extra={"event": "console_request_refused"})
    await exchange.send(400, {"content-type": "text/plain"}, detail.encode())
