"""Stand-in for the platform: a document to read and watch, and a list of VMs."""

from __future__ import annotations

import asyncio
from collections import deque
from enum import Enum, unique
from pathlib import Path
from typing import TYPE_CHECKING

import msgspec

from sardineyard.core.clock import SystemClock
from sardineyard.standins.app import App, parser, send_json, serve_until_stopped

if TYPE_CHECKING:
    from sardineyard.core.address import Address
    from sardineyard.core.clock import Clock
    from sardineyard.httpio.exchange import Exchange
    from sardineyard.httpio.messages import HttpRequest

MAX_VALUE_BYTES = 1_000_000
_MAX_WAIT_S = 30.0


@unique
class Mode(Enum):
    """How the platform responds: normally, not at all, or with its first document."""

    UP = "up"
    DOWN = "down"
    STALE = "stale"


class VmEntry(msgspec.Struct, frozen=True):
    """VM in the platform's list."""

    vm: str
    address: str
    state: str


class Control(msgspec.Struct, frozen=True):
    """Control message with which a test changes the platform."""

    mode: Mode | None = None
    # Any JSON value, as the platform does not validate documents. Empty: no change.
    document: msgspec.Raw = msgspec.Raw()
    vms: tuple[VmEntry, ...] | None = None
    # Delay until readers see a change of the VM list.
    vms_lag_s: float = 0.0


class _Versioned(msgspec.Struct):
    version: int


class CallCounter:
    """Counter of reads and watches, in total, by path and in the busiest second."""

    def __init__(self, clock: Clock) -> None:
        self.total = 0
        self.by_path: dict[str, int] = {}
        self.peak_per_s = 0
        self._clock = clock
        self._recent: deque[float] = deque()

    def count(self, path: str) -> None:
        """Count one call."""
        now = self._clock.now()
        self.total += 1
        self.by_path[path] = self.by_path.get(path, 0) + 1
        self._recent.append(now)
        while self._recent[0] <= now - 1.0:
            self._recent.popleft()
        self.peak_per_s = max(self.peak_per_s, len(self._recent))


class PlatformApp:
    """Read-only document and VM list, which a test changes by control messages."""

    def __init__(self, address: Address, document: bytes, clock: Clock) -> None:
        self.mode = Mode.UP
        self._calls = CallCounter(clock)
        self._documents: list[tuple[int, bytes]] = []
        self._publish(document)
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
        return self._visible_document()[1]

    @property
    def version(self) -> int:
        """Return the version of the document that readers see."""
        return self._visible_document()[0]

    def _visible_document(self) -> tuple[int, bytes]:
        return self._documents[0 if self.mode is Mode.STALE else -1]

    def _publish(self, document: bytes) -> None:
        try:
            version = msgspec.json.decode(document, type=_Versioned).version
        except msgspec.DecodeError:
            # A document without a version is treated as newer than the previous one.
            version = self._documents[-1][0] + 1 if self._documents else 0
        self._documents.append((version, document))

    def _is_down(self) -> bool:
        return self.mode is Mode.DOWN

    async def _config(self, request: HttpRequest, exchange: Exchange) -> None:
        self._calls.count(request.path)
        if self._is_down():
            return
        after = int(request.query.get("after", "-1"))
        wait = min(float(request.query.get("wait", "0")), _MAX_WAIT_S)
        try:
            async with asyncio.timeout(wait), self._changed:
                await self._changed.wait_for(
                    lambda: self._is_down() or self.version > after
                )
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
        self._calls.count(request.path)
        if self.mode is not Mode.DOWN:
            await send_json(exchange, self._vms)

    async def _state(self, request: HttpRequest, exchange: Exchange) -> None:
        await send_json(
            exchange,
            {
                "mode": self.mode,
                "calls": self._calls.total,
                "calls_by_path": self._calls.by_path,
                "peak_calls_per_s": self._calls.peak_per_s,
                "version": self.version,
            },
        )

    async def _control(self, request: HttpRequest, exchange: Exchange) -> None:
        control = msgspec.json.decode(request.body, type=Control)
        document = bytes(control.document)
        if document:
            if len(document) > MAX_VALUE_BYTES:
                await send_json(exchange, {"error": "value too large"}, 413)
                return
            self._publish(document)
        if control.mode is not None:
            self.mode = control.mode
        if control.vms is not None:
            loop = asyncio.get_running_loop()
            loop.call_later(control.vms_lag_s, self._set_vms, control.vms)
        async with self._changed:
            self._changed.notify_all()
        await send_json(exchange, {"mode": self.mode})

    def _set_vms(self, vms: tuple[VmEntry, ...]) -> None:
        self._vms = vms


def main() -> None:
    """Run the platform until it is stopped."""
    options = parser(__doc__ or "")
    options.add_argument("--document", type=Path, required=True)
    values = options.parse_args()

    async def run() -> None:
        app = PlatformApp(
            values.address, values.document.read_bytes(), SystemClock()
        ).app
        await serve_until_stopped(app)

    asyncio.run(run())


if __name__ == "__main__":
    main()
