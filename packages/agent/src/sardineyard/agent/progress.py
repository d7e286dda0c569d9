"""Conversions for the admission queue: call progress, work and priority rules."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from sardineyard.admission.model import PriorityRule, Work
from sardineyard.core.requests import (
    CallFailed,
    Generation,
    GenerationEnd,
    ServiceResponse,
    TokenBatch,
)

if TYPE_CHECKING:
    from sardineyard.agent.messages import CallSink
    from sardineyard.core.clock import Clock
    from sardineyard.core.requests import CallEvent, ServiceCall
    from sardineyard.document.model import Document

# Average length of a token. The tokenizer of the engine is not available here, and the
# costs of teams are only compared with each other.
_CHARACTERS_PER_TOKEN = 4


@dataclass(slots=True)
class CallProgress:
    """Sink that counts the tokens of a call and forwards its events."""

    sink: CallSink
    clock: Clock
    # Monotonic time in seconds.
    started: float
    tokens: int = 0
    # Seconds from the start to the first token.
    first_token_s: float = 0.0
    complete: bool = False

    def offer(self, message: CallEvent) -> bool:
        """Forward an event; return False if the receiver's queue is full."""
        if isinstance(message, TokenBatch):
            if not self.tokens:
                self.first_token_s = self.clock.now() - self.started
            self.tokens += len(message.tokens)
        elif isinstance(message, GenerationEnd | ServiceResponse):
            self.complete = True
        elif isinstance(message, CallFailed):
            self.complete = False
        return self.sink.offer(message)


def to_work(request: Generation | ServiceCall) -> Work:
    """Convert a request to work for the admission queue."""
    if not isinstance(request, Generation):
        return Work(
            request.request_id, request.team, request.priority, request.deadline
        )
    return Work(
        request.request_id,
        request.team,
        request.priority,
        request.deadline,
        len(request.prompt) // _CHARACTERS_PER_TOKEN + len(request.resume_tokens),
        max(1, request.max_tokens - len(request.resume_tokens)),
    )


def to_priority_rules(document: Document) -> list[PriorityRule]:
    """Return the rules of a document's priorities, most urgent first."""
    return [
        PriorityRule(
            priority.name, priority.first_token_target_s, priority.reserved_share
        )
        for priority in document.priorities
    ]
