"""HTTP/1.1 messages of the stand-ins: reading and writing, with asyncio only."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass


@dataclass(slots=True)
class Message:
    """Start line, headers in lower case, and body of a request or response."""

    start: str
    headers: dict[str, str]
    body: bytes
    # Whether the body ended as its framing says.
    is_whole: bool = True

    def header(self, name: str) -> str:
        """Return the value of a header, or an empty string."""
        return self.headers.get(name.lower(), "")

    @property
    def status(self) -> int:
        """Return the status of a response."""
        return int(self.start.split()[1])

    @property
    def target(self) -> str:
        """Return the target of a request."""
        return self.start.split()[1]


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Read one message, or return None if the connection ends before its head."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except (asyncio.IncompleteReadError, OSError):
        return None
    start, *lines = head.strip().split("\r\n")
    pairs = (line.partition(":") for line in lines)
    headers = {name.lower(): value.strip() for name, _, value in pairs}
    message = Message(start, headers, b"")
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            while size := int(await reader.readuntil(b"\r\n"), 16):
                message.body += (await reader.readexactly(size + 2))[:-2]
            await reader.readexactly(2)
        else:
            length = int(headers.get("content-length", "0"))
            message.body = await reader.readexactly(length)
    except (asyncio.IncompleteReadError, OSError, ValueError):
        message.is_whole = False
    return message


def encode(start: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return the bytes of a message with a length."""
    lines = [start, *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body
