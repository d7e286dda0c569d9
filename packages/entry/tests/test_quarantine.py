"""Tests of requests that crash the runners that run them."""

import asyncio
import json

from sardineyard.standins.fleet import MODEL, Fleet, FleetSpec
from sardineyard.standins.model_runner import CRASH_MARKER

SPEC = FleetSpec(entries=3, model_runners=8, booking_runners=0, token_interval_s=0.02)
LIMIT = 3


def _dead_runners(fleet: Fleet) -> int:
    return sum(not fleet.processes[name].is_running for name in fleet.model_upstreams)


def test_a_crashing_request_is_stopped_across_entries(run_fleet) -> None:
    """Guards against a request that is sent again until every runner is dead."""

    async def scenario(fleet: Fleet) -> None:
        good = {"model": MODEL, "prompt": "good", "max_tokens": 100}
        bad = {"model": MODEL, "prompt": CRASH_MARKER, "max_tokens": 5}
        neighbours = [
            asyncio.create_task(
                fleet.call(
                    "POST",
                    "/v1/completions",
                    {**good, "prompt": f"good {number}"},
                    entry=fleet.entries[number % 3],
                )
            )
            for number in range(12)
        ]
        await asyncio.sleep(0.3)
        kinds = []
        for attempt in range(9):
            answer = await fleet.call(
                "POST", "/v1/completions", bad, entry=fleet.entries[attempt % 3]
            )
            kinds.append(json.loads(answer.body)["kind"])
            # The caller waits a little, and the counts travel meanwhile.
            await asyncio.sleep(1.0)
        assert kinds[-1] == "quarantined"
        assert _dead_runners(fleet) <= LIMIT
        # Requests that only ran beside it finish, and the team is not punished.
        answers = await asyncio.gather(*neighbours)
        assert {answer.status for answer in answers} == {200}
        for entry in fleet.entries:
            answer = await fleet.call("POST", "/v1/completions", good, entry=entry)
            assert answer.status == 200

    run_fleet(SPEC, scenario)
