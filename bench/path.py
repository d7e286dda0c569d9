"""Speed of the path: added latency, tokens/s, requests/s and memory of one entry.

Usage: ./dev bench [--short]
Every process is real and runs on loopback; the stand-in of the model runner is called
directly and through entry and agent in turn within one run.
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
    Load,
    figures,
    histogram,
    milliseconds,
    pid_of,
    request_bytes,
    run_stream,
    runner_request,
)

from sardineyard.httpio.client import ClientConnection
from sardineyard.httpio.messages import HttpRequest
from sardineyard.standins.fleet import TEAM_KEY, Fleet, FleetSpec

if TYPE_CHECKING:
    from harness import (
        Figures,
    )

_STREAMS = 500
# 290 tokens per answer at 63 ms between tokens, as in the design's target size.
_INTERVAL_S = 0.0625
_RUNNERS = 4
_BOOKING = "/services/booking/x"


async def added_latency(fleet: Fleet, rounds: int, label: str) -> None:
    """Compare the first token of direct calls and of calls through the path."""
    direct, path = Load(), Load()
    runner = fleet.runners["model-1"]
    entry = fleet.caller_address()
    body = {"prompt": "latency", "max_tokens": 2, "stream": True}
    for _ in range(rounds):
        request = runner_request(runner, "latency", 2)
        await run_stream(runner, request, direct)
        await run_stream(entry, request_bytes(entry, body), path)
    assert direct.broken == path.broken == 0, (direct.broken, path.broken)
    one, two = histogram(direct.first_token_s), histogram(path.first_token_s)
    print(f"first token, {label}, {rounds} calls each, in turn (ms):")
    for percentile in (50.0, 99.0):
        without, with_path = (
            milliseconds(one, percentile),
            milliseconds(two, percentile),
        )
        print(
            f"  p{percentile:.0f}: direct {without:.2f}, path {with_path:.2f}, "
            f"added {with_path - without:.2f}"
        )


async def streams(fleet: Fleet, count: int, window_s: float, interval_s: float) -> Load:
    """Keep a number of streams open and measure the middle of their life."""
    for upstream in fleet.model_upstreams:
        await control_runner(fleet, upstream, interval_s)
    entry = fleet.caller_address()
    pid = pid_of(fleet, "entry-1")
    agent = pid_of(fleet, "agent-model-1")
    load = Load()
    tokens = int((window_s + 5.0) / interval_s)
    body = {"max_tokens": tokens, "stream": True}
    tasks = []
    for number in range(count):
        request = request_bytes(entry, {**body, "prompt": f"stream {number}"})
        tasks.append(asyncio.create_task(run_stream(entry, request, load)))
        # Ten batches in a second, so that the connections do not start at once.
        if number % (count // 10) == 0:
            await asyncio.sleep(0.1)
    await asyncio.sleep(1.0)
    before, agent_before = figures(pid), figures(agent)
    client_before = sum(os.times()[:2])
    started, first = time.perf_counter(), load.tokens
    await asyncio.sleep(window_s)
    elapsed = time.perf_counter() - started
    after, agent_after = figures(pid), figures(agent)
    client = (sum(os.times()[:2]) - client_before) / elapsed
    rate = (load.tokens - first) / elapsed
    open_streams = sum(not task.done() for task in tasks)
    print(
        f"{open_streams} open streams, {count / interval_s:.0f} tokens/s offered:\n"
        f"  delivered {rate:.0f} tokens/s; entry {share(before, after, elapsed)}, "
        f"agent {share(agent_before, agent_after, elapsed)}, "
        f"load generator {client:.0%} of a core"
    )
    await asyncio.gather(*tasks)
    print(f"  whole {load.whole}, broken {load.broken}")
    return load


async def control_runner(fleet: Fleet, upstream: str, interval_s: float) -> None:
    """Set the speed of a stand-in."""
    change = f'{{"token_interval_s": {interval_s}}}'.encode()
    async with await ClientConnection.open(fleet.runners[upstream]) as connection:
        await connection.send(HttpRequest("POST", "/control", {}, change))
        await connection.receive_head()


async def requests_per_second(fleet: Fleet, seconds: float, callers: int) -> None:
    """Send small service calls over kept connections, each caller one at a time."""
    entry = fleet.caller_address()
    pid = pid_of(fleet, "entry-1")
    done = 0
    problems: Counter[str] = Counter()
    end = time.perf_counter() + seconds
    request = HttpRequest("GET", _BOOKING, {"authorization": f"Bearer {TEAM_KEY}"})

    async def caller() -> None:
        nonlocal done
        async with await ClientConnection.open(entry) as connection:
            while time.perf_counter() < end:
                await connection.send(request)
                head = await connection.receive_head()
                body = b"".join([piece async for piece in connection.receive_body()])
                if head.status != 200:
                    problems[msgspec.json.decode(body)["kind"]] += 1
                connection.start_next_exchange()
                done += head.status == 200

    before, started = figures(pid), time.perf_counter()
    client = sum(os.times()[:2])
    await asyncio.gather(*(caller() for _ in range(callers)))
    elapsed = time.perf_counter() - started
    client = (sum(os.times()[:2]) - client) / elapsed
    print(
        f"{done / elapsed:.0f} service requests/s with {callers} callers; "
        f"entry {share(before, figures(pid), elapsed)}, "
        f"load generator {client:.0%} of a core; refused: {dict(problems)}"
    )


def share(before: Figures, after: Figures, elapsed: float) -> str:
    """Return the processor share and the memory of a process as text."""
    used = (after.cpu_s - before.cpu_s) / elapsed
    return f"{used:.0%} of a core, {after.resident_mb:.1f} MB resident"


async def main(short: bool, only: str) -> None:
    """Run every measurement on one fleet."""
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
            rest = {
                name: figures(pid_of(fleet, name)).resident_mb
                for name in ("entry-1", "agent-model-1")
            }
            print(f"load average {os.getloadavg()[0]:.1f} on {os.cpu_count()} cores")
            print("resident at rest:", {k: f"{v:.1f} MB" for k, v in rest.items()})
            if only == "requests":
                await requests_per_second(fleet, window, 32)
                return
            await added_latency(fleet, rounds, "idle")
            await streams(fleet, _STREAMS, window, _INTERVAL_S)
            load = asyncio.create_task(
                streams(fleet, _STREAMS, window + 3.0, _INTERVAL_S)
            )
            await asyncio.sleep(2.5)
            await added_latency(fleet, rounds // 4, f"under {_STREAMS} streams")
            await load
            await streams(fleet, _STREAMS, window, _INTERVAL_S / 4)
            await requests_per_second(fleet, window, 32)


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--short", action="store_true", help="a quick trial")
    parser.add_argument("--only", choices=("all", "requests"), default="all")
    values = parser.parse_args()
    asyncio.run(main(values.short, values.only))
