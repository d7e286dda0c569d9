"""One call on the upstream, run by a task of its own."""

from __future__ import annotations

import asyncio
import logging
from contextlib import aclosing
from typing import TYPE_CHECKING

from sardineyard.core.clock import remaining
from sardineyard.core.errors import ErrorKind, RequestError
from sardineyard.core.requests import CallFailed
from sardineyard.runner.kinds import (
    MalformedAnswerError,
    NotSentError,
    RunnerError,
    execute,
)

if TYPE_CHECKING:
    from sardineyard.agent.messages import CallSink
    from sardineyard.core.clock import Clock
    from sardineyard.core.requests import Generation, ServiceCall
    from sardineyard.runner import Runner

_logger = logging.getLogger(__name__)


async def run_call(
    runner: Runner, request: Generation | ServiceCall, sink: CallSink, clock: Clock
) -> None:
    """Run a request until its end, its deadline or an error, and report each event."""
    try:
        async with (
            asyncio.timeout(remaining(clock, request.deadline)),
            aclosing(execute(runner, request)) as events,
        ):
            async for event in events:
                if not sink.offer(event):
                    return
    except NotSentError as error:
        _fail(request, sink, ErrorKind.NO_UPSTREAM, str(error))
    except MalformedAnswerError as error:
        _fail(request, sink, ErrorKind.UPSTREAM_PROTOCOL, str(error))
    except RunnerError as error:
        _fail(request, sink, ErrorKind.UPSTREAM_LOST, str(error))
    except TimeoutError:
        _fail(request, sink, ErrorKind.DEADLINE_EXCEEDED, "during the call")
    except Exception:
        # A fault in one call must reach its caller and end no other call.
        _logger.exception(
            "call failed",
            extra={"event": "call_failed", "request_id": request.request_id},
        )
        _fail(request, sink, ErrorKind.INTERNAL, "")


def _fail(
    request: Generation | ServiceCall, sink: CallSink, kind: ErrorKind, detail: str
) -> None:
    sink.offer(CallFailed(request.request_id, RequestError(kind, detail)))
