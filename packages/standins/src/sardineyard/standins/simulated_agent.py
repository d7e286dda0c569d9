"""Agents of a simulation that calls the key table directly."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, unique
from typing import TYPE_CHECKING

from sardineyard.core.clock import WallTime
from sardineyard.idempotency.lease import AddressLease
from sardineyard.idempotency.store import KeyStore
from sardineyard.idempotency.table import KeyTable

if TYPE_CHECKING:
    from collections.abc import Callable

    from sardineyard.core.ids import Incarnation, UpstreamId
    from sardineyard.idempotency.lease import Renewal
    from sardineyard.idempotency.messages import Attempt, QueryPreviousOwners, Ticket

# Start of the simulated time, in seconds since 1970.
EPOCH = 1.8e9


@unique
class Mechanism(Enum):
    """Mechanism against double runs that a simulation can disable."""

    # Keys created up to the cutoff are refused unless the key table has them.
    HISTORY_CUTOFF = "floor"
    # Only the agent that holds the lease of an address runs calls with keys.
    LEASE = "lease"
    # The previous owners of a key promise never to run it.
    SURRENDER = "surrender"


class _NoCutoffStore(KeyStore):
    def raise_history_cutoff(self, history_cutoff: WallTime) -> None:
        pass


class _AlwaysHeldLease(AddressLease):
    @property
    def held(self) -> bool:
        return True


@dataclass
class SkewedClock:
    """Clock of one VM: simulated time, with an offset on the wall clock."""

    time: Callable[[], float]
    offset: float

    def now(self) -> float:
        """Return the simulated time in seconds."""
        return self.time()

    def wall(self) -> WallTime:
        """Return the wall time of the VM."""
        return WallTime(EPOCH + self.time() + self.offset)


@unique
class Phase(Enum):
    """Next step of an admitted call."""

    QUERY_OWNERS = "ask"
    START = "start"
    EXECUTE = "write"
    FINISH = "finish"


@dataclass
class Job:
    """Call that an agent has admitted."""

    attempt: Attempt
    ticket: Ticket
    phase: Phase
    query: QueryPreviousOwners | None = None


class ModelAgent:
    """One incarnation of an agent with its key table."""

    def __init__(
        self,
        upstream: UpstreamId,
        incarnation: Incarnation,
        clock: SkewedClock,
        disabled: Mechanism | None,
    ) -> None:
        self.upstream = upstream
        self.incarnation = incarnation
        self.clock = clock
        self.paused = False
        self.version = 0
        self.jobs: list[Job] = []
        self.renewals: list[tuple[Renewal, Incarnation]] = []
        lease = _AlwaysHeldLease if disabled is Mechanism.LEASE else AddressLease
        store = _NoCutoffStore if disabled is Mechanism.HISTORY_CUTOFF else KeyStore
        agent_lease = lease(clock, incarnation)
        self.table = KeyTable(clock, upstream, agent_lease, store(40, 10_000))
