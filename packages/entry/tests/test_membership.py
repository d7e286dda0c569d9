"""Tests of the upstream states at the entry, with real processes."""

import asyncio
import json
import time

import msgspec

from sardineyard.httpio.client import fetch
from sardineyard.httpio.messages import HttpRequest
from sardineyard.standins.demo import new_key
from sardineyard.standins.fleet import MODEL, Fleet, FleetSpec
from sardineyard.standins.model_runner import token_at

SLOW_FLEET = FleetSpec(token_interval_s=0.02)
# Time limit for the detection of a silent connection.
SILENCE_DETECTED_WITHIN_S = 2.5
# Time limit for a killed agent: the operating system resets its connections at once.
KILL_DETECTED_WITHIN_S = 1.0
# Allowance for the time that it takes to read the state of another process.
POLL_TOLERANCE_S = 0.3


async def complete(fleet: Fleet, prompt: str, count: int) -> None:
    """Request a completion and check that it is complete."""
    body = {"model": MODEL, "prompt": prompt, "max_tokens": count}
    response = await fleet.call("POST", "/v1/completions", body)
    assert response.status == 200, response.body
    expected = "".join(token_at(prompt, index) for index in range(count))
    assert json.loads(response.body)["choices"][0]["text"] == expected


async def wait_for_state(
    fleet: Fleet, upstream_states, upstream: str, state: str
) -> float:
    """Wait until an upstream is in a state at the entry; return the seconds waited."""
    started = time.monotonic()
    async with asyncio.timeout(20.0):
        while (await upstream_states(fleet))[upstream]["state"] != state:  # noqa: ASYNC110
            await asyncio.sleep(0.02)
    return time.monotonic() - started


def test_a_leaving_upstream_gets_no_new_work_although_the_vm_list_lags(
    run_fleet, upstream_states
) -> None:
    """Guards against new work for a VM that is about to be removed."""

    async def scenario(fleet: Fleet) -> None:
        vms = [
            {"vm": name, "address": str(ports.peer), "state": "live"}
            for name, ports in fleet.ports.items()
            if name.startswith("agent-")
        ]
        await fleet.control_platform({"vms": vms})
        # Responses that take 7 s keep the leaving agent running during the test.
        long = [asyncio.create_task(complete(fleet, "A", 350)) for _ in range(6)]
        await asyncio.sleep(0.5)
        agent = fleet.processes["agent-model-1"]
        stopping = asyncio.create_task(agent.stop())
        await wait_for_state(fleet, upstream_states, "model-1", "leaving")
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
        response = await fetch(fleet.runners["model-1"], request, 5.0)
        return msgspec.json.decode(response.body)["started"]

    run_fleet(SLOW_FLEET, scenario)


def test_a_killed_agent_is_noticed_and_its_successor_is_used(
    run_fleet, upstream_states
) -> None:
    """Guards against an upstream that stays unused after its agent restarted."""

    async def scenario(fleet: Fleet) -> None:
        before = (await upstream_states(fleet))["model-1"]["incarnation"]
        agent = fleet.processes["agent-model-1"]
        agent.kill()
        detected_s = await wait_for_state(fleet, upstream_states, "model-1", "suspect")
        print(f"killed agent detected after {detected_s:.3f} s")
        assert detected_s < KILL_DETECTED_WITHIN_S
        await complete(fleet, "A", 5)
        await agent.wait()
        await fleet.start("agent-model-1")
        await wait_for_state(fleet, upstream_states, "model-1", "live")
        assert (await upstream_states(fleet))["model-1"]["incarnation"] > before

    run_fleet(SLOW_FLEET, scenario)


def test_a_pause_of_the_entry_neither_cuts_streams_nor_refuses_requests(
    run_fleet,
) -> None:
    """Guards against an entry that treats its own pause as silence of upstreams."""

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

    run_fleet(SLOW_FLEET, scenario)


def test_a_partition_of_the_entry_keeps_suspect_upstreams_usable(
    run_fleet, proxy_agents, upstream_states
) -> None:
    """Guards against refused requests right after a network partition ends."""

    async def scenario(fleet: Fleet) -> None:
        proxies = await proxy_agents(fleet, "model-1", "model-2", "booking-1")
        for proxy in proxies:
            proxy.blackholes_new = True
            proxy.blackhole_open()
        for upstream in ("model-1", "model-2"):
            await wait_for_state(fleet, upstream_states, upstream, "suspect")
        # The requests start during the partition, which ends 0.1 s later.
        calls = [asyncio.create_task(complete(fleet, "A", 3)) for _ in range(4)]
        await asyncio.sleep(0.1)
        for proxy in proxies:
            proxy.blackholes_new = False
            proxy.close_blackholed()
        await asyncio.gather(*calls)

    run_fleet(SLOW_FLEET, scenario)


def test_a_silent_connection_is_detected_and_replaced(
    run_fleet, proxy_agents, upstream_states
) -> None:
    """Guards against requests that wait forever on an open but silent connection."""

    async def scenario(fleet: Fleet) -> None:
        proxies = await proxy_agents(fleet, "model-1", "booking-1")
        streams = [asyncio.create_task(complete(fleet, "A", 150)) for _ in range(8)]
        headers = {"idempotency-key": new_key()}
        booking = asyncio.create_task(
            fleet.call("POST", "/services/booking/book", {}, headers=headers)
        )
        await asyncio.sleep(0.3)
        for proxy in proxies:
            proxy.blackhole_open()
        detected_s = await wait_for_state(fleet, upstream_states, "model-1", "suspect")
        print(f"silent connection detected after {detected_s:.3f} s")
        assert detected_s < SILENCE_DETECTED_WITHIN_S + POLL_TOLERANCE_S
        for upstream in ("model-1", "booking-1"):
            await wait_for_state(fleet, upstream_states, upstream, "live")
        await asyncio.gather(*streams)
        response = await booking
        # The booking ran, but its response was dropped: the entry either gets it again
        # from the owner of the key or reports "unknown", never "not run".
        if response.status != 201:
            assert json.loads(response.body)["outcome"] == "unknown"
        assert len(await fleet.record("booking-1")) == 1

    run_fleet(FleetSpec(token_interval_s=0.02, booking_delay_s=1.0), scenario)


def test_an_agent_ends_the_calls_of_a_silent_session(run_fleet, proxy_agents) -> None:
    """Guards against generations that occupy slots for an unreachable entry."""

    async def scenario(fleet: Fleet) -> None:
        (proxy,) = await proxy_agents(fleet, "model-1")
        call = asyncio.create_task(complete(fleet, "A", 1_000))
        await asyncio.sleep(0.5)
        proxy.blackhole_open()
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
    """Guards against new work for a leaving VM whose agent was not notified."""

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
        await wait_for_state(fleet, upstream_states, "model-1", "leaving")
        states = await upstream_states(fleet)
        assert states["model-1"]["connected"]
        assert states["model-2"]["state"] == "live"
        await complete(fleet, "A", 3)

    run_fleet(SLOW_FLEET, scenario)
