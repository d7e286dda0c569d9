"""Messages between the tasks of an entry: requests, agent links and the router."""

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
    """Command to a link: run a request and post its events to a mailbox."""

    request: Generation | ServiceCall
    events: Mailbox[Any]


@dataclass(frozen=True, slots=True)
class CancelRequest:
    """Command to a link: cancel a request."""

    request_id: RequestId


@dataclass(frozen=True, slots=True)
class SessionOpened:
    """Notification to a link that its session is open."""

    session: SessionNumber


@dataclass(frozen=True, slots=True)
class FrameReceived:
    """Frame from the agent, passed from the session to its link."""

    session: SessionNumber
    frame: pb.AgentFrame


@dataclass(frozen=True, slots=True)
class SessionLost:
    """Notification to a link that its session ended."""

    session: SessionNumber
    reason: str


@dataclass(frozen=True, slots=True)
class PingDue:
    """Timer tick of a link: send a ping and check for a silent session."""


@dataclass(frozen=True, slots=True)
class PickedUpstream:
    """Upstream chosen for one attempt, and the mailbox of the link to its agent."""

    upstream: UpstreamId
    incarnation: Incarnation
    link: Mailbox[Any]


@dataclass(frozen=True, slots=True)
class PickUpstream:
    """Query to the router for the upstream of one attempt."""

    request: Generation | ServiceCall
    reply: Reply[Result[PickedUpstream, RequestError]]
    excluded: frozenset[UpstreamId] = field(default_factory=frozenset)


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """Notification to the router that an attempt ended; no error means success."""

    upstream: UpstreamId
    request: Generation | ServiceCall
    error: RequestError | None = None
    first_token_s: float | None = None
    # Duration of the attempt without the time to the first token.
    service_s: float = 0.0
    tokens: int = 0


@dataclass(frozen=True, slots=True)
class AcquireRetry:
    """Request to the router for one retry from the retry budget."""

    cause: RequestError
    reply: Reply[bool]


@dataclass(frozen=True, slots=True)
class LinkUp:
    """Notification to the router that a session with an agent is established."""

    upstream: UpstreamId
    incarnation: Incarnation


@dataclass(frozen=True, slots=True)
class LinkDown:
    """Notification to the router that the session with an agent is lost."""

    upstream: UpstreamId


@dataclass(frozen=True, slots=True)
class LoadReceived:
    """Load report of an agent, passed from its link to the router."""

    load: LoadReport


@dataclass(frozen=True, slots=True)
class PauseCheckDue:
    """Timer tick of the router: check whether this process was paused."""


@dataclass(frozen=True, slots=True)
class DumpRouter:
    """Query to the router for its view of all upstreams."""

    reply: Reply[tuple[UpstreamView, ...]]
