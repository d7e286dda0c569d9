"""Requests, their results and load reports, independent of any wire encoding."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sardineyard.core.clock import Deadline
    from sardineyard.core.errors import RequestError
    from sardineyard.core.ids import (
        Fingerprint,
        Incarnation,
        ModelName,
        PriorityName,
        RequestId,
        ServiceName,
        TeamId,
        UpstreamId,
    )
    from sardineyard.core.states import FinishReason


@dataclass(frozen=True, slots=True)
class Generation:
    """Request for the completion of a prompt by a model."""

    request_id: RequestId
    team: TeamId
    priority: PriorityName
    model: ModelName
    prompt: str
    max_tokens: int
    deadline: Deadline
    fingerprint: Fingerprint
    adapter: str = ""
    # Tokens that the caller already received; generation continues after them.
    resume_tokens: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class ServiceCall:
    """Request to a plain service: one HTTP exchange."""

    request_id: RequestId
    team: TeamId
    priority: PriorityName
    service: ServiceName
    method: str
    path: str
    body: bytes
    deadline: Deadline
    fingerprint: Fingerprint
    content_type: str = "application/json"
    repeatable: bool = True
    idempotency_key: str | None = None
    # The caller states that it has not sent this key before. Only the entry sets this;
    # it is not sent to the agent.
    first_attempt: bool = False
    # Incarnation of the key's owner to which the entry sent this attempt.
    incarnation: Incarnation | None = None


@dataclass(frozen=True, slots=True)
class TokenBatch:
    """Consecutive tokens of one completion, starting at an offset."""

    request_id: RequestId
    offset: int
    tokens: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class GenerationEnd:
    """End of a completion, with its total number of tokens."""

    request_id: RequestId
    token_count: int
    reason: FinishReason


@dataclass(frozen=True, slots=True)
class ServiceResponse:
    """Complete response of a plain service."""

    request_id: RequestId
    status: int
    content_type: str
    body: bytes
    replayed: bool = False


@dataclass(frozen=True, slots=True)
class CallFailed:
    """End of a request with an error."""

    request_id: RequestId
    error: RequestError


CallEvent = TokenBatch | GenerationEnd | ServiceResponse | CallFailed


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Current load of an agent and its upstream."""

    upstream: UpstreamId
    incarnation: Incarnation
    draining: bool
    running: int
    queued: int
    slots: int
    document_version: int
    # Expected queueing time of a new request in seconds, by priority.
    expected_wait_s: dict[PriorityName, float] = field(default_factory=dict)
