"""Admin HTTP server of a daemon: health, readiness, metrics and state."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, TypeAlias

import msgspec

from sardineyard.httpio.messages import HttpLimits
from sardineyard.httpio.server import HttpServer

if TYPE_CHECKING:
    from sardineyard.core.address import Address
    from sardineyard.core.errors import ErrorKind
    from sardineyard.httpio.exchange import Exchange
    from sardineyard.httpio.messages import HttpRequest

# Returns the state dump of the process, which msgspec can encode.
StateReader: TypeAlias = Callable[[], Awaitable[object]]
# Returns the headers and the body of the metrics response.
MetricsPage: TypeAlias = Callable[[], Awaitable[tuple[dict[str, str], bytes]]]

_JSON = {"content-type": "application/json"}
_LIMITS = HttpLimits(max_connections=50, max_body_bytes=65_536)


class AdminServer:
    """HTTP server for operators, on an address that callers cannot reach."""

    def __init__(
        self,
        address: Address,
        is_ready: Callable[[], bool],
        state: StateReader,
        metrics: MetricsPage,
    ) -> None:
        self._is_ready = is_ready
        self._state = state
        self._metrics = metrics
        self._server = HttpServer(address, self._handle, self._refuse, _LIMITS)

    @property
    def port(self) -> int:
        """Return the port on which the server listens."""
        return self._server.port

    async def start(self) -> None:
        """Start listening."""
        await self._server.start()

    async def close(self) -> None:
        """Stop listening."""
        await self._server.close()

    async def _handle(self, request: HttpRequest, exchange: Exchange) -> None:
        await serve_operator_path(
            request, exchange, self._is_ready, self._state, self._metrics
        )

    async def _refuse(self, kind: ErrorKind, detail: str, exchange: Exchange) -> None:
        await exchange.send(400, _JSON, msgspec.json.encode({"detail": detail}))


async def serve_operator_path(
    request: HttpRequest,
    exchange: Exchange,
    is_ready: Callable[[], bool],
    state: StateReader | None,
    metrics: MetricsPage,
) -> bool:
    """Respond if the path is one for operators; return whether it responded.

    With a state dump, every other path gets 404.
    """
    match request.path:
        case "/healthz":
            await exchange.send(200, _JSON, b'{"status":"ok"}')
        case "/readyz":
            ready = is_ready()
            body = msgspec.json.encode({"ready": ready})
            await exchange.send(200 if ready else 503, _JSON, body)
        case "/metrics":
            headers, body = await metrics()
            await exchange.send(200, headers, body)
        case "/state" if state is not None:
            await exchange.send(200, _JSON, msgspec.json.encode(await state()))
        case _ if state is not None:
            await exchange.send(404, _JSON, b'{"detail":"not found"}')
        case _:
            return False
    return True
