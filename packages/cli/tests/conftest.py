"""Fixtures of the command-line tests."""

from __future__ import annotations

import asyncio
import threading
from collections.abc import Callable
from io import StringIO
from pathlib import Path
from typing import TYPE_CHECKING

import pytest
from cleo.io.inputs.argv_input import ArgvInput
from cleo.io.outputs.stream_output import StreamOutput

from sardineyard.cli.app import CommandLine
from sardineyard.core.address import Address
from sardineyard.core.ids import FailureDomain, Incarnation, ProcessId, UpstreamId
from sardineyard.core.states import ProcessState, UpstreamState
from sardineyard.httpio.messages import HttpLimits
from sardineyard.httpio.server import HttpServer
from sardineyard.telemetry.state import (
    DocumentInForce,
    EntryDump,
    UpstreamView,
    encode_dump,
)

if TYPE_CHECKING:
    from collections.abc import Iterator

    from sardineyard.httpio.messages import HttpRequest

RunCommand = Callable[..., tuple[int, str, str]]


@pytest.fixture
def run() -> RunCommand:
    """Return a function that runs a command and returns code, stdout and stderr."""

    def run_command(*args: object) -> tuple[int, str, str]:
        output, errors = StringIO(), StringIO()
        arguments = ArgvInput(["sardineyard", *map(str, args)])
        code = CommandLine().run(arguments, StreamOutput(output), StreamOutput(errors))
        return code, output.getvalue(), errors.getvalue()

    return run_command


@pytest.fixture
def examples() -> Path:
    """Return the directory of the example files."""
    return Path(__file__).parents[3] / "examples"


@pytest.fixture
def dump() -> EntryDump:
    """Return the state dump of an entry."""
    view = UpstreamView(
        upstream=UpstreamId("runner-1"),
        state=UpstreamState.SUSPECT,
        in_flight=3,
        latency_s=0.0123456,
    )
    return EntryDump(
        process=ProcessId("entry-1\x1b[31m"),
        incarnation=Incarnation(5),
        failure_domain=FailureDomain("a"),
        state=ProcessState.SERVING,
        uptime_s=2.0,
        document=DocumentInForce(version=7, digest="d"),
        upstreams=(view,),
    )


@pytest.fixture
def admin_server(dump: EntryDump) -> Iterator[Address]:
    """Serve the state dump at an admin address, from an event loop in a thread."""
    loop = asyncio.new_event_loop()

    async def respond(request: HttpRequest, exchange: object) -> None:
        status = 200 if request.path == "/state" else 404
        await exchange.send(status, {}, encode_dump(dump))

    server = HttpServer(Address("127.0.0.1", 0), respond, respond, HttpLimits())
    loop.run_until_complete(server.start())
    thread = threading.Thread(target=loop.run_forever)
    thread.start()
    yield Address("127.0.0.1", server.port)
    asyncio.run_coroutine_threadsafe(server.close(), loop).result(5)
    loop.call_soon_threadsafe(loop.stop)
    thread.join(5)
    loop.close()
