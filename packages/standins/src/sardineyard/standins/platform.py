"""Stand-in of the platform: a document to read and watch, and a list of VMs."""

from __future__ import annotations

import asyncio
from enum import Enum, unique
from pathlib import Path
from typing import TYPE_CHECKING

import msgspec

from sardineyard.standins.app import App, parser, send_json, serve_until_stopped

if TYPE_CHECKING:
    from sardineyard.core.address import Address
    from sardineyard.httpio.exchange import Exchange
    from sardineyard.httpio.messages import HttpRequest

MAX_VALUE_BYTES = 1_000_000
_MAX_WAIT_S = 30.0


@unique
class Mode(Enum):
    """Say how the platform answers."""

    UP = "up"
    DOWN = "down"
    STALE = "stale"


class VmEntry(msgspec.Struct, frozen=True):
    """Describe one VM of the platform's list."""

    vm: str
    address: str
    state: str


class Control(msgspec.Struct, frozen=True):
    """Change the platform from a test."""

    mode: Mode | None = None
    # A Raw field in a union decodes null only, so empty bytes mean no change.
    document: msgspec.Raw = msgspec.Raw()
    vms: tuple[VmEntry, ...] | None = None


class _Versioned(msgspec.Struct):
    version: int


class PlatformApp:
    """Serve one document and one list; nothing can be written but by a test."""

    def __init__(self, address: Address, document: bytes) -> None:
        self.mode = Mode.UP
        self.calls = 0
        self._documents = [document]
        self._vms: tuple[VmEntry, ...] = ()
        self._changed = asyncio.Condition()
        self.app = App(
            address,
            {
                ("GET", "/v1/config"): self._config,
                ("GET", "/v1/vms"): self._vm_list,
                ("GET", "/state"): self._state,
                ("POST", "/control"): self._control,
            },
        )

    @property
    def document(self) -> bytes:
        """Return the document that readers see."""
        if self.mode is Mode.STALE and len(self._documents) > 1:
            return self._documents[0]
        return self._documents[-1]

    @property
    def version(self) -> int:
        """Return the version of the document that readers see."""
        return msgspec.json.decode(self.document, type=_Versioned).version

    def _is_down(self) -> bool:
        return self.mode is Mode.DOWN

    async def _config(self, request: HttpRequest, exchange: Exchange) -> None:
        self.calls += 1
        if self._is_down():
            return
        after = int(request.query.get("after", "-1"))
        wait = min(float(request.query.get("wait", "0")), _MAX_WAIT_S)
        try:
            async with asyncio.timeout(wait), self._changed:
                await self._changed.wait_for(lambda: self.version > after)
        except TimeoutError:
            pass
        if self._is_down():
            return
        if self.version <= after:
            await exchange.send(304, {"x-version": str(self.version)})
            return
        headers = {
            "content-type": "application/json",
            "x-version": str(self.version),
        }
        await exchange.send(200, headers, self.document)

    async def _vm_list(self, request: HttpRequest, exchange: Exchange) -> None:
        self.calls += 1
        if self.mode is not Mode.DOWN:
            await send_json(exchange, self._vms)

    async def _state(self, request: HttpRequest, exchange: Exchange) -> None:
        await send_json(
            exchange,
            {"mode": self.mode, "calls": self.calls, "version": self.version},
        )

    async def _control(self, request: HttpRequest, exchange: Exchange) -> None:
        control = msgspec.json.decode(request.body, type=Control)
        document = bytes(control.document)
        if document:
            if len(document) > MAX_VALUE_BYTES:
                await send_json(exchange, {"error": "value too large"}, 413)
                return
            self._documents.append(document)
        if control.mode is not None:
            self.mode = control.mode
        if control.vms is not None:
            self._vms = control.vms
        async with self._changed:
            self._changed.notify_all()
        await send_json(exchange, {"mode": self.mode})


def main() -> None:
    """Run the platform until it is stopped."""
    options = parser(__doc__ or "")
    options.add_argument("--document", type=Path, required=True)
    values = options.parse_args()

    async def run() -> None:
        app = PlatformApp(values.address, values.document.read_bytes()).app
        await serve_until_stopped(app)

    asyncio.run(run())


if __name__ == "__main__":
    main()
