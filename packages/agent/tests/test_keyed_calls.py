"""Tests of calls with an idempotency key through real processes.

The booking runner records how often the call of each key ran.
"""

import asyncio

from sardineyard.core.errors import Outcome
from sardineyard.core.requests import CallFailed
from sardineyard.standins.fleet import FleetSpec
from sardineyard.standins.keyed_fleet import KeyedFleet

_ONE_RUNNER = FleetSpec(
    entries=2, model_runners=0, booking_runners=1, booking_delay_s=0.5
)
_TWO_RUNNERS = FleetSpec(
    entries=2, model_runners=0, booking_runners=2, booking_delay_s=0.5
)
_OWNER = "booking-1"


def test_key_running_when_agent_crashes_is_not_run_again(run_fleet) -> None:
    """Guards against a restarted agent that treats an old key as new.

    The restart loses the key table, and the retry would run the call again.
    """

    async def scenario(fleet: KeyedFleet) -> None:
        key = fleet.new_key_owned_by(_OWNER)
        first = asyncio.create_task(fleet.book(key, timeout_s=3.0))
        await fleet.wait_run(key)
        agent = fleet.processes["agent-booking-1"]
        agent.kill()
        await agent.wait()
        await agent.start()
        assert (await first).outcome is Outcome.UNKNOWN
        await fleet.wait_ready("agent-booking-1")
        second = await fleet.book(key, entry="entry-2")
        assert second.outcome is Outcome.UNKNOWN
        assert await fleet.count_runs(key) == 1
        fresh = await fleet.book(fleet.new_key_owned_by(_OWNER), entry="entry-2")
        assert fresh.outcome is Outcome.RAN

    run_fleet(_ONE_RUNNER, scenario, KeyedFleet)


def test_retry_at_another_entry_gets_response_of_first_run(run_fleet) -> None:
    """Guards against a second run when the entry crashes after sending the call."""

    async def scenario(fleet: KeyedFleet) -> None:
        key = fleet.new_key_owned_by(_OWNER)
        first = asyncio.create_task(fleet.book(key))
        await fleet.wait_run(key)
        fleet.processes["entry-1"].kill()
        assert (await first).outcome is Outcome.UNKNOWN
        second = await fleet.book(key, entry="entry-2")
        assert second.outcome is Outcome.RAN
        assert await fleet.count_runs(key) == 1

    run_fleet(_ONE_RUNNER, scenario, KeyedFleet)


def test_call_continues_after_client_timeout(run_fleet) -> None:
    """Guards against a response that is lost because the first attempt timed out."""

    async def scenario(fleet: KeyedFleet) -> None:
        key = fleet.new_key_owned_by(_OWNER)
        timed_out = await fleet.book(key, timeout_s=0.2)
        assert timed_out.outcome is Outcome.UNKNOWN
        assert (await fleet.book(key)).outcome is Outcome.RAN
        assert await fleet.count_runs(key) == 1

    run_fleet(_ONE_RUNNER, scenario, KeyedFleet)


def test_replaced_agent_runs_nothing_after_resuming(
    run_fleet,
) -> None:
    """Guards against two incarnations of an agent that both run keys at one address.

    A successor has taken over the address while the first one was paused.
    """

    async def scenario(fleet: KeyedFleet) -> None:
        fleet.processes["agent-booking-1"].freeze()
        successor = await fleet.start_successor(_OWNER)
        await fleet.wait_ready(successor)
        key = fleet.new_key_owned_by(_OWNER)
        response = await fleet.book(key)
        assert response.outcome is Outcome.RAN
        fleet.processes["agent-booking-1"].thaw()
        late = await fleet.send_directly("agent-booking-1", key)
        assert isinstance(late, CallFailed)
        assert late.error.outcome is Outcome.UNKNOWN
        # The old incarnation reaches its peers again, but must not get the lease back.
        await asyncio.sleep(1.5)
        late = await fleet.send_directly(
            "agent-booking-1", fleet.new_key_owned_by(_OWNER)
        )
        assert isinstance(late, CallFailed)
        assert len(await fleet.runs()) == 1

    run_fleet(_ONE_RUNNER, scenario, KeyedFleet)


def test_new_owner_takes_over_outcome_of_previous_owner(run_fleet) -> None:
    """Guards against a second run when a new document moves the service."""

    async def scenario(fleet: KeyedFleet) -> None:
        done, running, fresh = (fleet.new_key_owned_by(_OWNER) for _ in range(3))
        first = await fleet.book(done)
        slow = asyncio.create_task(fleet.book(running))
        await fleet.wait_run(running)
        await fleet.move_service(["booking-2"])
        await fleet.wait_version(2)
        retried = await fleet.book(running, entry="entry-2")
        assert (await slow).body == retried.body
        assert (await fleet.book(done, entry="entry-2")).body == first.body
        assert (await fleet.book(fresh)).outcome is Outcome.RAN
        # The previous owner surrendered this key: it promised never to run it.
        late = await fleet.send_directly("agent-booking-1", fresh)
        assert isinstance(late, CallFailed)
        for key in (done, running, fresh):
            assert await fleet.count_runs(key) == 1

    run_fleet(_TWO_RUNNERS, scenario, KeyedFleet)


def test_key_is_unknown_while_previous_owner_does_not_reply(run_fleet) -> None:
    """Guards against treating a missing reply of a previous owner as a surrender."""

    async def scenario(fleet: KeyedFleet) -> None:
        key = fleet.new_key_owned_by(_OWNER)
        assert (await fleet.book(key)).outcome is Outcome.RAN
        await fleet.control_proxy(_OWNER, mode="silent", open="silence")
        await fleet.move_service(["booking-2"])
        await fleet.wait_version(2)
        assert (await fleet.book(key)).outcome is Outcome.UNKNOWN
        await fleet.control_proxy(_OWNER, mode="pass", open="release")
        assert (await fleet.book(key)).outcome is Outcome.RAN
        assert await fleet.count_runs(key) == 1

    run_fleet(_TWO_RUNNERS, scenario, KeyedFleet)


def test_concurrent_attempts_share_one_run(run_fleet) -> None:
    """Guards against a second run when several attempts arrive at the same time."""

    async def scenario(fleet: KeyedFleet) -> None:
        key = fleet.new_key_owned_by(_OWNER)
        responses = await asyncio.gather(
            *(fleet.book(key, entry=f"entry-{1 + index % 2}") for index in range(20))
        )
        assert {response.status for response in responses} == {201}
        assert len({response.body for response in responses}) == 1
        assert await fleet.count_runs(key) == 1

    run_fleet(_ONE_RUNNER, scenario, KeyedFleet)


def test_response_lost_after_run_causes_no_second_run(run_fleet) -> None:
    """Guards against a retry when the connection breaks after the call has run."""

    async def scenario(fleet: KeyedFleet) -> None:
        interrupted = fleet.new_key_owned_by(_OWNER)
        first = asyncio.create_task(fleet.book(interrupted))
        await fleet.wait_run(interrupted)
        await fleet.control_proxy(_OWNER, open="cut")
        # The entry retries at the owner, which has stored the response.
        assert (await first).outcome is Outcome.RAN
        lost = fleet.new_key_owned_by(_OWNER)
        await fleet.control_runner(_OWNER, lost_share=1.0)
        assert (await fleet.book(lost)).outcome is Outcome.UNKNOWN
        await fleet.control_runner(_OWNER, lost_share=0.0)
        assert (await fleet.book(lost)).outcome is Outcome.UNKNOWN
        assert await fleet.count_runs(interrupted) == 1
        assert await fleet.count_runs(lost) == 1

    run_fleet(_ONE_RUNNER, scenario, KeyedFleet)
