"""Small HTTP application for the stand-in programs: routes and JSON responses."""

from __future__ import annotations

import argparse
import asyncio
import signal
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Any, TypeAlias

import msgspec

from sardineyard.core.address import Address, parse_address
from sardineyard.httpio.messages import HttpLimits
from sardineyard.httpio.server import HttpServer

if TYPE_CHECKING:
    from sardineyard.core.errors import ErrorKind
    from sardineyard.httpio.exchange import Exchange
    from sardineyard.httpio.messages import HttpRequest

Route: TypeAlias = Callable[["HttpRequest", "Exchange"], Awaitable[None]]

_JSON = {"content-type": "application/json"}
_LIMITS = HttpLimits(max_connections=10_000, max_body_bytes=8_388_608)


async def send_json(exchange: Exchange, value: Any, status: int = 200) -> None:
    """Send a response with a JSON body."""
    await exchange.send(status, _JSON, msgspec.json.encode(value))


class App:
    """HTTP server that dispatches requests by method and path."""

    def __init__(self, address: Address, routes: dict[tuple[str, str], Route]) -> None:
        self._routes = routes
        self._server = HttpServer(address, self._handle, self._refuse, _LIMITS)

    @property
    def port(self) -> int:
        """Return the listening port."""
        return self._server.port

    async def start(self) -> None:
        """Start listening."""
        await self._server.start()

    async def close(self) -> None:
        """Close all connections and stop listening."""
        await self._server.close()

    async def _handle(self, request: HttpRequest, exchange: Exchange) -> None:
        route = self._routes.get((request.method, request.path))
        route = route or self._routes.get((request.method, "*"))
        if route is None:
            await send_json(exchange, {"error": "not found"}, 404)
            return
        await route(request, exchange)

    async def _refuse(self, kind: ErrorKind, detail: str, exchange: Exchange) -> None:
        await send_json(exchange, {"error": kind.value, "detail": detail}, 400)


async def serve_until_stopped(app: App) -> None:
    """Print the port as the first line and serve until SIGTERM or SIGINT."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    await app.start()
    print(app.port, flush=True)
    await stop.wait()
    await app.close()


def parser(description: str) -> argparse.ArgumentParser:
    """Return an argument parser with the options that all stand-ins have."""
    result = argparse.ArgumentParser(description=description)
    result.add_argument(
        "--address", type=parse_address, default=Address("127.0.0.1", 0)
    )
    return result
