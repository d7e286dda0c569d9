"""Authentication of gRPC calls: signed credentials and allowed roles."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from grpclib.const import Status
from grpclib.events import RecvRequest, SendRequest, listen
from grpclib.exceptions import GRPCError
from returns.result import Failure, Success

from sardineyard.core.states import ProcessRole
from sardineyard.wire.credentials import verify

if TYPE_CHECKING:
    from grpclib.client import Channel
    from grpclib.server import Server

    from sardineyard.core.clock import Clock
    from sardineyard.wire.credentials import Credentials

_logger = logging.getLogger(__name__)

_CREDENTIAL_HEADER = "sardineyard-credential"
_ANY_ROLE = frozenset(ProcessRole)

# Roles that may call each method. Orders to an upstream go only through its agent,
# which accepts them only from these roles.
ALLOWED_ROLES = {
    "/sardineyard.v1.Agent/Session": frozenset({ProcessRole.ENTRY}),
    "/sardineyard.v1.Agent/Surrender": frozenset({ProcessRole.AGENT}),
    "/sardineyard.v1.Agent/Order": frozenset({ProcessRole.AGENT}),
    "/sardineyard.v1.Peer/Exchange": _ANY_ROLE,
    "/sardineyard.v1.Peer/FetchDocument": _ANY_ROLE,
    "/sardineyard.v1.Peer/DialBack": _ANY_ROLE,
    "/sardineyard.v1.Peer/Identify": _ANY_ROLE,
}


def sign_calls(channel: Channel, credentials: Credentials, clock: Clock) -> None:
    """Sign every call on a channel."""

    async def sign(event: SendRequest) -> None:
        event.metadata[_CREDENTIAL_HEADER] = credentials.sign(event.method_name, clock)

    listen(channel, SendRequest, sign)


def check_calls(server: Server, fleet_key: str, clock: Clock) -> None:
    """Refuse every call that is not signed by a process with an allowed role."""

    async def check(event: RecvRequest) -> None:
        method = event.method_name
        match verify(
            str(event.metadata.get(_CREDENTIAL_HEADER, "")), method, fleet_key, clock
        ):
            case Success(caller):
                if caller.role in ALLOWED_ROLES.get(method, frozenset()):
                    return
                reason = f"the role {caller.role.value} may not call this method"
            case Failure(reason):
                pass
        _logger.warning(
            "gRPC call refused",
            extra={"event": "call_refused", "method": method, "reason": reason},
        )
        raise GRPCError(Status.PERMISSION_DENIED, reason)

    listen(server, RecvRequest, check)
