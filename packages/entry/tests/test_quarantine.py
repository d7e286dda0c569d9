"""Tests of the quarantine of crashing requests, with real processes."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from sardineyard.standins.fleet import MODEL, FleetSpec
from sardineyard.standins.model_runner import CRASH_MARKER

if TYPE_CHECKING:
    from sardineyard.standins.fleet import Fleet


def test_a_request_that_crashes_runners_is_refused_at_every_entry(run_fleet) -> None:
    """Guards against a caller that retries a crashing request at each entry."""
    body = {"model": MODEL, "prompt": CRASH_MARKER, "max_tokens": 2}

    async def scenario(fleet: Fleet) -> None:
        lost = await fleet.call("POST", "/v1/completions", body)
        assert lost.status == 502
        # Peers exchange crash counts at least every 500 ms. No entry exposes the
        # counts it has received, so the test waits.
        await asyncio.sleep(2.0)
        for entry in fleet.entries:
            retried = await fleet.call("POST", "/v1/completions", body, entry=entry)
            assert retried.status == 422
        states = [fleet.processes[name].is_running for name in fleet.model_upstreams]
        assert states.count(False) == 3
        good = {**body, "prompt": "good"}
        assert (await fleet.call("POST", "/v1/completions", good)).status == 200

    run_fleet(FleetSpec(entries=2, model_runners=6, booking_runners=0), scenario)


def test_requests_beside_a_crashing_one_finish_and_are_not_refused(run_fleet) -> None:
    """Guards against a quarantine of concurrent requests or other work of the team."""
    good = {"model": MODEL, "prompt": "good", "max_tokens": 60}
    bad = {"model": MODEL, "prompt": CRASH_MARKER, "max_tokens": 2}

    async def scenario(fleet: Fleet) -> None:
        beside = [
            asyncio.create_task(
                fleet.call(
                    "POST",
                    "/v1/completions",
                    {**good, "prompt": f"good {number}"},
                    entry=fleet.entries[number % 2],
                )
            )
            for number in range(10)
        ]
        await asyncio.sleep(0.3)
        assert (await fleet.call("POST", "/v1/completions", bad)).status == 502
        assert {answer.status for answer in await asyncio.gather(*beside)} == {200}
        for entry in fleet.entries:
            answer = await fleet.call("POST", "/v1/completions", good, entry=entry)
            assert answer.status == 200

    run_fleet(
        FleetSpec(entries=2, model_runners=6, booking_runners=0, token_interval_s=0.02),
        scenario,
    )
