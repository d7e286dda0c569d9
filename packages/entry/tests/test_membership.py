"""Tests of the entry's view of its upstreams with real processes."""

import asyncio
import json
import time

import msgspec

from sardineyard.httpio.client import fetch
from sardineyard.httpio.messages import HttpRequest
from sardineyard.standins.demo import new_key
from sardineyard.standins.fleet import MODEL, Fleet, FleetSpec
from sardineyard.standins.model_runner import token_at

SLOW = FleetSpec(token_interval_s=0.02)
# A silent connection must be noticed within this time.
NOTICED_WITHIN_S = 2.5
# The operating system resets the connections of a killed process at once.
KILLED_NOTICED_WITHIN_S = 1.0
# Reading the state of another process takes time too.
POLL_TOLERANCE_S = 0.3


async def complete(fleet: Fleet, prompt: str, count: int) -> None:
    """Ask for a completion and check that it is whole."""
    body = {"model": MODEL, "prompt": prompt, "max_tokens": count}
    answer = await fleet.call("POST", "/v1/completions", body)
    assert answer.status == 200, answer.body
    expected = "".join(token_at(prompt, index) for index in range(count))
    assert json.loads(answer.body)["choices"][0]["text"] == expected


async def until(fleet: Fleet, upstream_states, upstream: str, state: str) -> float:
    """Wait until the entry sees an upstream in a state; return the seconds."""
    started = time.monotonic()
    async with asyncio.timeout(20.0):
        while (await upstream_states(fleet))[upstream]["state"] != state:  # noqa: ASYNC110
            await asyncio.sleep(0.02)
    return time.monotonic() - started


def test_a_leaving_upstream_gets_no_new_work_although_the_vm_list_lags(
    run_fleet, upstream_states
) -> None:
    """Guards against new work for a VM that is about to disappear."""

    async def scenario(fleet: Fleet) -> None:
        vms = [
            {"vm": name, "address": str(ports.peer), "state": "live"}
            for name, ports in fleet.ports.items()
            if name.startswith("agent-")
        ]
        await fleet.control_platform({"vms": vms})
        # An answer of 7 s keeps the leaving agent from exiting during the test.
        long = [asyncio.create_task(complete(fleet, "A", 350)) for _ in range(6)]
        await asyncio.sleep(0.5)
        agent = fleet.processes["agent-model-1"]
        stopping = asyncio.create_task(agent.stop())
        await until(fleet, upstream_states, "model-1", "leaving")
        await asyncio.sleep(3.0)
        started = await runs_started(fleet)
        for number in range(40):
            await complete(fleet, f"B{number}", 2)
        assert agent.is_running
        assert await runs_started(fleet) == started
        await asyncio.gather(*long)
        assert await stopping == 0

    async def runs_started(fleet: Fleet) -> int:
        request = HttpRequest("GET", "/state")
        answer = await fetch(fleet.runners["model-1"], request, 5.0)
        return msgspec.json.decode(answer.body)["started"]

    run_fleet(SLOW, scenario)


def test_a_killed_agent_is_noticed_and_its_successor_is_used(
    run_fleet, upstream_states
) -> None:
    """Guards against an upstream that stays out after its agent came back."""

    async def scenario(fleet: Fleet) -> None:
        before = (await upstream_states(fleet))["model-1"]["incarnation"]
        agent = fleet.processes["agent-model-1"]
        agent.kill()
        noticed_s = await until(fleet, upstream_states, "model-1", "suspect")
        print(f"killed agent noticed after {noticed_s:.3f} s")
        assert noticed_s < KILLED_NOTICED_WITHIN_S
        await complete(fleet, "A", 5)
        await agent.wait()
        await fleet.start("agent-model-1")
        await until(fleet, upstream_states, "model-1", "live")
        assert (await upstream_states(fleet))["model-1"]["incarnation"] > before

    run_fleet(SLOW, scenario)


def test_a_pause_of_the_entry_neither_cuts_streams_nor_empties_the_set(
    run_fleet,
) -> None:
    """Guards against an entry that blames all upstreams for its own pause."""

    async def scenario(fleet: Fleet) -> None:
        entry = fleet.processes["entry-1"]
        for number in range(3):
            streams = [
                asyncio.create_task(complete(fleet, f"A{number}", 250))
                for _ in range(4)
            ]
            await asyncio.sleep(0.5)
            entry.freeze()
            await asyncio.sleep(3.5)
            entry.thaw()
            await asyncio.gather(*(complete(fleet, "B", 3) for _ in range(10)))
            await asyncio.gather(*streams)
        log = entry.log_text()
        assert log.count("own_pause") == 3
        assert "session_lost" not in log

    run_fleet(SLOW, scenario)


def test_a_partition_of_the_entry_keeps_the_last_known_set(
    run_fleet, proxy_agents, upstream_states
) -> None:
    """Guards against refusals at the end of a partition that has just healed."""

    async def scenario(fleet: Fleet) -> None:
        proxies = await proxy_agents(fleet, "model-1", "model-2", "booking-1")
        for proxy in proxies:
            proxy.swallows_new = True
            proxy.swallow_open()
        for upstream in ("model-1", "model-2"):
            await until(fleet, upstream_states, upstream, "suspect")
        # The request starts during the partition, which ends a moment later.
        calls = [asyncio.create_task(complete(fleet, "A", 3)) for _ in range(4)]
        await asyncio.sleep(0.1)
        for proxy in proxies:
            proxy.swallows_new = False
            proxy.cut_silent()
        await asyncio.gather(*calls)

    run_fleet(SLOW, scenario)


def test_a_silent_connection_is_found_and_replaced(
    run_fleet, proxy_agents, upstream_states
) -> None:
    """Guards against requests that wait on an open connection without an end."""

    async def scenario(fleet: Fleet) -> None:
        proxies = await proxy_agents(fleet, "model-1", "booking-1")
        streams = [asyncio.create_task(complete(fleet, "A", 150)) for _ in range(8)]
        headers = {"idempotency-key": new_key()}
        booking = asyncio.create_task(
            fleet.call("POST", "/services/booking/book", {}, headers=headers)
        )
        await asyncio.sleep(0.3)
        for proxy in proxies:
            proxy.swallow_open()
        noticed_s = await until(fleet, upstream_states, "model-1", "suspect")
        print(f"silent connection noticed after {noticed_s:.3f} s")
        assert noticed_s < NOTICED_WITHIN_S + POLL_TOLERANCE_S
        for upstream in ("model-1", "booking-1"):
            await until(fleet, upstream_states, upstream, "live")
        await asyncio.gather(*streams)
        answer = await booking
        # The booking ran, but its answer was swallowed: it is either learned again
        # from the owner of the key or unknown, never "not run".
        if answer.status != 201:
            assert json.loads(answer.body)["outcome"] == "unknown"
        assert len(await fleet.record("booking-1")) == 1

    run_fleet(FleetSpec(token_interval_s=0.02, booking_delay_s=1.0), scenario)


def test_an_agent_ends_the_calls_of_a_silent_session(run_fleet, proxy_agents) -> None:
    """Guards against generations that hold slots for an entry that is not there."""

    async def scenario(fleet: Fleet) -> None:
        (proxy,) = await proxy_agents(fleet, "model-1")
        call = asyncio.create_task(complete(fleet, "A", 1_000))
        await asyncio.sleep(0.5)
        proxy.swallow_open()
        async with asyncio.timeout(9.0):
            # Another process cannot set an event here, so its log is polled.
            while "session_silent" not in fleet.processes["agent-model-1"].log_text():  # noqa: ASYNC110
                await asyncio.sleep(0.1)
        call.cancel()
        async with asyncio.timeout(3.0):
            while (await _running(fleet, "model-1")) > 0:  # noqa: ASYNC110
                await asyncio.sleep(0.1)

    spec = FleetSpec(model_runners=1, booking_runners=0, token_interval_s=0.05)
    run_fleet(spec, scenario)


async def _running(fleet: Fleet, upstream: str) -> int:
    address = fleet.runners[upstream]
    response = await fetch(address, HttpRequest("GET", "/state"), 2.0)
    running: int = json.loads(response.body)["running"]
    return running


def test_the_vm_list_alone_stops_new_work(run_fleet, upstream_states) -> None:
    """Guards against new work for a leaving VM whose agent does not know it."""

    async def scenario(fleet: Fleet) -> None:
        vms = [
            {
                "vm": name,
                "address": str(ports.peer),
                "state": "leaving" if name == "agent-model-1" else "live",
            }
            for name, ports in fleet.ports.items()
            if name.startswith("agent-")
        ]
        await fleet.control_platform({"vms": vms})
        # The list is read every 5 to 15 s in a fleet of this size.
        await until(fleet, upstream_states, "model-1", "leaving")
        states = await upstream_states(fleet)
        assert states["model-1"]["connected"]
        assert states["model-2"]["state"] == "live"
        await complete(fleet, "A", 3)

    run_fleet(SLOW, scenario)
