"""Tests of the credentials between processes."""

import asyncio

import pytest
from grpclib.client import Channel
from grpclib.const import Status
from grpclib.exceptions import GRPCError
from grpclib.server import Server
from returns.result import Success

from sardineyard.core.ids import ProcessId
from sardineyard.core.states import ProcessRole
from sardineyard.standins.processes import free_port
from sardineyard.wire import peer_pb2, session_pb2
from sardineyard.wire.authentication import ALLOWED_ROLES, check_calls, sign_calls
from sardineyard.wire.credentials import Caller, Credentials, verify
from sardineyard.wire.session_grpc import AgentBase, AgentStub

KEY = "k" * 32
METHOD = "/sardineyard.v1.Agent/Order"
AGENT = Caller(ProcessId("agent-1"), ProcessRole.AGENT)


def test_a_credential_identifies_its_caller_until_it_expires(clock) -> None:
    """Guards against the replay of a recorded credential."""
    credential = Credentials(AGENT, KEY).sign(METHOD, clock)
    assert verify(credential, METHOD, KEY, clock) == Success(AGENT)
    clock.advance(31.0)
    assert not isinstance(verify(credential, METHOD, KEY, clock), Success)


@pytest.mark.parametrize(
    ("credential", "method", "key"),
    [
        ("", METHOD, KEY),
        ("agent agent-1 1.0 00", METHOD, KEY),
        (None, METHOD, "other" * 8),
        (None, "/sardineyard.v1.Agent/Session", KEY),
    ],
)
def test_an_invalid_credential_is_rejected(clock, credential, method, key) -> None:
    """Guards against callers without the key and against use for other methods."""
    signed = credential or Credentials(AGENT, KEY).sign(METHOD, clock)
    if credential is not None:
        signed = credential
    assert not isinstance(verify(signed, method, key, clock), Success)


def test_every_method_has_allowed_roles() -> None:
    """Guards against a new method that is missing from ALLOWED_ROLES."""
    services = [
        session_pb2.DESCRIPTOR.services_by_name["Agent"],
        peer_pb2.DESCRIPTOR.services_by_name["Peer"],
    ]
    methods = {
        f"/{service.full_name}/{method.name}"
        for service in services
        for method in service.methods
    }
    assert methods == set(ALLOWED_ROLES)


class _Agent(AgentBase):
    async def Session(self, stream) -> None:  # noqa: N802
        raise NotImplementedError

    async def Surrender(self, stream) -> None:  # noqa: N802
        raise NotImplementedError

    async def Order(self, stream) -> None:  # noqa: N802
        await stream.recv_message()
        await stream.send_message(session_pb2.GroupReply(accepted=True))


@pytest.fixture
def order(clock):
    """Return a function that sends an order under a role and returns the status."""

    async def run(role: ProcessRole) -> Status:
        server = Server([_Agent()])
        check_calls(server, KEY, clock)
        port = free_port()
        await server.start("127.0.0.1", port)
        channel = Channel("127.0.0.1", port)
        sign_calls(channel, Credentials(Caller(ProcessId("p"), role), KEY), clock)
        try:
            await AgentStub(channel).Order(session_pb2.GroupOrder())
        except GRPCError as error:
            return error.status
        finally:
            channel.close()
            server.close()
            await server.wait_closed()
        return Status.OK

    return lambda role: asyncio.run(run(role))


def test_only_agents_may_send_orders(order) -> None:
    """Guards against orders from processes without the role for them."""
    assert order(ProcessRole.AGENT) is Status.OK
    assert order(ProcessRole.ENTRY) is Status.PERMISSION_DENIED
