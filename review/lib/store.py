"""Stand-in for the platform's metadata store: reads, ranges and watches over HTTP."""

import asyncio
import base64
import json
from urllib.parse import parse_qs, urlsplit

from http1 import read_request, response
from wire import name

_PAGE = 500
_FIRST_REVISION = 100


class Store:
    """Linearizable store whose writers live in the process of the test."""

    def __init__(self):
        self.port = 0
        self.revision = _FIRST_REVISION
        self.items = {}
        self.events = []
        self._changed = asyncio.Condition()
        self._server = None
        self.calls = 0

    async def start(self, host="127.0.0.1", port=0):
        """Start listening."""
        self._server = await asyncio.start_server(self._serve, host, port)
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self):
        """Stop listening."""
        self._server.close()

    async def put(self, key, value):
        """Write a value; the return is the acknowledgement."""
        self.revision += 1
        created = self.items[key]["createdRev"] if key in self.items else self.revision
        item = {
            "key": key,
            "value": base64.b64encode(json.dumps(value).encode()).decode(),
            "rev": self.revision,
            "createdRev": created,
            "lease": 0,
        }
        self.items[key] = item
        await self._record(item)

    async def delete(self, key):
        """Delete a key."""
        if self.items.pop(key, None) is None:
            return
        self.revision += 1
        await self._record({"key": key, "rev": self.revision, "deleted": True})

    async def _record(self, event):
        self.events.append(event)
        async with self._changed:
            self._changed.notify_all()

    async def _serve(self, reader, writer):
        try:
            while (request := await read_request(reader)) is not None:
                self.calls += 1
                status, body = await self._answer(request)
                writer.write(
                    response(
                        status,
                        [("Content-Type", "application/json")],
                        json.dumps(body).encode(),
                    )
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, request):
        parts = urlsplit(request.target)
        query = {key: values[-1] for key, values in parse_qs(parts.query).items()}
        if parts.path == name("read_path"):
            item = self.items.get(query["key"])
            if item is None:
                return 404, {name("revision"): self.revision}
            return 200, {**item, name("revision"): self.revision}
        if parts.path == name("range_path"):
            after = query.get("after", "")
            keys = sorted(
                key
                for key in self.items
                if key.startswith(query[name("prefix")]) and key > after
            )
            return 200, {
                "items": [self.items[key] for key in keys[:_PAGE]],
                name("more_pages"): len(keys) > _PAGE,
                name("revision"): self.revision,
            }
        if parts.path == name("watch_path"):
            return await self._watch(
                query[name("prefix")], int(query["after"]), int(query["waitMs"])
            )
        return 404, {}

    async def _watch(self, prefix, after, wait_ms):
        def found():
            return [
                event
                for event in self.events
                if event["rev"] > after and event["key"].startswith(prefix)
            ]

        try:
            async with asyncio.timeout(min(wait_ms, 30_000) / 1000), self._changed:
                await self._changed.wait_for(found)
        except TimeoutError:
            pass
        return 200, {"events": found(), name("revision"): self.revision}
