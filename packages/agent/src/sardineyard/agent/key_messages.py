"""Messages to the task that owns the idempotency keys.

An agent surrenders a key when it promises the key's new owner never to run it.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sardineyard.agent.messages import CallSink, SessionId
    from sardineyard.core.errors import RequestError
    from sardineyard.core.ids import Incarnation
    from sardineyard.core.mailbox import Reply
    from sardineyard.core.requests import CallEvent, ServiceCall
    from sardineyard.idempotency.lease import Renewal
    from sardineyard.idempotency.messages import (
        SurrenderQuery,
        SurrenderResult,
        Ticket,
    )


@dataclass(frozen=True, slots=True)
class KeyedCall:
    """Run a call with an idempotency key at most once."""

    call: ServiceCall
    sink: CallSink
    session: SessionId


@dataclass(frozen=True, slots=True)
class KeyedEvent:
    """Report an event of the call that runs under a ticket."""

    ticket: Ticket
    event: CallEvent


@dataclass(frozen=True, slots=True)
class CheckStart:
    """Request the final check of a keyed call, before its first byte is sent."""

    ticket: Ticket
    reply: Reply[RequestError | None]


@dataclass(frozen=True, slots=True)
class PreviousOwnersReplied:
    """Deliver the replies of a key's previous owners; unreachable owners have none."""

    ticket: Ticket
    replies: tuple[SurrenderResult, ...]


@dataclass(frozen=True, slots=True)
class RequestSurrender:
    """Surrender a key to its new owner, or report what is known about its call."""

    query: SurrenderQuery
    reply: Reply[SurrenderResult]


@dataclass(frozen=True, slots=True)
class DrainKeys:
    """Request a reply once no keyed call is open."""

    reply: Reply[None]


@dataclass(frozen=True, slots=True)
class DialBackCompleted:
    """Report which incarnation a peer reached at this agent's advertised address."""

    renewal: Renewal
    reached_incarnation: Incarnation
