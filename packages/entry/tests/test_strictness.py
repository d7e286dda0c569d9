"""Tests of requests that an entry rejects, with real processes."""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING

from sardineyard.standins.fleet import MODEL, TEAM_KEY, FleetSpec

if TYPE_CHECKING:
    from sardineyard.standins.fleet import Fleet

BODY = {"model": MODEL, "prompt": "A", "max_tokens": 2}


async def status_of_raw_head(fleet: Fleet, head: str) -> int:
    """Send an unmodified request head and return the status of the response."""
    address = fleet.caller_address()
    reader, writer = await asyncio.open_connection(address.host, address.port)
    writer.write(head.replace("\n", "\r\n").encode())
    async with asyncio.timeout(5.0):
        line = await reader.readline()
    writer.close()
    return int(line.split()[1])


def test_unsupported_requests_are_rejected_with_a_fitting_status(run_fleet) -> None:
    """Guards against a rejection that makes callers retry the same request."""

    async def scenario(fleet: Fleet) -> None:
        unknown = {**BODY, "model": "no-such-model"}
        response = await fleet.call("POST", "/v1/completions", unknown)
        assert response.status == 404
        assert json.loads(response.body)["outcome"] == "not_run"
        three = {**BODY, "n": 3}
        assert (await fleet.call("POST", "/v1/completions", three)).status == 400
        one = {**BODY, "n": 1}
        assert (await fleet.call("POST", "/v1/completions", one)).status == 200
        key = f"authorization: Bearer {TEAM_KEY}"
        head = f"HEAD /v1/models HTTP/1.1\nhost: entry\n{key}\n\n"
        assert await status_of_raw_head(fleet, head) == 405
        assert await status_of_raw_head(fleet, "PRI * HTTP/2.0\n\nSM\n\n") == 400

    run_fleet(FleetSpec(model_runners=1, booking_runners=0), scenario)
