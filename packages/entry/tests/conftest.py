"""Fixtures of the entry tests."""

from collections.abc import Callable

import pytest

from sardineyard.core.ids import RequestId
from sardineyard.core.requests import GenerationEnd, TokenBatch
from sardineyard.core.states import FinishReason


@pytest.fixture
def batch() -> Callable[..., TokenBatch]:
    """Return a function that makes a batch of tokens at an offset."""

    def make(offset: int, *tokens: str) -> TokenBatch:
        return TokenBatch(RequestId("r"), offset, tokens)

    return make


@pytest.fixture
def end() -> Callable[[int], GenerationEnd]:
    """Return a function that makes the end of an answer."""

    def make(count: int) -> GenerationEnd:
        return GenerationEnd(RequestId("r"), count, FinishReason.LENGTH)

    return make
