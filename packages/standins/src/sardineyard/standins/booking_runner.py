"""Stand-in for a booking service that records every run of a call."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass
from random import Random
from typing import TYPE_CHECKING

import msgspec

from sardineyard.standins.app import App, parser, send_json, serve_until_stopped

if TYPE_CHECKING:
    from sardineyard.core.address import Address
    from sardineyard.httpio.exchange import Exchange
    from sardineyard.httpio.messages import HttpRequest


@dataclass(frozen=True, slots=True)
class Run:
    """One run of a call."""

    key: str
    path: str
    request_id: str
    at: float


class BookingRunnerApp:
    """Booking service that runs and records every call, whatever its key."""

    def __init__(self, address: Address, delay_s: float) -> None:
        self.runs: list[Run] = []
        self.delay_s = delay_s
        # Fraction of the calls that run but get no response.
        self.lost_share = 0.0
        self._random = Random()
        self.app = App(
            address,
            {
                ("POST", "*"): self._book,
                ("GET", "*"): self._look_up,
                ("GET", "/record"): self._record,
                ("POST", "/control"): self._control,
            },
        )

    async def _book(self, request: HttpRequest, exchange: Exchange) -> None:
        run = Run(
            key=request.headers.get("idempotency-key", ""),
            path=request.path,
            request_id=request.headers.get("x-request-id", ""),
            at=time.time(),
        )
        self.runs.append(run)
        await asyncio.sleep(self.delay_s)
        if self._random.random() < self.lost_share:
            return
        await send_json(exchange, {"booking": len(self.runs), "key": run.key}, 201)

    async def _look_up(self, request: HttpRequest, exchange: Exchange) -> None:
        await asyncio.sleep(self.delay_s)
        await send_json(exchange, {"path": request.path, "bookings": len(self.runs)})

    async def _record(self, request: HttpRequest, exchange: Exchange) -> None:
        await send_json(exchange, self.runs)

    async def _control(self, request: HttpRequest, exchange: Exchange) -> None:
        change = msgspec.json.decode(request.body)
        self.delay_s = change.get("delay_s", self.delay_s)
        self.lost_share = change.get("lost_share", self.lost_share)
        await send_json(exchange, change)


def main() -> None:
    """Run a booking service until it is stopped."""
    options = parser(__doc__ or "")
    options.add_argument("--delay-s", type=float, default=0.01)
    values = options.parse_args()
    app = BookingRunnerApp(values.address, values.delay_s).app
    asyncio.run(serve_until_stopped(app))


if __name__ == "__main__":
    main()
