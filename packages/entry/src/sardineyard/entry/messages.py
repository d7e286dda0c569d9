"""Messages between the tasks of an entry."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, NewType

if TYPE_CHECKING:
    from returns.result import Result

    from sardineyard.core.errors import RequestError
    from sardineyard.core.ids import Incarnation, RequestId, UpstreamId
    from sardineyard.core.mailbox import Mailbox, Reply
    from sardineyard.core.requests import (
        Generation,
        LoadReport,
        ServiceCall,
    )
    from sardineyard.telemetry.state import UpstreamView
    from sardineyard.wire import session_pb2 as pb

SessionNumber = NewType("SessionNumber", int)


@dataclass(frozen=True, slots=True)
class StartRequest:
    """Ask a link to run a request and to send its events to a mailbox."""

    request: Generation | ServiceCall
    events: Mailbox[Any]


@dataclass(frozen=True, slots=True)
class CancelRequest:
    """Ask a link to stop a request."""

    request_id: RequestId


@dataclass(frozen=True, slots=True)
class SessionOpened:
    """Tell a link that its session is open."""

    session: SessionNumber


@dataclass(frozen=True, slots=True)
class FrameReceived:
    """Hand a frame of the agent to the link."""

    session: SessionNumber
    frame: pb.AgentFrame


@dataclass(frozen=True, slots=True)
class SessionLost:
    """Tell a link that its session ended."""

    session: SessionNumber
    reason: str


@dataclass(frozen=True, slots=True)
class PingDue:
    """Tell a link to send a ping and to check for silence."""


@dataclass(frozen=True, slots=True)
class Pick:
    """Name the upstream for one attempt and the link to it."""

    upstream: UpstreamId
    incarnation: Incarnation
    link: Mailbox[Any]


@dataclass(frozen=True, slots=True)
class PickUpstream:
    """Ask the router for an upstream for one attempt."""

    request: Generation | ServiceCall
    reply: Reply[Result[Pick, RequestError]]
    excluded: frozenset[UpstreamId] = field(default_factory=frozenset)


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """Tell the router how one attempt ended; no error means that it went well."""

    upstream: UpstreamId
    request: Generation | ServiceCall
    error: RequestError | None = None
    first_token_s: float | None = None
    # Seconds in which the tokens came, without the wait before the first one.
    service_s: float = 0.0
    tokens: int = 0


@dataclass(frozen=True, slots=True)
class AskRetry:
    """Ask the router whether the retry budget allows another attempt."""

    cause: RequestError
    reply: Reply[bool]


@dataclass(frozen=True, slots=True)
class LinkUp:
    """Tell the router that an agent answers."""

    upstream: UpstreamId
    incarnation: Incarnation


@dataclass(frozen=True, slots=True)
class LinkDown:
    """Tell the router that the session to an agent is lost."""

    upstream: UpstreamId


@dataclass(frozen=True, slots=True)
class LoadReceived:
    """Hand the load of an agent to the router."""

    load: LoadReport


@dataclass(frozen=True, slots=True)
class PauseCheckDue:
    """Tell the router to check whether this process was paused."""


@dataclass(frozen=True, slots=True)
class DumpRouter:
    """Ask the router for its state."""

    reply: Reply[tuple[UpstreamView, ...]]
