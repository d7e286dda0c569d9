"""Execution of a request on an upstream of any kind, and its errors.

Each kind of upstream is a dataclass in its own module, which registers its protocol
with `execute`.
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
    """Failure before any byte of the request reached the upstream."""


class RunnerError(Exception):
    """Failure after the request may have reached the upstream."""


class MalformedResponseError(RunnerError):
    """Response of the upstream that breaks its protocol."""


class NotPermittedError(Exception):
    """Refusal of a call by the permit check before its first byte."""

    def __init__(self, error: RequestError) -> None:
        super().__init__(error.kind.value)
        self.error = error


# Checks a call immediately before its first byte is sent; returns the error if it must
# not be sent, otherwise None.
Permit: TypeAlias = Callable[[], Awaitable["RequestError | None"]]


async def always_permit() -> RequestError | None:
    """Permit every call."""
    return None


@singledispatch
def execute(
    runner: object, request: Any, permit: Permit = always_permit
) -> AsyncGenerator[CallEvent, None]:
    """Run a request and yield its events.

    Raise NotSentError or NotPermittedError before the first byte is sent, RunnerError
    afterwards.
    """
    raise TypeError(f"no protocol for {type(runner).__name__}")
