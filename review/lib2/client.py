"""Client of a gateway, for the scripts of this review."""

from __future__ import annotations

import asyncio
import itertools
import time
from dataclasses import dataclass, field

from world import HEADERS

_ids = itertools.count(1)


@dataclass
class Answer:
    """What a client saw of one attempt."""

    id: str
    sent_at: float = 0.0
    ended_at: float = 0.0
    status: int = 0
    fields: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    is_whole: bool = False
    end: str = ""

    @property
    def took_s(self) -> float:
        """Return the seconds from the request to the end of its answer."""
        return self.ended_at - self.sent_at

    def __str__(self) -> str:
        whole = "whole" if self.is_whole else f"not whole ({self.end})"
        return (
            f"{self.id}: {self.status} {whole}, {len(self.body)} bytes, "
            f"{self.took_s:.3f} s"
        )


class Client:
    """One connection to a gateway."""

    def __init__(self, host: str, port: int) -> None:
        self._host, self._port = host, port
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def connect(self) -> None:
        """Open the connection."""
        if self._writer is None:
            self._reader, self._writer = await asyncio.open_connection(
                self._host, self._port
            )

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None

    async def send(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        deadline_s: float = 8.0,
        fields: tuple[str, ...] = (),
        pieces: int = 1,
        pause_s: float = 0.0,
    ) -> Answer:
        """Send a request, the body in pieces with pauses, and return the answer."""
        answer = Answer(f"a{next(_ids):06d}")
        answer.sent_at = time.monotonic()
        try:
            async with asyncio.timeout(deadline_s + pieces * pause_s):
                await self._exchange(
                    answer, method, path, body, deadline_s, fields, pieces, pause_s
                )
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            answer.end = type(error).__name__
            self.close()
        answer.ended_at = time.monotonic()
        return answer

    async def _exchange(
        self, answer, method, path, body, deadline_s, fields, pieces, pause_s
    ) -> None:
        await self.connect()
        lines = [
            f"{method} {path} HTTP/1.1",
            "Host: desk.example",
            f"{HEADERS['attempt']}: {answer.id}",
            f"{HEADERS['deadline']}: {int(deadline_s * 1000)}",
            *fields,
        ]
        if method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        self._writer.write("\r\n".join([*lines, "", ""]).encode())
        size = -(-len(body) // pieces)
        for number in range(pieces):
            if number:
                await asyncio.sleep(pause_s)
            self._writer.write(body[number * size : (number + 1) * size])
            await self._writer.drain()
        # The deadline counts from the last byte that was sent.
        answer.sent_at = time.monotonic()
        head = (await self._reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        line, *rest = head.rstrip("\r\n").split("\r\n")
        answer.status = int(line.split(" ")[1])
        for item in rest:
            name, _, value = item.partition(":")
            answer.fields[name.strip().lower()] = value.strip()
        if answer.fields.get("transfer-encoding") == "chunked":
            while size := int(await self._reader.readuntil(b"\r\n"), 16):
                answer.body += await self._reader.readexactly(size)
                await self._reader.readexactly(2)
            await self._reader.readexactly(2)
        else:
            length = int(answer.fields.get("content-length", "0"))
            answer.body = await self._reader.readexactly(length)
        answer.is_whole = True
        if answer.fields.get("connection", "").lower() == "close":
            self.close()
