"""Load, clocks and process figures for the benchmarks."""

from __future__ import annotations

import asyncio
import os
import re
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import TYPE_CHECKING, Any

import msgspec
from hdrh.histogram import HdrHistogram

from sardineyard.standins.fleet import MODEL, TEAM_KEY

if TYPE_CHECKING:
    from sardineyard.core.address import Address
    from sardineyard.standins.fleet import Fleet

_TICKS = os.sysconf("SC_CLK_TCK")
_PAGE = os.sysconf("SC_PAGE_SIZE")
# Every token of the stand-in has three digits and a blank.
_TOKEN = re.compile(rb'\d{3} (?=[\d"])')
_END = b"\r\n0\r\n\r\n"
_STREAM_TIMEOUT_S = 60.0


@dataclass(slots=True)
class Load:
    """Count what the streams of a load received."""

    tokens: int = 0
    whole: int = 0
    broken: int = 0
    first_token_s: list[float] = field(default_factory=list)


def request_bytes(address: Address, body: dict[str, Any]) -> bytes:
    """Return a completion request as a caller sends it."""
    data = msgspec.json.encode({"model": MODEL, **body})
    head = (
        f"POST /v1/completions HTTP/1.1\r\nhost: {address}\r\n"
        f"authorization: Bearer {TEAM_KEY}\r\ncontent-type: application/json\r\n"
        f"connection: close\r\ncontent-length: {len(data)}\r\n\r\n"
    )
    return head.encode() + data


def runner_request(address: Address, prompt: str, tokens: int) -> bytes:
    """Return the same request as an agent sends it to the stand-in."""
    body = {
        "request_id": "bench",
        "model": MODEL,
        "prompt": prompt,
        "max_tokens": tokens,
        "priority": "pressing",
    }
    return request_bytes(address, body)


async def run_stream(address: Address, request: bytes, load: Load) -> None:
    """Send one request and read its stream to the end."""
    started = time.perf_counter()
    seen = 0
    whole = False
    rest = b""
    try:
        async with asyncio.timeout(_STREAM_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(address.host, address.port)
            writer.write(request)
            while data := await reader.read(65_536):
                found = len(_TOKEN.findall(rest + data))
                if found and not seen:
                    load.first_token_s.append(time.perf_counter() - started)
                seen += found
                load.tokens += found
                whole = (rest + data).endswith(_END)
                # Tokens end in a blank and a quotation mark; keep a cut one.
                rest = (rest + data)[-4:] if not data.endswith(b"\n") else data[-7:]
            writer.close()
    except (OSError, TimeoutError):
        pass
    load.whole += whole
    load.broken += not whole


@dataclass(frozen=True, slots=True)
class Figures:
    """Hold processor time and memory of one process."""

    cpu_s: float
    resident_mb: float


def figures(pid: int) -> Figures:
    """Return the figures of a process."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    cpu = (int(fields[11]) + int(fields[12])) / _TICKS
    resident = int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * _PAGE
    return Figures(cpu, resident / 1e6)


def histogram(seconds: list[float]) -> HdrHistogram:
    """Return a histogram in microseconds with three digits."""
    result = HdrHistogram(1, 60_000_000, 3)
    for value in seconds:
        result.record_value(max(1, int(value * 1e6)))
    return result


def milliseconds(values: HdrHistogram, percentile: float) -> float:
    """Return a percentile in milliseconds."""
    return values.get_value_at_percentile(percentile) / 1000


def pid_of(fleet: Fleet, name: str) -> int:
    """Return the process id of a member of a fleet."""
    return fleet.processes[name].pid
