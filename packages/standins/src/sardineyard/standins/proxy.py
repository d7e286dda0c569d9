"""TCP proxy that delays, closes, stalls and redirects connections for tests."""

from __future__ import annotations

import asyncio
from enum import Enum, unique
from typing import TYPE_CHECKING

import msgspec

from sardineyard.core.address import parse_address
from sardineyard.standins.app import App, parser, send_json, serve_until_stopped

if TYPE_CHECKING:
    from sardineyard.core.address import Address
    from sardineyard.httpio.exchange import Exchange
    from sardineyard.httpio.messages import HttpRequest

_READ_BYTES = 65_536


@unique
class ProxyMode(Enum):
    """What happens to new connections."""

    PASS = "pass"
    # Connections are accepted, but forward no bytes until they are released.
    SILENT = "silent"
    REFUSE = "refuse"


@unique
class OpenChange(Enum):
    """Change of the connections that are open now."""

    CUT = "cut"
    # Every second connection is closed, so that old and new targets are both in use.
    CUT_SOME = "cut_some"
    SILENCE = "silence"
    # Bytes that were held back while silenced are forwarded, however late.
    RELEASE = "release"


class ProxyControl(msgspec.Struct, frozen=True):
    """Control message with which a test changes the proxy."""

    mode: ProxyMode | None = None
    open: OpenChange | None = None
    # Target of new connections; open connections keep theirs.
    target: str | None = None
    delay_s: float | None = None


class _Relay:
    """One proxied connection with its two sockets."""

    def __init__(self, proxy: ProxyApp) -> None:
        self._proxy = proxy
        self._writers: list[asyncio.StreamWriter] = []
        self.may_forward = asyncio.Event()
        self.may_forward.set()

    async def run(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Forward bytes in both directions until one side closes."""
        self._writers.append(writer)
        try:
            await self.may_forward.wait()
            target = self._proxy.target
            target_reader, target_writer = await asyncio.open_connection(
                target.host, target.port
            )
            self._writers.append(target_writer)
            async with asyncio.TaskGroup() as group:
                group.create_task(self._forward(reader, target_writer))
                group.create_task(self._forward(target_reader, writer))
        except* OSError:
            pass
        finally:
            self.cut()

    def cut(self) -> None:
        """Close both sockets."""
        for writer in self._writers:
            writer.close()

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while data := await reader.read(_READ_BYTES):
            if self._proxy.delay_s:
                await asyncio.sleep(self._proxy.delay_s)
            await self.may_forward.wait()
            writer.write(data)
            await writer.drain()
        # HTTP/2 cannot use a half-closed connection, so both sides are closed.
        self.cut()


class ProxyApp:
    """Proxy that forwards connections to a target that a test can change."""

    def __init__(self, listen: Address, control: Address, target: Address) -> None:
        self.target = target
        self.delay_s = 0.0
        self._mode = ProxyMode.PASS
        self._listen = listen
        self._relays: set[_Relay] = set()
        self._server: asyncio.Server | None = None
        self.app = App(control, {("POST", "/control"): self._control})

    async def start(self) -> None:
        """Start listening for connections."""
        self._server = await asyncio.start_server(
            self._accept, self._listen.host, self._listen.port
        )

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self._mode is ProxyMode.REFUSE:
            writer.close()
            return
        relay = _Relay(self)
        if self._mode is ProxyMode.SILENT:
            relay.may_forward.clear()
        self._relays.add(relay)
        try:
            await relay.run(reader, writer)
        finally:
            self._relays.discard(relay)

    async def _control(self, request: HttpRequest, exchange: Exchange) -> None:
        change = msgspec.json.decode(request.body, type=ProxyControl)
        if change.target is not None:
            self.target = parse_address(change.target)
        if change.mode is not None:
            self._mode = change.mode
        if change.delay_s is not None:
            self.delay_s = change.delay_s
        for number, relay in enumerate(list(self._relays)):
            is_in_cut_half = change.open is OpenChange.CUT_SOME and number % 2 == 0
            if change.open is OpenChange.CUT or is_in_cut_half:
                relay.cut()
            elif change.open is OpenChange.SILENCE:
                relay.may_forward.clear()
            elif change.open is OpenChange.RELEASE:
                relay.may_forward.set()
        await send_json(exchange, {"mode": self._mode, "open": len(self._relays)})


def main() -> None:
    """Run a proxy until it is stopped."""
    options = parser(__doc__ or "")
    options.add_argument("--listen", type=parse_address, required=True)
    options.add_argument("--target", type=parse_address, required=True)
    values = options.parse_args()

    async def run() -> None:
        proxy = ProxyApp(values.listen, values.address, values.target)
        await proxy.start()
        await serve_until_stopped(proxy.app)

    asyncio.run(run())


if __name__ == "__main__":
    main()
