"""Small HTTP/1.1 helpers of the stand-ins."""

import asyncio
from dataclasses import dataclass, field

_REASONS = {
    200: "OK",
    202: "Accepted",
    404: "Not Found",
    409: "Conflict",
    412: "Precondition Failed",
    421: "Misdirected Request",
    500: "Internal Server Error",
    503: "Service Unavailable",
}


@dataclass
class Request:
    """Request of a client."""

    method: str
    target: str
    headers: dict
    body: bytes = b""


@dataclass
class Response:
    """Response of a gateway; `ending` tells how it ended."""

    status: int = 0
    headers: dict = field(default_factory=dict)
    body: bytes = b""
    # "whole", "cut" (the connection ended first), "refused" (no connection) or "late".
    ending: str = "whole"


def response(status, headers, body):
    """Encode a response with a length."""
    lines = [f"HTTP/1.1 {status} {_REASONS.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def read_head(reader):
    """Return the start line and the fields, or None at the end of the connection."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def _read_chunks(reader):
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        if size == 0:
            await reader.readline()
            return
        yield await reader.readexactly(size)
        await reader.readexactly(2)


async def read_request(reader):
    """Return the next request, or None at the end of the connection."""
    head = await read_head(reader)
    if head is None:
        return None
    method, target, _ = head[0].split(" ")
    headers, body = head[1], b""
    if "chunked" in headers.get("transfer-encoding", "").lower():
        async for chunk in _read_chunks(reader):
            body += chunk
    elif int(headers.get("content-length", "0")):
        body = await reader.readexactly(int(headers["content-length"]))
    return Request(method, target, headers, body)


async def read_response(reader):
    """Read one response; a body that ends early has the ending "cut"."""
    result = Response()
    try:
        head = await read_head(reader)
        if head is None:
            result.ending = "cut"
            return result
        result.status, result.headers = int(head[0].split(" ")[1]), head[1]
        if "chunked" in result.headers.get("transfer-encoding", "").lower():
            async for chunk in _read_chunks(reader):
                result.body += chunk
        else:
            length = int(result.headers.get("content-length", "0"))
            result.body = await reader.readexactly(length)
    except (OSError, asyncio.IncompleteReadError, ValueError):
        result.ending = "cut"
    return result


async def call(host, port, method, target, headers, body=b"", timeout_s=10.0):
    """Send one request on a new connection and return its response."""
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            try:
                reader, writer = await asyncio.open_connection(host, port)
            except OSError:
                return Response(ending="refused")
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            return await read_response(reader)
    except TimeoutError:
        return Response(ending="late")
    except OSError:
        return Response(ending="cut")
    finally:
        if writer is not None:
            writer.close()
