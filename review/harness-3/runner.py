"""Stand-in for a runner of a plain service, which registers in the store."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from messages import encode, read_message
from names import FIELD, HEADER
from store import AwayError

if TYPE_CHECKING:
    from collections.abc import Callable

    from messages import Message
    from store import Store

_BEAT_S = 1.2


@dataclass(frozen=True, slots=True)
class Arrival:
    """Request that reached a runner and was meant for it."""

    request_id: str
    tenant: str
    runner: str
    service: str
    at: float


class Runner:
    """Runner that runs each request for a fixed time."""

    zone = "zone-a"

    def __init__(
        self,
        id: str,
        service: str,
        host: str,
        port: int,
        store: Store,
        log: Callable[[str], None],
        work_s: float,
    ) -> None:
        self.id, self.service, self.host, self.port = id, service, host, port
        self.arrivals: list[Arrival] = []
        # Ids of the requests that began to run, and of those that were answered.
        self.ran: list[str] = []
        self.answered: set[str] = set()
        self._store, self._log, self._work_s = store, log, work_s
        self._state = "ready"
        self._born = int(time.time() * 1000)
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._beats: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start to serve and to write heartbeats."""
        self._server = await asyncio.start_server(self._serve, self.host, self.port)
        self._beats = asyncio.create_task(self._beat())

    async def drain(self) -> float:
        """Report draining; return when the store acknowledged it."""
        self._state = "draining"
        return self._store.put(self._key, self._entry)

    async def exit(self) -> None:
        """End as after a planned shutdown: the entry goes, connections close."""
        await self.kill()
        self._store.delete(self._key)
        self._log(f"runner {self.id}: exit")

    async def kill(self) -> None:
        """End at once."""
        if self._beats is not None:
            self._beats.cancel()
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    @property
    def _key(self) -> str:
        return f"servers/{self.id}"

    @property
    def _entry(self) -> dict[str, Any]:
        return {
            "service": self.service,
            "address": f"{self.host}:{self.port}",
            "zone": self.zone,
            "version": 1,
            "slots": 6,
            "state": self._state,
            FIELD["cold_left_ms"]: 0,
            "sequence": 0,
            "born": self._born,
        }

    async def _beat(self) -> None:
        while True:
            try:
                self._store.put(self._key, self._entry)
            except AwayError:
                pass
            await asyncio.sleep(_BEAT_S)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while (request := await read_message(reader)) is not None:
                writer.write(await self._answer(request))
                await writer.drain()
        except (OSError, asyncio.CancelledError):
            # The connection ends, or the case does.
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, request: Message) -> bytes:
        request_id = request.header(HEADER["attempt_id"])
        headers = {HEADER["attempt_id"]: request_id}
        expected = request.header(HEADER["expect_runner"])
        if expected not in ("", self.id):
            return encode("HTTP/1.1 421 Other", headers)
        tenant = request.header(HEADER["tenant"])
        self.arrivals.append(
            Arrival(request_id, tenant, self.id, self.service, time.monotonic())
        )
        self.ran.append(request_id)
        await asyncio.sleep(self._work_s)
        self.answered.add(request_id)
        headers[HEADER["seal"]] = f"{self.id}.{len(self.ran)}"
        if self._state == "draining":
            headers |= {HEADER["leaving"]: "1", "Connection": "close"}
        return encode("HTTP/1.1 200 OK", headers, f"{request_id} booked".encode())
