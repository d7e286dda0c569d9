"""Tests of the path when agents and runners stop or misbehave."""

import asyncio
import json

import pytest

from sardineyard.httpio.client import ResponseError
from sardineyard.standins.demo import new_key
from sardineyard.standins.fleet import MODEL, Fleet, FleetSpec
from sardineyard.standins.model_runner import token_at


def expected_text(prompt: str, count: int) -> str:
    """Return the whole answer to a prompt."""
    return "".join(token_at(prompt, index) for index in range(count))


def test_a_planned_stop_of_an_agent_cuts_no_answer(run_fleet) -> None:
    """Guards against a stop that cuts open answers or refuses new ones for good."""

    async def scenario(fleet: Fleet) -> None:
        body = {"model": MODEL, "prompt": "D", "max_tokens": 60}
        early = [
            asyncio.create_task(fleet.call("POST", "/v1/completions", body))
            for _ in range(8)
        ]
        await asyncio.sleep(0.3)
        agent = fleet.processes["agent-model-1"]
        stopping = asyncio.create_task(agent.stop())
        late = []
        for _ in range(20):
            late.append(
                asyncio.create_task(fleet.call("POST", "/v1/completions", body))
            )
            await asyncio.sleep(0.05)
        for answer in await asyncio.gather(*early, *late):
            assert answer.status == 200, answer.body
            text = json.loads(answer.body)["choices"][0]["text"]
            assert text == expected_text("D", 60)
        assert await stopping == 0

    run_fleet(FleetSpec(token_interval_s=0.02), scenario)


def test_an_agent_that_is_killed_does_not_break_answers(run_fleet) -> None:
    """Guards against answers that are lost, cut or mixed when an agent dies."""

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
        for body, answer in zip(bodies, await asyncio.gather(*calls), strict=True):
            assert answer.status == 200, answer.body
            text = json.loads(answer.body)["choices"][0]["text"]
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
        for answer in await asyncio.gather(*calls):
            assert answer.status == 200, answer.body
            text = json.loads(answer.body)["choices"][0]["text"]
            assert text == expected_text("F", 100)

    run_fleet(FleetSpec(token_interval_s=0.02), scenario)


def test_an_answer_without_an_upstream_left_has_no_end(run_fleet) -> None:
    """Guards against a partial stream that a client takes for a whole answer."""

    async def scenario(fleet: Fleet) -> None:
        body = {"model": MODEL, "prompt": "G", "max_tokens": 100, "stream": True}
        call = asyncio.create_task(fleet.call("POST", "/v1/completions", body))
        await asyncio.sleep(0.5)
        fleet.processes["model-1"].kill()
        with pytest.raises(ResponseError):
            await call

    run_fleet(FleetSpec(model_runners=1, token_interval_s=0.02), scenario)


def test_a_planned_stop_of_an_agent_delivers_the_last_answers(run_fleet) -> None:
    """Guards against an exit while finished answers still wait to be sent."""

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
        assert {answer.status for answer in await asyncio.gather(*calls)} == {201}

    run_fleet(FleetSpec(booking_delay_s=0.5), scenario)
