"""Measure added latency, tokens/s, requests/s and memory of one entry.

Usage: ./dev bench [--short]
All daemons run as processes on loopback. Added latency is the difference between calls
through entry and agent (the path) and direct calls to the stand-in model runner, which
alternate within one run.
"""

from __future__ import annotations

import argparse
import asyncio
import os
import tempfile
import time
from collections import Counter
from pathlib import Path
from typing import TYPE_CHECKING

import msgspec
from harness import (
    StreamTotals,
    latency_histogram,
    percentile_ms,
    pid_of,
    process_usage,
    request_bytes,
    run_stream,
    runner_request,
)

from sardineyard.httpio.client import ClientConnection
from sardineyard.httpio.messages import HttpRequest
from sardineyard.standins.fleet import TEAM_KEY, Fleet, FleetSpec

if TYPE_CHECKING:
    from harness import (
        ProcessUsage,
    )

_STREAMS = 500
# 290 tokens per response at 63 ms between tokens, as in the design's target size.
_INTERVAL_S = 0.0625
_RUNNERS = 4
_BOOKING = "/services/booking/x"


async def measure_added_latency(fleet: Fleet, rounds: int, label: str) -> None:
    """Compare the time to first token of direct calls and of calls through the path."""
    direct, path = StreamTotals(), StreamTotals()
    runner = fleet.runners["model-1"]
    entry = fleet.caller_address()
    body = {"prompt": "latency", "max_tokens": 2, "stream": True}
    for _ in range(rounds):
        request = runner_request(runner, "latency", 2)
        await run_stream(runner, request, direct)
        await run_stream(entry, request_bytes(entry, body), path)
    assert direct.broken == path.broken == 0, (direct.broken, path.broken)
    direct_histogram, path_histogram = (
        latency_histogram(direct.first_token_s),
        latency_histogram(path.first_token_s),
    )
    print(f"first token, {label}, {rounds} calls each, in turn (ms):")
    for percentile in (50.0, 99.0):
        direct_ms, path_ms = (
            percentile_ms(direct_histogram, percentile),
            percentile_ms(path_histogram, percentile),
        )
        print(
            f"  p{percentile:.0f}: direct {direct_ms:.2f}, path {path_ms:.2f}, "
            f"added {path_ms - direct_ms:.2f}"
        )


async def measure_streams(
    fleet: Fleet, count: int, window_s: float, interval_s: float
) -> StreamTotals:
    """Keep streams open and measure a window in which all of them run."""
    for upstream in fleet.model_upstreams:
        await set_token_interval(fleet, upstream, interval_s)
    entry = fleet.caller_address()
    entry_pid = pid_of(fleet, "entry-1")
    agent_pid = pid_of(fleet, "agent-model-1")
    totals = StreamTotals()
    tokens = int((window_s + 5.0) / interval_s)
    body = {"max_tokens": tokens, "stream": True}
    tasks = []
    for number in range(count):
        request = request_bytes(entry, {**body, "prompt": f"stream {number}"})
        tasks.append(asyncio.create_task(run_stream(entry, request, totals)))
        # Ten batches within 1 s, so that the connections do not all open at once.
        if number % (count // 10) == 0:
            await asyncio.sleep(0.1)
    await asyncio.sleep(1.0)
    before, agent_before = process_usage(entry_pid), process_usage(agent_pid)
    client_cpu_before = sum(os.times()[:2])
    started, tokens_before = time.perf_counter(), totals.tokens
    await asyncio.sleep(window_s)
    elapsed = time.perf_counter() - started
    after, agent_after = process_usage(entry_pid), process_usage(agent_pid)
    client_cpu = (sum(os.times()[:2]) - client_cpu_before) / elapsed
    rate = (totals.tokens - tokens_before) / elapsed
    open_streams = sum(not task.done() for task in tasks)
    print(
        f"{open_streams} open streams, {count / interval_s:.0f} tokens/s offered:\n"
        f"  delivered {rate:.0f} tokens/s; "
        f"entry {format_usage(before, after, elapsed)}, "
        f"agent {format_usage(agent_before, agent_after, elapsed)}, "
        f"load generator {client_cpu:.0%} of a core"
    )
    await asyncio.gather(*tasks)
    print(f"  whole {totals.whole}, broken {totals.broken}")
    return totals


async def set_token_interval(fleet: Fleet, upstream: str, interval_s: float) -> None:
    """Set the time between two tokens of a stand-in runner."""
    change = f'{{"token_interval_s": {interval_s}}}'.encode()
    async with await ClientConnection.open(fleet.runners[upstream]) as connection:
        await connection.send(HttpRequest("POST", "/control", {}, change))
        await connection.receive_head()


async def measure_request_rate(fleet: Fleet, seconds: float, callers: int) -> None:
    """Send service calls over keep-alive connections, one at a time per caller."""
    entry = fleet.caller_address()
    entry_pid = pid_of(fleet, "entry-1")
    done = 0
    errors_by_kind: Counter[str] = Counter()
    end = time.perf_counter() + seconds
    request = HttpRequest("GET", _BOOKING, {"authorization": f"Bearer {TEAM_KEY}"})

    async def caller() -> None:
        nonlocal done
        async with await ClientConnection.open(entry) as connection:
            while time.perf_counter() < end:
                await connection.send(request)
                head = await connection.receive_head()
                body = b"".join([chunk async for chunk in connection.receive_body()])
                if head.status != 200:
                    errors_by_kind[msgspec.json.decode(body)["kind"]] += 1
                connection.start_next_exchange()
                done += head.status == 200

    before, started = process_usage(entry_pid), time.perf_counter()
    client_cpu = sum(os.times()[:2])
    await asyncio.gather(*(caller() for _ in range(callers)))
    elapsed = time.perf_counter() - started
    client_cpu = (sum(os.times()[:2]) - client_cpu) / elapsed
    print(
        f"{done / elapsed:.0f} service requests/s with {callers} callers; "
        f"entry {format_usage(before, process_usage(entry_pid), elapsed)}, "
        f"load generator {client_cpu:.0%} of a core; refused: {dict(errors_by_kind)}"
    )


def format_usage(before: ProcessUsage, after: ProcessUsage, elapsed: float) -> str:
    """Return the CPU usage and the resident memory of a process as text."""
    used = (after.cpu_s - before.cpu_s) / elapsed
    return f"{used:.0%} of a core, {after.resident_mb:.1f} MB resident"


async def main(short: bool, only: str) -> None:
    """Run the measurements on one fleet."""
    spec = FleetSpec(
        model_runners=_RUNNERS,
        slots=1_000,
        token_interval_s=0.002,
        prefill_s=0.002,
        booking_delay_s=0.0,
    )
    rounds, window = (50, 2.0) if short else (400, 8.0)
    with tempfile.TemporaryDirectory(prefix="sardineyard-bench-") as folder:
        async with Fleet(spec, Path(folder)) as fleet:
            idle_memory = {
                name: process_usage(pid_of(fleet, name)).resident_mb
                for name in ("entry-1", "agent-model-1")
            }
            print(f"load average {os.getloadavg()[0]:.1f} on {os.cpu_count()} cores")
            print(
                "resident at rest:", {k: f"{v:.1f} MB" for k, v in idle_memory.items()}
            )
            if only == "requests":
                await measure_request_rate(fleet, window, 32)
                return
            await measure_added_latency(fleet, rounds, "idle")
            await measure_streams(fleet, _STREAMS, window, _INTERVAL_S)
            background_streams = asyncio.create_task(
                measure_streams(fleet, _STREAMS, window + 3.0, _INTERVAL_S)
            )
            await asyncio.sleep(2.5)
            await measure_added_latency(fleet, rounds // 4, f"under {_STREAMS} streams")
            await background_streams
            await measure_streams(fleet, _STREAMS, window, _INTERVAL_S / 4)
            await measure_request_rate(fleet, window, 32)


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--short", action="store_true", help="fewer calls and shorter windows"
    )
    parser.add_argument("--only", choices=("all", "requests"), default="all")
    values = parser.parse_args()
    asyncio.run(main(values.short, values.only))
