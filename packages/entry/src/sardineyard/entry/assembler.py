"""Reassembly of a response from token batches out of order, repeated or missing."""

from __future__ import annotations

from enum import Enum, unique
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sardineyard.core.requests import GenerationEnd, TokenBatch

# Tokens buffered behind a gap; an upstream that sends more is treated as failed.
MAX_OUT_OF_ORDER_TOKENS = 4_096


@unique
class AssemblyState(Enum):
    """Progress of the reassembly of a response."""

    OPEN = "open"
    WHOLE = "whole"
    BROKEN = "broken"


class ResponseAssembler:
    """Orders the tokens of one response and detects when it is complete."""

    def __init__(self) -> None:
        self._next_position = 0
        self._out_of_order: dict[int, str] = {}
        self._token_count: int | None = None
        self._state = AssemblyState.OPEN

    @property
    def state(self) -> AssemblyState:
        """Return the progress of the response."""
        return self._state

    @property
    def delivered(self) -> int:
        """Return the number of tokens returned in order so far."""
        return self._next_position

    @property
    def has_gap(self) -> bool:
        """Return whether a token is missing before a later token or the end."""
        return bool(self._out_of_order) or (
            self._token_count is not None and self._state is AssemblyState.OPEN
        )

    def restart(self) -> None:
        """Discard buffered tokens before an attempt; delivered tokens are kept."""
        self._out_of_order.clear()
        self._token_count = None
        self._state = AssemblyState.OPEN

    def add(self, batch: TokenBatch) -> list[str]:
        """Add a batch; return the tokens that are now available in order."""
        if self._state is not AssemblyState.OPEN:
            return []
        for position, token in enumerate(batch.tokens, start=batch.offset):
            if position >= self._next_position:
                self._out_of_order.setdefault(position, token)
        ready = []
        while self._next_position in self._out_of_order:
            ready.append(self._out_of_order.pop(self._next_position))
            self._next_position += 1
        self._update_state()
        return ready

    def end(self, end: GenerationEnd) -> None:
        """Record the end of the response, which states its number of tokens."""
        self._token_count = end.token_count
        self._update_state()

    def _update_state(self) -> None:
        exceeds_end = self._token_count is not None and (
            self._next_position > self._token_count
            or any(position >= self._token_count for position in self._out_of_order)
        )
        if exceeds_end or len(self._out_of_order) > MAX_OUT_OF_ORDER_TOKENS:
            self._state = AssemblyState.BROKEN
        elif self._next_position == self._token_count:
            self._state = AssemblyState.WHOLE
