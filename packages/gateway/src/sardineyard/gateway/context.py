"""What all calls of one request share."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sardineyard.forwarding.admission import Admitted
    from sardineyard.forwarding.events import EventDeduplicator
    from sardineyard.forwarding.traits import RequestTraits
    from sardineyard.gateway.attempts import Progress
    from sardineyard.gateway.environment import Environment
    from sardineyard.httpio.acceptor import ResponseWriter
    from sardineyard.httpio.request_reader import IncomingRequest


class ResponseDeliveryError(Exception):
    """The response cannot be delivered to the caller."""


@dataclass(frozen=True, slots=True)
class RequestContext:
    """One admitted request, the response to its caller and its progress."""

    request: IncomingRequest
    response_writer: ResponseWriter
    admitted: Admitted
    traits: RequestTraits
    progress: Progress
    # Filters duplicates over all calls of a stream.
    events: EventDeduplicator
    environment: Environment

    def record_first_byte(self) -> None:
        """Record the time from arrival to the first byte of the response."""
        waited_s = self.environment.clock.now() - self.request.arrived
        self.environment.metrics.record_first_byte(self.admitted.priority, waited_s)


async def deliver(write: object) -> None:
    """Await a write to the caller; raise ResponseDeliveryError if it fails."""
    try:
        await write  # type: ignore[misc]
    except (OSError, TimeoutError) as error:
        raise ResponseDeliveryError(repr(error)) from None
