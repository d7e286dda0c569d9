"""Signed credentials of the calls between the processes of one fleet."""

from __future__ import annotations

import hmac
from dataclasses import dataclass, field
from hashlib import sha256
from typing import TYPE_CHECKING

from returns.result import Failure, Success

from sardineyard.core.ids import ProcessId
from sardineyard.core.states import ProcessRole

if TYPE_CHECKING:
    from returns.result import Result

    from sardineyard.core.clock import Clock

# Maximum time between signing and verification, which limits the replay of a recorded
# credential.
MAX_AGE_S = 30.0


@dataclass(frozen=True, slots=True)
class Caller:
    """Process that made a call, with its role."""

    process: ProcessId
    role: ProcessRole


@dataclass(frozen=True, slots=True)
class Credentials:
    """Identity of a caller and the fleet key with which it signs calls."""

    caller: Caller
    fleet_key: str = field(repr=False)

    def sign(self, method: str, clock: Clock) -> str:
        """Return the credential for one call of a gRPC method."""
        role, process = self.caller.role.value, self.caller.process
        claim = f"{role} {process} {clock.wall():.3f}"
        return f"{claim} {_signature(self.fleet_key, claim, method)}"


def verify(
    credential: str, method: str, fleet_key: str, clock: Clock
) -> Result[Caller, str]:
    """Return the caller that a credential identifies, or the reason to refuse it."""
    claim, _, signature = credential.rpartition(" ")
    expected = _signature(fleet_key, claim, method)
    if not hmac.compare_digest(signature.encode(), expected.encode()):
        return Failure("the signature does not match")
    role, process, signed_at = claim.split(" ")
    if abs(clock.wall() - float(signed_at)) > MAX_AGE_S:
        return Failure(f"signed more than {MAX_AGE_S} s ago or ahead")
    return Success(Caller(ProcessId(process), ProcessRole(role)))


def _signature(fleet_key: str, claim: str, method: str) -> str:
    message = f"{method}\0{claim}".encode()
    return hmac.new(fleet_key.encode(), message, sha256).hexdigest()
