"""Assembly of a whole answer from pieces that may be late, repeated or missing."""

from __future__ import annotations

from enum import Enum, unique
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sardineyard.core.requests import GenerationEnd, TokenBatch

# Tokens that may wait behind a gap; an upstream that sends more is treated as failed.
MAX_EARLY_TOKENS = 4_096


@unique
class AssemblyState(Enum):
    """Say how far an answer has come."""

    OPEN = "open"
    WHOLE = "whole"
    BROKEN = "broken"


class AnswerAssembler:
    """Put the tokens of one answer in order and know when it is whole."""

    def __init__(self) -> None:
        self._next = 0
        self._early: dict[int, str] = {}
        self._count: int | None = None
        self._state = AssemblyState.OPEN

    @property
    def state(self) -> AssemblyState:
        """Return how far the answer has come."""
        return self._state

    @property
    def delivered(self) -> int:
        """Return the number of tokens handed on in order."""
        return self._next

    @property
    def has_gap(self) -> bool:
        """Return whether a token is missing before others that have arrived."""
        return bool(self._early) or (
            self._count is not None and self._state is AssemblyState.OPEN
        )

    def restart(self) -> None:
        """Forget what another upstream sent but was not handed on."""
        self._early.clear()
        self._count = None
        self._state = AssemblyState.OPEN

    def add(self, batch: TokenBatch) -> list[str]:
        """Take tokens and return those that can be handed on now."""
        if self._state is not AssemblyState.OPEN:
            return []
        for position, token in enumerate(batch.tokens, start=batch.offset):
            if position >= self._next:
                self._early.setdefault(position, token)
        ready = []
        while self._next in self._early:
            ready.append(self._early.pop(self._next))
            self._next += 1
        self._update()
        return ready

    def end(self, end: GenerationEnd) -> None:
        """Take the number of tokens that the whole answer has."""
        self._count = end.token_count
        self._update()

    def _update(self) -> None:
        beyond = self._count is not None and (
            self._next > self._count
            or any(position >= self._count for position in self._early)
        )
        if beyond or len(self._early) > MAX_EARLY_TOKENS:
            self._state = AssemblyState.BROKEN
        elif self._next == self._count:
            self._state = AssemblyState.WHOLE
