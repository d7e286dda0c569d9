"""Fixtures for the configsync tests."""

from __future__ import annotations

import json
from collections.abc import Callable
from datetime import datetime
from random import Random
from typing import TYPE_CHECKING, Any, TypeAlias

import pytest

from sardineyard.configsync.members import MemberTable, PeerMember
from sardineyard.core.address import Address
from sardineyard.core.ids import FailureDomain, Incarnation, ProcessId
from sardineyard.standins.fleet import Fleet

if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path

LogEvents: TypeAlias = Callable[[Fleet, str, str], list[dict[str, Any]]]


@pytest.fixture
def random() -> Random:
    """Return a random generator and print its seed."""
    seed = 20_260_704
    print(f"seed {seed}")
    return Random(seed)


@pytest.fixture
def make_tables() -> Callable[[int, int], list[MemberTable]]:
    """Return a function that creates a member table for each process of a fleet."""

    def make(size: int, domains: int) -> list[MemberTable]:
        return [
            MemberTable(
                PeerMember(
                    ProcessId(f"process-{number}"),
                    Address("10.0.0.1", number + 1),
                    Incarnation(1),
                    FailureDomain(f"domain-{number % domains}"),
                    0.0,
                )
            )
            for number in range(size)
        ]

    return make


@pytest.fixture
def log_events() -> LogEvents:
    """Return a function that reads the log entries of one event from a process."""

    def parse(text: str, event: str) -> Iterator[dict[str, Any]]:
        for line in text.splitlines():
            if line.startswith("{"):
                entry = json.loads(line)
                if entry.get("event") == event:
                    moment = datetime.fromisoformat(entry["time"])
                    yield {**entry, "at": moment.timestamp()}

    def read(fleet: Fleet, process: str, event: str) -> list[dict[str, Any]]:
        return list(parse(fleet.processes[process].log_text(), event))

    return read


@pytest.fixture
def restart() -> Callable[..., Any]:
    """Return a function that kills a daemon and starts it again with an empty log."""

    def clear_log(path: Path) -> None:
        path.write_text("")

    async def run(fleet: Fleet, name: str, ready: bool = True) -> None:
        fleet.processes[name].kill()
        await fleet.processes[name].wait()
        clear_log(fleet.folder / f"{name}.log")
        await fleet.start(name)
        if ready:
            await fleet.wait_ready(name)

    return run
