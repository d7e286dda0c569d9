"""Identity of a process."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from sardineyard.core.ids import FailureDomain, Incarnation, ProcessId

if TYPE_CHECKING:
    from sardineyard.core.address import Address
    from sardineyard.core.clock import Clock
    from sardineyard.settings.processes import ProcessSettings


@dataclass(frozen=True, slots=True)
class Identity:
    """Identity of one incarnation of a process, as peers see it."""

    process: ProcessId
    incarnation: Incarnation
    failure_domain: FailureDomain
    advertised_address: Address


def create_identity(settings: ProcessSettings, clock: Clock) -> Identity:
    """Return the identity of this process, with an incarnation that starts now."""
    return Identity(
        process=ProcessId(settings.process),
        incarnation=Incarnation(int(clock.wall() * 1_000_000)),
        failure_domain=FailureDomain(settings.failure_domain),
        advertised_address=settings.advertised_address,
    )
