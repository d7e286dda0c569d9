"""Tests of document propagation between real processes."""

from __future__ import annotations

import asyncio
import statistics
import time
from typing import TYPE_CHECKING, Any

import msgspec

from sardineyard.httpio.client import fetch
from sardineyard.httpio.messages import HttpRequest
from sardineyard.standins.fleet import FleetSpec, loopback
from sardineyard.standins.processes import ChildProcess, free_port

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

if TYPE_CHECKING:
    from sardineyard.standins.fleet import Fleet

SMALL_FLEET = FleetSpec(entries=2, model_runners=2, booking_runners=1)
# Current size of the service: 22 processes for 3 entry VMs, 16 model runners and
# 3 booking runners.
CURRENT_FLEET = FleetSpec(entries=3, model_runners=16, booking_runners=3)
ADOPTION_TIMEOUT_S = 9.0


def _next_version(fleet: Fleet, version: int, **changes: Any) -> dict[str, Any]:
    return {**fleet.document, "version": version, **changes}


async def _wait_until(condition: Callable[[], Awaitable[bool]]) -> None:
    async with asyncio.timeout(ADOPTION_TIMEOUT_S):
        # The state is polled, as other processes cannot set an event here.
        while not await condition():  # noqa: ASYNC110
            await asyncio.sleep(0.05)


async def _wait_version(fleet: Fleet, version: int) -> None:
    async def is_in_force() -> bool:
        states = await asyncio.gather(*(fleet.state(name) for name in fleet.ports))
        documents = [state["document"] for state in states]
        return all(each and each["version"] == version for each in documents)

    await _wait_until(is_in_force)


async def _is_ready(fleet: Fleet, name: str) -> bool:
    address = fleet.ports[name].admin
    return (await fetch(address, HttpRequest("GET", "/readyz"), 2.0)).status == 200


def test_restarted_process_prefers_peers_over_stale_platform(
    run_fleet, restart, log_events
) -> None:
    """Guards against a restarted process that serves an outdated document.

    The platform serves an older version than the one that the peers have.
    """

    async def scenario(fleet: Fleet) -> None:
        await fleet.publish(_next_version(fleet, 5))
        await _wait_version(fleet, 5)
        await fleet.control_platform({"mode": "stale"})
        await restart(fleet, "entry-1")
        assert (await fleet.state("entry-1"))["document"]["version"] == 5
        adopted = log_events(fleet, "entry-1", "document_adopted")
        assert [event["version"] for event in adopted] == [5]

    run_fleet(SMALL_FLEET, scenario)


def test_fleet_serves_and_restarts_during_platform_outage(run_fleet, restart) -> None:
    """Guards against a platform outage that interrupts the service."""

    async def scenario(fleet: Fleet) -> None:
        await fleet.control_platform({"mode": "down"})
        for name in ("entry-1", "agent-model-1"):
            await restart(fleet, name)
        await fleet.wait_for_sessions("entry-1", 3)
        body = {"model": "demo-model", "prompt": "A", "max_tokens": 3}
        assert (await fleet.call("POST", "/v1/completions", body)).status == 200
        # If no process has a document, none becomes ready until the platform is up.
        await asyncio.gather(*(restart(fleet, name, False) for name in fleet.ports))
        await asyncio.sleep(3.0)
        ready = [await _is_ready(fleet, name) for name in fleet.ports]
        assert not any(ready)
        await fleet.control_platform({"mode": "up"})
        await _wait_version(fleet, 1)

    run_fleet(SMALL_FLEET, scenario)


def test_documents_with_equal_versions_converge_to_one(run_fleet, log_events) -> None:
    """Guards against a fleet that stays split between two documents.

    Two platforms publish different documents with the same version.
    """

    async def scenario(fleet: Fleet) -> None:
        second_platform = loopback(free_port())
        document_file = fleet.folder / "document.json"
        module = "sardineyard.standins.platform"
        arguments = [
            "--address",
            str(second_platform),
            "--document",
            str(document_file),
        ]
        log = fleet.folder / "platform-2.log"
        fleet.processes["platform-2"] = ChildProcess("p2", module, arguments, log)
        await fleet.start("platform-2")
        ini = fleet.folder / "entry-1.ini"
        ini.write_text(
            ini.read_text().replace(str(fleet.platform), str(second_platform))
        )
        await fleet.processes["entry-1"].stop()
        await fleet.start("entry-1")
        await fleet.wait_ready("entry-1")
        await asyncio.sleep(1.0)
        conflicting = _next_version(fleet, 2, limits={"subset_size": 7})
        body = msgspec.json.encode({"document": conflicting})
        await asyncio.gather(
            fleet.publish(_next_version(fleet, 2)),
            fetch(second_platform, HttpRequest("POST", "/control", {}, body), 5.0),
        )
        await _wait_version(fleet, 2)
        await _wait_until(lambda: has_one_digest(fleet))
        races = [log_events(fleet, name, "document_race") for name in fleet.ports]
        assert any(races)

    async def has_one_digest(fleet: Fleet) -> bool:
        states = [await fleet.state(name) for name in fleet.ports]
        return len({state["document"]["digest"] for state in states}) == 1

    run_fleet(SMALL_FLEET, scenario)


def test_invalid_document_does_not_replace_the_one_in_force(
    run_fleet, log_events
) -> None:
    """Guards against an operator's invalid document that affects callers."""

    async def scenario(fleet: Fleet) -> None:
        await fleet.publish({"version": 2, "priorities": []})
        await asyncio.sleep(2.0)
        states = [await fleet.state(name) for name in fleet.ports]
        assert {state["document"]["version"] for state in states} == {1}
        rejected = [
            event
            for name in fleet.ports
            for event in log_events(fleet, name, "document_rejected")
        ]
        assert "$.teams: required field is missing" in str(rejected)
        response = await fetch(fleet.platform, HttpRequest("GET", "/state"), 5.0)
        # A rejected document must not be read in a tight loop.
        assert msgspec.json.decode(response.body)["peak_calls_per_s"] < 40
        await fleet.publish({**fleet.initial_document(), "version": 3})
        await _wait_version(fleet, 3)

    run_fleet(SMALL_FLEET, scenario)


def test_each_change_reaches_every_process_of_the_current_fleet(
    run_fleet, log_events
) -> None:
    """Guards against changes that are late, lost or reverted."""
    changes = 10

    async def scenario(fleet: Fleet) -> None:
        published = {}
        for version in range(2, 2 + changes):
            published[version] = time.time()
            await fleet.publish(_next_version(fleet, version))
            await _wait_version(fleet, version)
        delays: dict[int, list[float]] = {version: [] for version in published}
        for name in fleet.ports:
            adopted = log_events(fleet, name, "document_adopted")
            versions = [event["version"] for event in adopted]
            assert versions == sorted(set(versions))
            for event in adopted[1:]:
                version = event["version"]
                delays[version].append(event["at"] - published[version])
        slowest = [max(values) for values in delays.values()]
        all_delays = [delay for values in delays.values() for delay in values]
        print(
            f"{len(fleet.ports)} processes, {changes} changes: seconds until in force, "
            f"median {statistics.median(all_delays):.3f}, last process of a change "
            f"median {statistics.median(slowest):.3f}, largest {max(slowest):.3f}"
        )
        assert all(len(values) == len(fleet.ports) for values in delays.values())
        assert max(slowest) < ADOPTION_TIMEOUT_S

    run_fleet(CURRENT_FLEET, scenario)
