"""Measure how the load of entry and agent grows with one size at a time.

Usage: ./dev bench-slopes [--window SECONDS] [--only NAME]
Sizes that fit on one machine run on real processes; larger ones on the libraries alone.
"""

from __future__ import annotations

import argparse
import asyncio
import hashlib
import os
import re
import tempfile
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from contextlib import asynccontextmanager
from copy import deepcopy
from pathlib import Path
from typing import TYPE_CHECKING, Any

from fit import fit
from harness import StreamTotals, pid_of, process_usage, request_bytes, run_stream
from libraries import LIBRARY_SERIES

from sardineyard.httpio.client import fetch
from sardineyard.httpio.messages import HttpRequest
from sardineyard.standins.fleet import Fleet, FleetSpec

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

_ROLES = {"entry": "entry-1", "agent": "agent-model-1"}
_SETTLE_S = 2.0
_CONTROL_METRIC = re.compile(
    r'sardineyard_control_(bytes|messages)_total\{.*channel="(\w+)".*\} (\S+)'
)
_CONTROL_FIGURES = ("session B/s", "peer B/s", "platform B/s", "control messages/s")
_TOKEN_INTERVAL_S = 0.0625

Point = dict[str, float]


async def read_control_counters(fleet: Fleet, name: str) -> Counter[str]:
    """Return control byte counts by channel and the control message count."""
    response = await fetch(fleet.ports[name].admin, HttpRequest("GET", "/metrics"), 5.0)
    totals: Counter[str] = Counter()
    for line in response.body.decode().splitlines():
        sample = _CONTROL_METRIC.match(line)
        if sample and sample[1] == "bytes":
            totals[f"{sample[2]} B/s"] += int(float(sample[3]))
        elif sample:
            totals["control messages/s"] += int(float(sample[3]))
    return totals


def cpu_s(pid: int) -> float:
    """Return the CPU time of a process with nanosecond resolution."""
    return int(Path(f"/proc/{pid}/schedstat").read_text().split()[0]) / 1e9


async def measure_roles(fleet: Fleet, window_s: float) -> dict[str, Point]:
    """Measure CPU, memory and control traffic of each role over a window."""
    before = {}
    for role, name in _ROLES.items():
        before[role] = (
            cpu_s(pid_of(fleet, name)),
            await read_control_counters(fleet, name),
        )
    started = time.perf_counter()
    await asyncio.sleep(window_s)
    elapsed = time.perf_counter() - started
    points = {}
    for role, name in _ROLES.items():
        pid = pid_of(fleet, name)
        cpu_before, counters_before = before[role]
        cpu = (cpu_s(pid) - cpu_before) / elapsed
        counters = await read_control_counters(fleet, name)
        points[role] = {
            "cpu %": cpu * 100,
            "resident MB": process_usage(pid).resident_mb,
            **{
                figure: (counters[figure] - counters_before[figure]) / elapsed
                for figure in _CONTROL_FIGURES
            },
        }
    return points


@asynccontextmanager
async def running_fleet(spec: FleetSpec) -> AsyncIterator[Fleet]:
    """Run a fleet and wait until it has settled."""
    with tempfile.TemporaryDirectory(prefix="sardineyard-slopes-") as folder:
        async with Fleet(spec, Path(folder)) as fleet:
            await asyncio.sleep(_SETTLE_S)
            yield fleet


async def vary_entries(window_s: float) -> list[tuple[float, dict[str, Point]]]:
    """Vary the number of entries with two runners."""
    points = []
    for count in (1, 2, 4, 8):
        async with running_fleet(FleetSpec(entries=count, booking_runners=0)) as fleet:
            points.append((float(count), await measure_roles(fleet, window_s)))
    return points


async def vary_runners(window_s: float) -> list[tuple[float, dict[str, Point]]]:
    """Vary the number of runners behind one entry."""
    points = []
    for count in (2, 5, 10, 20):
        async with running_fleet(
            FleetSpec(model_runners=count, booking_runners=0)
        ) as fleet:
            points.append((float(count), await measure_roles(fleet, window_s)))
    return points


async def vary_streams(window_s: float) -> list[tuple[float, dict[str, Point]]]:
    """Vary the number of open streams through one entry and one agent."""
    points = []
    spec = FleetSpec(
        model_runners=1,
        booking_runners=0,
        slots=1_000,
        token_interval_s=_TOKEN_INTERVAL_S,
    )
    for count in (0, 100, 200, 300):
        async with running_fleet(spec) as fleet:
            entry = fleet.caller_address()
            tokens = int((window_s + 3.0) / _TOKEN_INTERVAL_S)
            totals = StreamTotals()
            tasks = []
            for number in range(count):
                body = {"prompt": f"{number}", "max_tokens": tokens, "stream": True}
                request = request_bytes(entry, body)
                tasks.append(asyncio.create_task(run_stream(entry, request, totals)))
            await asyncio.sleep(1.5)
            points.append((float(count), await measure_roles(fleet, window_s)))
            await asyncio.gather(*tasks)
            assert totals.whole == count, (totals.whole, totals.broken)
    return points


def add_teams(document: dict[str, Any], count: int, version: int) -> dict[str, Any]:
    """Return a copy of the document with additional teams and a new version."""
    result = deepcopy(document)
    result["version"] = version
    priority = document["teams"][0]["default_priority"]
    for number in range(count):
        key = hashlib.sha256(f"team {number}".encode()).hexdigest()
        team = {"id": f"team-{number}", "key_sha256": key, "default_priority": priority}
        result["teams"].append(team)
    return result


async def vary_teams(window_s: float) -> list[tuple[float, dict[str, Point]]]:
    """Vary the number of teams, and so the size, of the document."""
    points = []
    for count in (10, 1_300, 2_600, 5_200):
        async with running_fleet(FleetSpec(booking_runners=0)) as fleet:
            await fleet.publish(add_teams(fleet.document, count, 2))
            await asyncio.sleep(_SETTLE_S)
            points.append((float(count), await measure_roles(fleet, window_s)))
    return points


async def vary_changes(window_s: float) -> list[tuple[float, dict[str, Point]]]:
    """Vary the changes per minute of a document with 1,300 teams."""
    points = []
    for per_minute in (0, 15, 30, 60):
        async with running_fleet(FleetSpec(booking_runners=0)) as fleet:
            base = fleet.document
            await fleet.publish(add_teams(base, 1_300, 2))
            await asyncio.sleep(_SETTLE_S)

            async def publish_changes(base: Any, fleet: Fleet, per_minute: int) -> None:
                for version in range(3, 3 + int(window_s * per_minute / 60) + 1):
                    await asyncio.sleep(60 / per_minute)
                    await fleet.publish(add_teams(base, 1_300, version))

            task = None
            if per_minute:
                task = asyncio.create_task(publish_changes(base, fleet, per_minute))
            points.append((float(per_minute), await measure_roles(fleet, window_s)))
            if task is not None:
                task.cancel()
    return points


Series = Callable[[float], Awaitable[list[tuple[float, dict[str, Point]]]]]
_SERIES: dict[str, Series] = {
    "entries": vary_entries,
    "runners": vary_runners,
    "open streams": vary_streams,
    "teams": vary_teams,
    "changes a minute": vary_changes,
}


def print_series(size: str, points: list[tuple[float, dict[str, Point]]]) -> None:
    """Print the points and the fitted line of each figure as a Markdown table."""
    sizes = [point[0] for point in points]
    for role in points[0][1]:
        print(f"\n### {size}, {role}\n")
        header = " | ".join(f"{value:g}" for value in sizes)
        print(f"| figure | {header} | slope per unit | at 0 | error of fit |")
        print("|---" * (len(sizes) + 4) + "|")
        for figure in points[0][1][role]:
            values = [point[1][role][figure] for point in points]
            line = fit(sizes, values)
            cells = " | ".join(f"{value:.3g}" for value in values)
            print(
                f"| {figure} | {cells} | {line.slope:.4g} | {line.intercept:.4g} "
                f"| {line.rms_error:.2g} ({line.relative_error:.0%} of the span) |"
            )


async def main(window_s: float, only: str | None) -> None:
    """Run and print the series with the given name, or all of them."""
    print(f"load average {os.getloadavg()[0]:.1f} on {os.cpu_count()} cores")
    for name, series in _SERIES.items():
        if only in (None, name):
            print_series(name, await series(window_s))
    for name, library_series in LIBRARY_SERIES.items():
        if only in (None, name):
            print_series(name, library_series())
    print(f"\nload average {os.getloadavg()[0]:.1f} at the end")


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--window", type=float, default=5.0)
    parser.add_argument("--only")
    values = parser.parse_args()
    asyncio.run(main(values.window, values.only))
