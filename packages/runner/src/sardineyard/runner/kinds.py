"""The one function that runs a request on any kind of upstream, and its errors.

A kind is a dataclass in a module of its own, which registers its protocol here.
"""

from __future__ import annotations

from functools import singledispatch
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator

    from sardineyard.core.requests import CallEvent


class NotSentError(Exception):
    """Report that no byte of the request reached the upstream."""


class RunnerError(Exception):
    """Report that the upstream failed after the request may have reached it."""


class MalformedAnswerError(RunnerError):
    """Report an answer of the upstream that breaks its protocol."""


@singledispatch
def execute(runner: object, request: Any) -> AsyncGenerator[CallEvent, None]:
    """Run a request and yield its events.

    Raise NotSentError while nothing was sent, RunnerError afterwards.
    """
    raise TypeError(f"no protocol for {type(runner).__name__}")
