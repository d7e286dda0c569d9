"""Tests of the quarantine with real processes."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from sardineyard.standins.fleet import MODEL, FleetSpec
from sardineyard.standins.model_runner import CRASH_MARKER

if TYPE_CHECKING:
    from sardineyard.standins.fleet import Fleet


def test_a_request_that_crashes_runners_is_refused_at_every_entry(run_fleet) -> None:
    """Guards against a caller that takes a crashing request from entry to entry."""
    body = {"model": MODEL, "prompt": CRASH_MARKER, "max_tokens": 2}

    async def scenario(fleet: Fleet) -> None:
        lost = await fleet.call("POST", "/v1/completions", body)
        assert lost.status == 502
        # Counts travel with the exchanges of peers, every 500 ms at the latest, and
        # no entry shows what it has heard.
        await asyncio.sleep(2.0)
        for entry in fleet.entries:
            again = await fleet.call("POST", "/v1/completions", body, entry=entry)
            assert again.status == 422
        states = [fleet.processes[name].is_running for name in fleet.model_upstreams]
        assert states.count(False) == 3
        good = {**body, "prompt": "good"}
        assert (await fleet.call("POST", "/v1/completions", good)).status == 200

    run_fleet(FleetSpec(entries=2, model_runners=6, booking_runners=0), scenario)
