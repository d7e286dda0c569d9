"""Execution of one call on the upstream, as a separate task."""

from __future__ import annotations

import asyncio
import logging
from contextlib import aclosing
from typing import TYPE_CHECKING

from sardineyard.core.clock import remaining
from sardineyard.core.errors import ErrorKind, RequestError
from sardineyard.core.requests import CallFailed
from sardineyard.runner.execution import (
    MalformedResponseError,
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
    from sardineyard.runner.execution import Permit

_logger = logging.getLogger(__name__)

# A call with an idempotency key may run this long after its start, even past the
# deadline of its caller: a later attempt with the same key can still get its response.
_KEYED_CALL_LIMIT_S = 60.0


async def run_call(
    runner: Runner,
    request: Generation | ServiceCall,
    sink: CallSink,
    clock: Clock,
    permit: Permit | None = None,
) -> None:
    """Run a request until it ends, fails or times out; send its events to the sink."""
    try:
        async with (
            asyncio.timeout(remaining(clock, request.deadline)) as timeout,
            aclosing(_execute(runner, request, permit, timeout)) as events,
        ):
            async for event in events:
                if not sink.offer(event):
                    return
    except NotPermittedError as error:
        sink.offer(CallFailed(request.request_id, error.error))
    except NotSentError as error:
        _fail(request, sink, ErrorKind.NO_UPSTREAM, str(error))
    except MalformedResponseError as error:
        _fail(request, sink, ErrorKind.UPSTREAM_PROTOCOL, str(error))
    except RunnerError as error:
        _fail(request, sink, ErrorKind.UPSTREAM_LOST, str(error))
    except TimeoutError:
        _fail(request, sink, ErrorKind.DEADLINE_EXCEEDED, "during the call")
    except Exception:
        # A bug in one call must be reported to its caller and not stop other calls.
        _logger.exception(
            "call failed with an unexpected error",
            extra={"event": "call_failed", "request_id": request.request_id},
        )
        _fail(request, sink, ErrorKind.INTERNAL, "")


def _execute(
    runner: Runner,
    request: Generation | ServiceCall,
    permit: Permit | None,
    timeout: asyncio.Timeout,
) -> AsyncGenerator[CallEvent, None]:
    if permit is None:
        return execute(runner, request)

    async def check_and_extend() -> RequestError | None:
        refusal = await permit()
        if refusal is None:
            timeout.reschedule(asyncio.get_running_loop().time() + _KEYED_CALL_LIMIT_S)
        return refusal

    return execute(runner, request, check_and_extend)


def _fail(
    request: Generation | ServiceCall, sink: CallSink, kind: ErrorKind, detail: str
) -> None:
    sink.offer(CallFailed(request.request_id, RequestError(kind, detail)))
