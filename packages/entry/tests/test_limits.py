"""Tests of the limits that the document sets for an entry, with real processes."""

import asyncio
import json
from collections import Counter

from sardineyard.standins.fleet import MODEL, Fleet, FleetSpec


def test_a_team_over_its_limit_and_a_body_that_is_too_large_are_refused(
    run_fleet,
) -> None:
    """Guards against limits that are configured but not applied."""
    body = {"model": MODEL, "prompt": "A", "max_tokens": 40}

    async def scenario(fleet: Fleet) -> None:
        document = fleet.document
        team = {**document["teams"][0], "max_in_flight": 3}
        limits = {"max_body_bytes": 2_000}
        await fleet.publish(
            {**document, "version": 2, "teams": [team], "limits": limits}
        )
        async with asyncio.timeout(9.0):
            # Another process cannot set an event here, so its state is polled.
            while (await fleet.state("entry-1"))["document"]["version"] != 2:  # noqa: ASYNC110
                await asyncio.sleep(0.05)
        await fleet.call("GET", "/v1/models")
        calls = [fleet.call("POST", "/v1/completions", body) for _ in range(5)]
        responses = await asyncio.gather(*calls)
        assert Counter(response.status for response in responses) == {200: 3, 429: 2}
        refused = next(response for response in responses if response.status == 429)
        assert json.loads(refused.body)["outcome"] == "not_run"
        large = {**body, "prompt": "A" * 3_000}
        assert (await fleet.call("POST", "/v1/completions", large)).status == 413

    run_fleet(
        FleetSpec(model_runners=1, booking_runners=0, token_interval_s=0.02), scenario
    )
