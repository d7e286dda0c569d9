"""Stand-in runner: a plain service or a model server with event streams.

Prints "ready", then one line for each request that begins to run.
"""

import argparse
import asyncio
import os
import random

from http1 import read_request, response
from wire import name

_EVENTS = 24
# Number of the event after which a stream is preempted.
_PREEMPTED_AFTER = 14


class Runner:
    """Server that runs some requests at once and queues a few more."""

    def __init__(self, options):
        self._options = options
        self._slots = asyncio.Semaphore(options.slots)
        self._in_system = 0
        self._sequence = 0

    async def serve(self, reader, writer):
        """Serve the requests of one connection."""
        try:
            while (request := await read_request(reader)) is not None:
                gone = asyncio.create_task(_wait_for_close(reader))
                work = asyncio.create_task(self._respond(request, writer))
                # A request is dropped when its connection closes.
                await asyncio.wait({gone, work}, return_when=asyncio.FIRST_COMPLETED)
                if not work.done():
                    work.cancel()
                    return
                gone.cancel()
                if not work.result():
                    return
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _respond(self, request, writer):
        options = self._options
        id = request.headers.get(name("attempt_id").lower(), "")
        base = [(name("attempt_id"), id)]
        expected = request.headers.get(name("expected_runner").lower())
        if expected is not None and expected != options.id:
            writer.write(response(421, [(name("runner"), options.id)], b""))
            await writer.drain()
            return True
        if self._in_system >= options.slots + options.queue:
            writer.write(response(503, [*base, (name("not_run"), "1")], b""))
            await writer.drain()
            return True
        self._in_system += 1
        try:
            async with self._slots:
                return await self._run(request, base, writer)
        finally:
            self._in_system -= 1

    async def _run(self, request, base, writer):
        options = self._options
        tenant = request.headers.get(name("tenant").lower(), "-")
        is_deadly = b"deadly" in request.body
        if is_deadly and options.stream:
            # A stream begins to run with its first token.
            await asyncio.sleep(options.work_ms / 1000)
        print(
            f"runs {base[0][1]} {request.method} {request.target} {tenant}", flush=True
        )
        if is_deadly:
            # The process crashes as the request begins to run.
            os._exit(1)
        self._sequence += 1
        head = [*base, (name("seal"), f"{options.id}.{self._sequence}")]
        if options.stream:
            return await self._stream(request, head, writer)
        await asyncio.sleep(random.uniform(0.5, 1.5) * options.work_ms / 1000)
        writer.write(
            response(200, head, f"{base[0][1]} by {options.id}\n".encode() * 10)
        )
        await writer.drain()
        return True

    async def _stream(self, request, head, writer):
        first = int(request.headers.get("last-event-id") or 0) + 1
        await asyncio.sleep(self._options.work_ms / 1000)
        fields = [*head, ("Content-Type", "text/event-stream")]
        lines = ["HTTP/1.1 200 OK", *(f"{n}: {v}" for n, v in fields)]
        lines.append("Transfer-Encoding: chunked")
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        for number in range(first, _EVENTS + 1):
            event = f"id: {number}\ndata: piece {number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(0.04)
            if number == _PREEMPTED_AFTER and b"long pause" in request.body:
                # The request is preempted, and its prompt is read again.
                await asyncio.sleep(self._options.preempted_ms / 1000)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


async def _wait_for_close(reader):
    while True:
        if reader.at_eof() or reader.exception() is not None:
            return
        await asyncio.sleep(0.02)


async def main():
    """Serve until killed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--id", required=True)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--slots", type=int, default=6)
    parser.add_argument("--queue", type=int, default=24)
    parser.add_argument("--work-ms", type=float, default=22.5)
    parser.add_argument("--preempted-ms", type=float, default=0.0)
    parser.add_argument("--stream", action="store_true")
    options = parser.parse_args()
    runner = Runner(options)
    server = await asyncio.start_server(
        runner.serve, "127.0.0.1", options.port, backlog=256
    )
    print("ready", flush=True)
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main())
