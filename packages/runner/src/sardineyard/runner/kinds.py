"""The one function that runs a request on any kind of upstream, and its errors.

A kind is a dataclass in a module of its own, which registers its protocol here.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from functools import singledispatch
from typing import TYPE_CHECKING, Any, TypeAlias

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator

    from sardineyard.core.errors import RequestError
    from sardineyard.core.requests import CallEvent


class NotSentError(Exception):
    """Report that no byte of the request reached the upstream."""


class RunnerError(Exception):
    """Report that the upstream failed after the request may have reached it."""


class MalformedAnswerError(RunnerError):
    """Report an answer of the upstream that breaks its protocol."""


class NotPermittedError(Exception):
    """Report that the last check before the first byte refused the call."""

    def __init__(self, error: RequestError) -> None:
        super().__init__(error.kind.value)
        self.error = error


# Checks a call immediately before its first byte; returns why it must not be sent.
Permit: TypeAlias = Callable[[], Awaitable["RequestError | None"]]


async def always_permit() -> RequestError | None:
    """Permit every call."""
    return None


@singledispatch
def execute(
    runner: object, request: Any, permit: Permit = always_permit
) -> AsyncGenerator[CallEvent, None]:
    """Run a request and yield its events.

    Raise NotSentError or NotPermittedError while nothing was sent, RunnerError
    afterwards.
    """
    raise TypeError(f"no protocol for {type(runner).__name__}")
