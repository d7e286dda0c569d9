"""Tests of authorization at the agent, with real processes."""

import pytest
from grpclib.const import Status
from grpclib.exceptions import GRPCError

from sardineyard.core.clock import SystemClock
from sardineyard.core.ids import ProcessId
from sardineyard.core.states import ProcessRole
from sardineyard.standins.fleet import FLEET_KEY, Fleet, FleetSpec
from sardineyard.wire import peer_pb2, session_pb2
from sardineyard.wire.credentials import Caller, Credentials
from sardineyard.wire.dialer import Dialer
from sardineyard.wire.peer_grpc import PeerStub
from sardineyard.wire.session_grpc import AgentStub


@pytest.fixture
def open_channel():
    """Return a function that connects to an agent with a given role and fleet key."""

    def open_as(fleet: Fleet, role: ProcessRole, key: str):
        caller = Caller(ProcessId("intruder"), role)
        dialer = Dialer(Credentials(caller, key), SystemClock())
        return dialer.open(fleet.ports["agent-model-1"].peer)

    return open_as


def test_agent_rejects_unauthorized_orders_and_sessions(
    run_fleet, open_channel
) -> None:
    """Guards against an agent that does not check the role and key of its clients.

    Any process could then change the expert map or run calls.
    """

    async def rejection_status(channel, call) -> Status:
        try:
            with pytest.raises(GRPCError) as raised:
                await call(channel)
        finally:
            channel.close()
        return raised.value.status

    async def order(channel) -> None:
        await AgentStub(channel).Order(session_pb2.GroupOrder())

    async def session(channel) -> None:
        async with AgentStub(channel).Session.open() as stream:
            await stream.send_message(session_pb2.EntryFrame())
            await stream.recv_message()

    async def identify(channel) -> None:
        await PeerStub(channel).Identify(peer_pb2.IdentifyRequest())

    async def scenario(fleet: Fleet) -> None:
        for role, key, call in (
            (ProcessRole.ENTRY, FLEET_KEY, order),
            (ProcessRole.AGENT, FLEET_KEY, session),
            (ProcessRole.AGENT, "another key of a fleet", order),
            (ProcessRole.ENTRY, "another key of a fleet", session),
            (ProcessRole.ENTRY, "another key of a fleet", identify),
        ):
            channel = open_channel(fleet, role, key)
            assert await rejection_status(channel, call) is Status.PERMISSION_DENIED
        channel = open_channel(fleet, ProcessRole.AGENT, FLEET_KEY)
        await identify(channel)
        channel.close()

    run_fleet(FleetSpec(model_runners=1, booking_runners=0), scenario)
