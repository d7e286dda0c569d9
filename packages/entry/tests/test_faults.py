"""End-to-end tests with agents and runners that stop or fail."""

import asyncio
import json

import pytest

from sardineyard.httpio.client import ResponseError
from sardineyard.standins.demo import new_key
from sardineyard.standins.fleet import MODEL, Fleet, FleetSpec
from sardineyard.standins.model_runner import token_at


def expected_text(prompt: str, count: int) -> str:
    """Return the complete response to a prompt."""
    return "".join(token_at(prompt, index) for index in range(count))


def test_a_graceful_stop_of_an_agent_cuts_no_response(run_fleet) -> None:
    """Guards against a stop that cuts open responses or fails new requests."""

    async def scenario(fleet: Fleet) -> None:
        body = {"model": MODEL, "prompt": "D", "max_tokens": 60}
        early_requests = [
            asyncio.create_task(fleet.call("POST", "/v1/completions", body))
            for _ in range(8)
        ]
        await asyncio.sleep(0.3)
        agent = fleet.processes["agent-model-1"]
        stopping = asyncio.create_task(agent.stop())
        late_requests = []
        for _ in range(20):
            late_requests.append(
                asyncio.create_task(fleet.call("POST", "/v1/completions", body))
            )
            await asyncio.sleep(0.05)
        for response in await asyncio.gather(*early_requests, *late_requests):
            assert response.status == 200, response.body
            text = json.loads(response.body)["choices"][0]["text"]
            assert text == expected_text("D", 60)
        assert await stopping == 0

    run_fleet(FleetSpec(token_interval_s=0.02), scenario)


def test_a_killed_agent_does_not_break_responses(run_fleet) -> None:
    """Guards against lost, truncated or mixed responses when an agent dies."""

    async def scenario(fleet: Fleet) -> None:
        bodies = [
            {"model": MODEL, "prompt": f"E{number}", "max_tokens": 80}
            for number in range(10)
        ]
        calls = [
            asyncio.create_task(fleet.call("POST", "/v1/completions", body))
            for body in bodies
        ]
        await asyncio.sleep(0.6)
        fleet.processes["agent-model-2"].kill()
        for body, response in zip(bodies, await asyncio.gather(*calls), strict=True):
            assert response.status == 200, response.body
            text = json.loads(response.body)["choices"][0]["text"]
            assert text == expected_text(body["prompt"], 80)

    run_fleet(FleetSpec(token_interval_s=0.02), scenario)


def test_a_frozen_agent_is_replaced_within_the_silence_limit(run_fleet) -> None:
    """Guards against requests that wait for an agent whose connections stay open."""

    async def scenario(fleet: Fleet) -> None:
        body = {"model": MODEL, "prompt": "F", "max_tokens": 100}
        calls = [
            asyncio.create_task(fleet.call("POST", "/v1/completions", body))
            for _ in range(6)
        ]
        await asyncio.sleep(0.5)
        fleet.processes["agent-model-1"].freeze()
        for response in await asyncio.gather(*calls):
            assert response.status == 200, response.body
            text = json.loads(response.body)["choices"][0]["text"]
            assert text == expected_text("F", 100)

    run_fleet(FleetSpec(token_interval_s=0.02), scenario)


def test_a_stream_without_an_upstream_left_is_sent_without_its_end(run_fleet) -> None:
    """Guards against a partial stream that a client treats as complete."""

    async def scenario(fleet: Fleet) -> None:
        body = {"model": MODEL, "prompt": "G", "max_tokens": 100, "stream": True}
        call = asyncio.create_task(fleet.call("POST", "/v1/completions", body))
        await asyncio.sleep(0.5)
        fleet.processes["model-1"].kill()
        with pytest.raises(ResponseError):
            await call

    run_fleet(FleetSpec(model_runners=1, token_interval_s=0.02), scenario)


def test_a_graceful_stop_of_an_agent_delivers_the_last_responses(run_fleet) -> None:
    """Guards against an exit before finished responses have been sent."""

    async def scenario(fleet: Fleet) -> None:
        calls = [
            asyncio.create_task(
                fleet.call(
                    "POST",
                    "/services/booking/book",
                    {"number": number},
                    headers={"idempotency-key": new_key()},
                )
            )
            for number in range(20)
        ]
        await asyncio.sleep(0.2)
        assert await fleet.processes["agent-booking-1"].stop() == 0
        assert {response.status for response in await asyncio.gather(*calls)} == {201}

    run_fleet(FleetSpec(booking_delay_s=0.5), scenario)
