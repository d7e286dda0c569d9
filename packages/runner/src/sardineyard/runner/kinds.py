"""Kinds of upstreams and the one function that runs a request on any of them."""

from __future__ import annotations

from dataclasses import dataclass
from functools import singledispatch
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from sardineyard.core.requests import CallEvent
    from sardineyard.httpio.pool import ConnectionPool


@dataclass(frozen=True, slots=True)
class ModelRunner:
    """Reach a model engine through its connections."""

    pool: ConnectionPool


@dataclass(frozen=True, slots=True)
class PlainService:
    """Reach a plain HTTP service through its connections."""

    pool: ConnectionPool


Runner = ModelRunner | PlainService


class NotSentError(Exception):
    """Report that no byte of the request reached the upstream."""


class RunnerError(Exception):
    """Report that the upstream failed after the request may have reached it."""


class MalformedAnswerError(RunnerError):
    """Report an answer of the upstream that breaks its protocol."""


@singledispatch
def execute(runner: object, request: Any) -> AsyncIterator[CallEvent]:
    """Run a request and yield its events.

    Raise NotSentError while nothing was sent, RunnerError afterwards.
    """
    raise TypeError(f"no protocol for {type(runner).__name__}")
