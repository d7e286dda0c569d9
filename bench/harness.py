"""Load generator, latency histograms and process usage for the benchmarks."""

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

_CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
# A token of the stand-in runner is three digits and a space; a token counts when
# the byte after it has arrived.
_TOKEN_PATTERN = re.compile(rb'\d{3} (?=[\d"])')
# Terminates a response body in chunked transfer encoding.
_LAST_CHUNK = b"\r\n0\r\n\r\n"
_STREAM_TIMEOUT_S = 60.0


@dataclass(slots=True)
class StreamTotals:
    """Totals over the streams of one measurement."""

    tokens: int = 0
    # Streams received to the end, and streams that failed or ended early.
    whole: int = 0
    broken: int = 0
    first_token_s: list[float] = field(default_factory=list)


def request_bytes(address: Address, body: dict[str, Any]) -> bytes:
    """Return the bytes of a completion request as a caller sends it."""
    data = msgspec.json.encode({"model": MODEL, **body})
    head = (
        f"POST /v1/completions HTTP/1.1\r\nhost: {address}\r\n"
        f"authorization: Bearer {TEAM_KEY}\r\ncontent-type: application/json\r\n"
        f"connection: close\r\ncontent-length: {len(data)}\r\n\r\n"
    )
    return head.encode() + data


def runner_request(address: Address, prompt: str, tokens: int) -> bytes:
    """Return a completion request as an agent sends it to the stand-in runner."""
    body = {
        "request_id": "bench",
        "model": MODEL,
        "prompt": prompt,
        "max_tokens": tokens,
        "priority": "pressing",
    }
    return request_bytes(address, body)


async def run_stream(address: Address, request: bytes, totals: StreamTotals) -> None:
    """Send one request, read its stream to the end and add it to the totals."""
    started = time.perf_counter()
    token_count = 0
    is_complete = False
    tail = b""
    try:
        async with asyncio.timeout(_STREAM_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(address.host, address.port)
            writer.write(request)
            while data := await reader.read(65_536):
                new_tokens = len(_TOKEN_PATTERN.findall(tail + data))
                if new_tokens and not token_count:
                    totals.first_token_s.append(time.perf_counter() - started)
                token_count += new_tokens
                totals.tokens += new_tokens
                is_complete = (tail + data).endswith(_LAST_CHUNK)
                # Keep what may be the start of a token or of the 7-byte last chunk.
                tail = (tail + data)[-4:] if not data.endswith(b"\n") else data[-7:]
            writer.close()
    except (OSError, TimeoutError):
        pass
    totals.whole += is_complete
    totals.broken += not is_complete


@dataclass(frozen=True, slots=True)
class ProcessUsage:
    """CPU time and resident memory of one process."""

    cpu_s: float
    resident_mb: float


def process_usage(pid: int) -> ProcessUsage:
    """Return the CPU time and the resident memory of a process."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    cpu = (int(fields[11]) + int(fields[12])) / _CLOCK_TICKS_PER_S
    resident_bytes = (
        int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * _PAGE_BYTES
    )
    return ProcessUsage(cpu, resident_bytes / 1e6)


def latency_histogram(seconds: list[float]) -> HdrHistogram:
    """Return a histogram in microseconds with three significant digits."""
    result = HdrHistogram(1, 60_000_000, 3)
    for value in seconds:
        result.record_value(max(1, int(value * 1e6)))
    return result


def percentile_ms(values: HdrHistogram, percentile: float) -> float:
    """Return a percentile of a histogram in milliseconds."""
    return values.get_value_at_percentile(percentile) / 1000


def pid_of(fleet: Fleet, name: str) -> int:
    """Return the process id of a daemon of the fleet."""
    return fleet.processes[name].pid
