"""End-to-end tests from the caller to the upstreams, with real processes."""

import asyncio
import json

from sardineyard.standins.demo import new_key
from sardineyard.standins.fleet import MODEL, Fleet, FleetSpec
from sardineyard.standins.model_runner import token_at


def test_a_streamed_response_is_complete_and_a_booking_runs_once(run_fleet) -> None:
    """Guards against a fault anywhere between the caller and the upstreams."""

    async def scenario(fleet: Fleet) -> None:
        body = {"model": MODEL, "prompt": "A", "max_tokens": 5, "stream": True}
        response = await fleet.call("POST", "/v1/completions", body)
        lines = [line[6:] for line in response.body.decode().split("\n\n") if line]
        assert lines[-1] == "[DONE]"
        texts = [json.loads(line)["choices"][0]["text"] for line in lines[:-2]]
        assert texts == [token_at("A", index) for index in range(5)]
        headers = {"idempotency-key": new_key()}
        calls = [
            fleet.call("POST", "/services/booking/book", {}, headers=headers)
            for _ in range(4)
        ]
        responses = await asyncio.gather(*calls)
        assert {response.status for response in responses} == {201}
        assert len({response.body for response in responses}) == 1
        assert len(await fleet.record("booking-1")) == 1

    run_fleet(FleetSpec(), scenario)


def test_a_response_continues_at_another_upstream_when_its_runner_dies(
    run_fleet,
) -> None:
    """Guards against truncated, duplicated or mixed tokens when a runner dies."""

    async def scenario(fleet: Fleet) -> None:
        body = {"model": MODEL, "prompt": "B", "max_tokens": 100}
        calls = [
            asyncio.create_task(fleet.call("POST", "/v1/completions", body))
            for _ in range(6)
        ]
        await asyncio.sleep(0.5)
        fleet.processes["model-1"].kill()
        expected = "".join(token_at("B", index) for index in range(100))
        for response in await asyncio.gather(*calls):
            assert response.status == 200
            assert json.loads(response.body)["choices"][0]["text"] == expected

    run_fleet(FleetSpec(token_interval_s=0.02), scenario)


def test_a_graceful_stop_of_an_entry_cuts_no_stream(run_fleet) -> None:
    """Guards against a stop that cuts open streams or accepts new ones."""

    async def scenario(fleet: Fleet) -> None:
        body = {"model": MODEL, "prompt": "C", "max_tokens": 60, "stream": True}
        open_stream = asyncio.create_task(fleet.call("POST", "/v1/completions", body))
        await asyncio.sleep(0.3)
        entry = fleet.processes["entry-1"]
        stopping = asyncio.create_task(entry.stop())
        await asyncio.sleep(0.2)
        late = await fleet.call("POST", "/v1/completions", body)
        assert late.status == 503
        assert json.loads(late.body)["outcome"] == "not_run"
        assert b"[DONE]" in (await open_stream).body
        assert await stopping == 0

    run_fleet(FleetSpec(token_interval_s=0.02), scenario)
