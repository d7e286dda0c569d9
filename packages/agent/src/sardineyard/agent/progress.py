"""Progress of one call: what the admission queue learns from its end."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from sardineyard.admission.model import PriorityRule, Work
from sardineyard.core.requests import (
    CallFailed,
    Generation,
    GenerationEnd,
    ServiceAnswer,
    TokenBatch,
)

if TYPE_CHECKING:
    from sardineyard.agent.messages import CallSink
    from sardineyard.core.clock import Clock
    from sardineyard.core.requests import CallEvent, ServiceCall
    from sardineyard.document.model import Document

# Characters of a prompt that make one token on average; the engine's tokenizer is
# not known here, and the cost of teams needs ratios only.
_CHARACTERS_PER_TOKEN = 4


@dataclass(slots=True)
class Progress:
    """Count tokens on their way to whoever asked for the call."""

    sink: CallSink
    clock: Clock
    started: float
    tokens: int = 0
    first_token_s: float = 0.0
    complete: bool = False

    def offer(self, message: CallEvent) -> bool:
        """Take an event and return whether there was room for it."""
        if isinstance(message, TokenBatch):
            if not self.tokens:
                self.first_token_s = self.clock.now() - self.started
            self.tokens += len(message.tokens)
        elif isinstance(message, GenerationEnd | ServiceAnswer):
            self.complete = True
        elif isinstance(message, CallFailed):
            self.complete = False
        return self.sink.offer(message)


def to_work(request: Generation | ServiceCall) -> Work:
    """Describe a request to the admission queue."""
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


def to_rules(document: Document) -> list[PriorityRule]:
    """Return the priorities of a document, the most urgent first."""
    return [
        PriorityRule(
            priority.name, priority.first_token_target_s, priority.reserved_share
        )
        for priority in document.priorities
    ]
