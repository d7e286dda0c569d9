"""Tests of the path from the caller to the upstreams with real processes."""

import asyncio
import json

from sardineyard.standins.demo import new_key
from sardineyard.standins.fleet import MODEL, Fleet, FleetSpec
from sardineyard.standins.model_runner import token_at


def test_a_streamed_answer_is_whole_and_a_booking_runs_once(run_fleet) -> None:
    """Guards against a break anywhere between the caller and the upstreams."""

    async def scenario(fleet: Fleet) -> None:
        body = {"model": MODEL, "prompt": "A", "max_tokens": 5, "stream": True}
        answer = await fleet.call("POST", "/v1/completions", body)
        lines = [line[6:] for line in answer.body.decode().split("\n\n") if line]
        assert lines[-1] == "[DONE]"
        texts = [json.loads(line)["choices"][0]["text"] for line in lines[:-2]]
        assert texts == [token_at("A", index) for index in range(5)]
        headers = {"idempotency-key": new_key()}
        calls = [
            fleet.call("POST", "/services/booking/book", {}, headers=headers)
            for _ in range(4)
        ]
        answers = await asyncio.gather(*calls)
        assert {answer.status for answer in answers} == {201}
        assert len({answer.body for answer in answers}) == 1
        assert len(await fleet.record("booking-1")) == 1

    run_fleet(FleetSpec(), scenario)


def test_a_stream_goes_on_at_another_upstream_when_its_runner_dies(run_fleet) -> None:
    """Guards against answers that are cut, repeated or mixed when a runner dies."""

    async def scenario(fleet: Fleet) -> None:
        body = {"model": MODEL, "prompt": "B", "max_tokens": 100}
        calls = [
            asyncio.create_task(fleet.call("POST", "/v1/completions", body))
            for _ in range(6)
        ]
        await asyncio.sleep(0.5)
        fleet.processes["model-1"].kill()
        expected = "".join(token_at("B", index) for index in range(100))
        for answer in await asyncio.gather(*calls):
            assert answer.status == 200
            assert json.loads(answer.body)["choices"][0]["text"] == expected

    run_fleet(FleetSpec(token_interval_s=0.02), scenario)


def test_a_planned_stop_of_an_entry_cuts_no_stream(run_fleet) -> None:
    """Guards against a stop that ends open streams or takes new ones."""

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
