"""Requests and answers as the decisions see them, free of any encoding."""

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
    """Ask a model for a completion of a prompt."""

    request_id: RequestId
    team: TeamId
    priority: PriorityName
    model: ModelName
    prompt: str
    max_tokens: int
    deadline: Deadline
    fingerprint: Fingerprint
    adapter: str = ""
    # Tokens that the caller already has; generation goes on behind them.
    resume_tokens: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class ServiceCall:
    """Ask a plain service for one HTTP exchange."""

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
    # The caller says that it never sent this key before; known to the entry only.
    first_attempt: bool = False
    # The incarnation of the owner for which the entry made this try.
    incarnation: Incarnation | None = None


@dataclass(frozen=True, slots=True)
class TokenBatch:
    """Carry consecutive tokens of one answer, the first one at an offset."""

    request_id: RequestId
    offset: int
    tokens: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class GenerationEnd:
    """Say that an answer is complete and how many tokens it has."""

    request_id: RequestId
    token_count: int
    reason: FinishReason


@dataclass(frozen=True, slots=True)
class ServiceAnswer:
    """Carry the whole answer of a plain service."""

    request_id: RequestId
    status: int
    content_type: str
    body: bytes
    replayed: bool = False


@dataclass(frozen=True, slots=True)
class CallFailed:
    """End a request with an error."""

    request_id: RequestId
    error: RequestError


CallEvent = TokenBatch | GenerationEnd | ServiceAnswer | CallFailed


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Tell how busy an agent and its upstream are."""

    upstream: UpstreamId
    incarnation: Incarnation
    draining: bool
    running: int
    queued: int
    slots: int
    document_version: int
    # Expected seconds in the queue for a new request, by priority.
    expected_wait_s: dict[PriorityName, float] = field(default_factory=dict)
