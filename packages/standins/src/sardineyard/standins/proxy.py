"""Switchable TCP proxy that delays, cuts, silences and redirects connections."""

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
    """Say what happens to new connections."""

    PASS = "pass"
    # Connections are accepted and carry no byte until they are released.
    SILENT = "silent"
    REFUSE = "refuse"


@unique
class OpenChange(Enum):
    """Say what happens to the connections that are open now."""

    CUT = "cut"
    # Every second one is cut, so that old and new targets are used side by side.
    CUT_SOME = "cut_some"
    SILENCE = "silence"
    # Bytes that were held back by silence are passed on, however late.
    RELEASE = "release"


class ProxyControl(msgspec.Struct, frozen=True):
    """Change the proxy from a test."""

    mode: ProxyMode | None = None
    open: OpenChange | None = None
    # New connections go there; open ones stay where they are.
    target: str | None = None
    delay_s: float | None = None


class _Relay:
    """Own the two sockets of one connection."""

    def __init__(self, proxy: ProxyApp) -> None:
        self._proxy = proxy
        self._writers: list[asyncio.StreamWriter] = []
        self.passing = asyncio.Event()
        self.passing.set()

    async def run(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Pass bytes both ways until one side closes."""
        self._writers.append(writer)
        try:
            await self.passing.wait()
            target = self._proxy.target
            far_reader, far_writer = await asyncio.open_connection(
                target.host, target.port
            )
            self._writers.append(far_writer)
            async with asyncio.TaskGroup() as group:
                group.create_task(self._pump(reader, far_writer))
                group.create_task(self._pump(far_reader, writer))
        except* OSError:
            pass
        finally:
            self.cut()

    def cut(self) -> None:
        """Close both sockets."""
        for writer in self._writers:
            writer.close()

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while data := await reader.read(_READ_BYTES):
            if self._proxy.delay_s:
                await asyncio.sleep(self._proxy.delay_s)
            await self.passing.wait()
            writer.write(data)
            await writer.drain()
        # A half-closed connection is of no use to HTTP/2, so the other side ends too.
        self.cut()


class ProxyApp:
    """Relay connections to a target that can be switched."""

    def __init__(self, listen: Address, control: Address, target: Address) -> None:
        self.target = target
        self.delay_s = 0.0
        self._mode = ProxyMode.PASS
        self._listen = listen
        self._relays: set[_Relay] = set()
        self._server: asyncio.Server | None = None
        self.app = App(control, {("POST", "/control"): self._control})

    async def start(self) -> None:
        """Start to listen for connections."""
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
            relay.passing.clear()
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
            cuts_some = change.open is OpenChange.CUT_SOME and number % 2 == 0
            if change.open is OpenChange.CUT or cuts_some:
                relay.cut()
            elif change.open is OpenChange.SILENCE:
                relay.passing.clear()
            elif change.open is OpenChange.RELEASE:
                relay.passing.set()
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
