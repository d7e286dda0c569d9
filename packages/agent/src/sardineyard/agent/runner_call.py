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
    NotPermittedError,
    NotSentError,
    RunnerError,
    execute,
)

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator

    from sardineyard.agent.messages import CallSink
    from sardineyard.core.clock import Clock
    from sardineyard.core.requests import CallEvent, Generation, ServiceCall
    from sardineyard.runner import Runner
    from sardineyard.runner.kinds import Permit

_logger = logging.getLogger(__name__)

# A call with a key goes on for this time after its start, beyond the deadline of its
# caller, because a later attempt with the same key can still get its answer.
_PERMITTED_S = 60.0


async def run_call(
    runner: Runner,
    request: Generation | ServiceCall,
    sink: CallSink,
    clock: Clock,
    permit: Permit | None = None,
) -> None:
    """Run a request until its end, its deadline or an error, and report each event."""
    try:
        async with (
            asyncio.timeout(remaining(clock, request.deadline)) as limit,
            aclosing(_execute(runner, request, permit, limit)) as events,
        ):
            async for event in events:
                if not sink.offer(event):
                    return
    except NotPermittedError as error:
        sink.offer(CallFailed(request.request_id, error.error))
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


def _execute(
    runner: Runner,
    request: Generation | ServiceCall,
    permit: Permit | None,
    limit: asyncio.Timeout,
) -> AsyncGenerator[CallEvent, None]:
    if permit is None:
        return execute(runner, request)

    async def permit_and_extend() -> RequestError | None:
        refusal = await permit()
        if refusal is None:
            limit.reschedule(asyncio.get_running_loop().time() + _PERMITTED_S)
        return refusal

    return execute(runner, request, permit_and_extend)


def _fail(
    request: Generation | ServiceCall, sink: CallSink, kind: ErrorKind, detail: str
) -> None:
    sink.offer(CallFailed(request.request_id, RequestError(kind, detail)))
