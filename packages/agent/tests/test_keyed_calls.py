"""Tests of calls with a key through real processes; the booking runner is the judge."""

import asyncio

from sardineyard.core.errors import Outcome
from sardineyard.core.requests import CallFailed
from sardineyard.standins.fleet import FleetSpec
from sardineyard.standins.keyed_fleet import KeyedFleet

_ONE = FleetSpec(entries=2, model_runners=0, booking_runners=1, booking_delay_s=0.5)
_TWO = FleetSpec(entries=2, model_runners=0, booking_runners=2, booking_delay_s=0.5)
_OWNER = "booking-1"


def test_a_key_that_was_running_when_its_agent_died_is_not_run_again(run_fleet) -> None:
    """Guards against a restarted agent that takes an old key for a new one."""

    async def scenario(fleet: KeyedFleet) -> None:
        key = fleet.key_of(_OWNER)
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
        assert await fleet.runs_of(key) == 1
        fresh = await fleet.book(fleet.key_of(_OWNER), entry="entry-2")
        assert fresh.outcome is Outcome.RAN

    run_fleet(_ONE, scenario, KeyedFleet)


def test_a_retry_at_another_entry_gets_the_answer_of_the_first_run(run_fleet) -> None:
    """Guards against a second run when the entry dies after it sent the call."""

    async def scenario(fleet: KeyedFleet) -> None:
        key = fleet.key_of(_OWNER)
        first = asyncio.create_task(fleet.book(key))
        await fleet.wait_run(key)
        fleet.processes["entry-1"].kill()
        assert (await first).outcome is Outcome.UNKNOWN
        second = await fleet.book(key, entry="entry-2")
        assert second.outcome is Outcome.RAN
        assert await fleet.runs_of(key) == 1

    run_fleet(_ONE, scenario, KeyedFleet)


def test_a_call_goes_on_after_its_caller_gave_up(run_fleet) -> None:
    """Guards against an answer that is lost because the first attempt ended early."""

    async def scenario(fleet: KeyedFleet) -> None:
        key = fleet.key_of(_OWNER)
        hasty = await fleet.book(key, timeout_s=0.2)
        assert hasty.outcome is Outcome.UNKNOWN
        assert (await fleet.book(key)).outcome is Outcome.RAN
        assert await fleet.runs_of(key) == 1

    run_fleet(_ONE, scenario, KeyedFleet)


def test_a_paused_agent_that_was_replaced_runs_nothing_when_it_goes_on(
    run_fleet,
) -> None:
    """Guards against two incarnations that both run a key at one address."""

    async def scenario(fleet: KeyedFleet) -> None:
        fleet.processes["agent-booking-1"].freeze()
        successor = await fleet.start_successor(_OWNER)
        await fleet.wait_ready(successor)
        key = fleet.key_of(_OWNER)
        answer = await fleet.book(key)
        assert answer.outcome is Outcome.RAN
        fleet.processes["agent-booking-1"].thaw()
        late = await fleet.send_directly("agent-booking-1", key)
        assert isinstance(late, CallFailed)
        assert late.error.outcome is Outcome.UNKNOWN
        # The peers answer the old incarnation again, and still it gets no lease.
        await asyncio.sleep(1.5)
        late = await fleet.send_directly("agent-booking-1", fleet.key_of(_OWNER))
        assert isinstance(late, CallFailed)
        assert len(await fleet.runs()) == 1

    run_fleet(_ONE, scenario, KeyedFleet)


def test_a_new_owner_takes_over_the_outcome_from_the_previous_one(run_fleet) -> None:
    """Guards against a second run when the configuration moves the service."""

    async def scenario(fleet: KeyedFleet) -> None:
        done, running, fresh = (fleet.key_of(_OWNER) for _ in range(3))
        first = await fleet.book(done)
        slow = asyncio.create_task(fleet.book(running))
        await fleet.wait_run(running)
        await fleet.move_service(["booking-2"])
        await fleet.wait_version(2)
        again = await fleet.book(running, entry="entry-2")
        assert (await slow).body == again.body
        assert (await fleet.book(done, entry="entry-2")).body == first.body
        assert (await fleet.book(fresh)).outcome is Outcome.RAN
        # The previous owner promised not to run this one.
        late = await fleet.send_directly("agent-booking-1", fresh)
        assert isinstance(late, CallFailed)
        for key in (done, running, fresh):
            assert await fleet.runs_of(key) == 1

    run_fleet(_TWO, scenario, KeyedFleet)


def test_a_key_whose_previous_owner_is_silent_is_unknown(run_fleet) -> None:
    """Guards against taking silence of a previous owner for a promise."""

    async def scenario(fleet: KeyedFleet) -> None:
        key = fleet.key_of(_OWNER)
        assert (await fleet.book(key)).outcome is Outcome.RAN
        await fleet.control_proxy(_OWNER, mode="silent", open="silence")
        await fleet.move_service(["booking-2"])
        await fleet.wait_version(2)
        assert (await fleet.book(key)).outcome is Outcome.UNKNOWN
        await fleet.control_proxy(_OWNER, mode="pass", open="release")
        assert (await fleet.book(key)).outcome is Outcome.RAN
        assert await fleet.runs_of(key) == 1

    run_fleet(_TWO, scenario, KeyedFleet)


def test_attempts_that_race_share_one_run(run_fleet) -> None:
    """Guards against two runs of attempts that arrive together."""

    async def scenario(fleet: KeyedFleet) -> None:
        key = fleet.key_of(_OWNER)
        answers = await asyncio.gather(
            *(fleet.book(key, entry=f"entry-{1 + turn % 2}") for turn in range(20))
        )
        assert {answer.status for answer in answers} == {201}
        assert len({answer.body for answer in answers}) == 1
        assert await fleet.runs_of(key) == 1

    run_fleet(_ONE, scenario, KeyedFleet)


def test_an_answer_that_is_lost_after_the_run_leads_to_no_second_run(run_fleet) -> None:
    """Guards against a retry after the connection broke behind the side effect."""

    async def scenario(fleet: KeyedFleet) -> None:
        cut = fleet.key_of(_OWNER)
        first = asyncio.create_task(fleet.book(cut))
        await fleet.wait_run(cut)
        await fleet.control_proxy(_OWNER, open="cut")
        # The entry asks the owner again, whose table has the answer.
        assert (await first).outcome is Outcome.RAN
        lost = fleet.key_of(_OWNER)
        await fleet.control_runner(_OWNER, lost_share=1.0)
        assert (await fleet.book(lost)).outcome is Outcome.UNKNOWN
        await fleet.control_runner(_OWNER, lost_share=0.0)
        assert (await fleet.book(lost)).outcome is Outcome.UNKNOWN
        assert await fleet.runs_of(cut) == 1
        assert await fleet.runs_of(lost) == 1

    run_fleet(_ONE, scenario, KeyedFleet)
