"""Messages to the task that owns the idempotency keys."""

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
        SurrenderAnswer,
        SurrenderQuestion,
        Ticket,
    )


@dataclass(frozen=True, slots=True)
class KeyedCall:
    """Ask to run a call with a key at most once."""

    call: ServiceCall
    sink: CallSink
    session: SessionId


@dataclass(frozen=True, slots=True)
class KeyedEvent:
    """Carry an event of the call that runs for a ticket."""

    ticket: Ticket
    event: CallEvent


@dataclass(frozen=True, slots=True)
class AskStart:
    """Ask for the last check before the first byte goes to the upstream."""

    ticket: Ticket
    reply: Reply[RequestError | None]


@dataclass(frozen=True, slots=True)
class PreviousAnswered:
    """Carry what the previous owners of a key said."""

    ticket: Ticket
    answers: tuple[SurrenderAnswer, ...]


@dataclass(frozen=True, slots=True)
class AskSurrender:
    """Ask to give up a key for its new owner."""

    question: SurrenderQuestion
    reply: Reply[SurrenderAnswer]


@dataclass(frozen=True, slots=True)
class DrainKeys:
    """Ask for an answer when no keyed call is open."""

    reply: Reply[None]


@dataclass(frozen=True, slots=True)
class LeaseAnswered:
    """Carry the incarnation that a peer reached at this agent's address."""

    renewal: Renewal
    answered: Incarnation
