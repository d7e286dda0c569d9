"""Stand-in for the platform's store, which can come back from an older copy.

It follows PROTOCOL.md and the drill of the eighth letter: revisions go back and are
given out again, a watch from a revision that the store does not have gets 410, and
`Store-Era`, in all answers, rises by one.
"""

from __future__ import annotations

import asyncio
import copy
import json
import time
from base64 import b64encode
from typing import TYPE_CHECKING, Any
from urllib.parse import parse_qsl, urlsplit

from messages import encode, read_message
from names import FIELD, PATH

if TYPE_CHECKING:
    from collections.abc import Callable

    from messages import Message

_FIRST_REVISION = 100
_PAGE_ITEMS = 500
# The store answers in 4 ms.
_LATENCY_S = 0.004


class AwayError(Exception):
    """The store does not answer at present."""


class Store:
    """Store of the operator's configuration and of the runners' entries."""

    def __init__(self, host: str, port: int, log: Callable[[str], None]) -> None:
        self.host, self.port = host, port
        self.era = 1
        self.revision = _FIRST_REVISION
        self._items: dict[str, dict[str, Any]] = {}
        self._values: dict[str, object] = {}
        self._events: list[dict[str, Any]] = []
        self._copy: tuple[Any, ...] | None = None
        self._log = log
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._changed = asyncio.Event()

    async def start(self) -> None:
        """Start to answer."""
        self._server = await asyncio.start_server(self._serve, self.host, self.port)

    async def stop(self) -> None:
        """Stop to answer; open connections are reset."""
        if self._server is not None:
            self._server.close()
        self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    def put(self, key: str, value: dict[str, Any]) -> float:
        """Write a value; return when it was acknowledged, or raise AwayError.

        An entry of a runner changes if more than its `sequence` differs.
        """
        if self._server is None:
            raise AwayError
        compared = {name: v for name, v in value.items() if name != "sequence"}
        if self._values.get(key) != compared:
            self.revision += 1
            known = self._items.get(key)
            self._values[key] = compared
            self._items[key] = {
                "key": key,
                "value": b64encode(json.dumps(value).encode()).decode(),
                "rev": self.revision,
                "createdRev": known["createdRev"] if known else self.revision,
                "lease": 0,
            }
            self._record(self._items[key])
            self._log(f"store: era {self.era} rev {self.revision} {key} written")
        return time.monotonic()

    def delete(self, key: str) -> None:
        """Remove a key; raise AwayError."""
        if self._server is None:
            raise AwayError
        if self._items.pop(key, None) is None:
            return
        self._values.pop(key, None)
        self.revision += 1
        self._record({"key": key, "rev": self.revision, "deleted": True})
        self._log(f"store: era {self.era} rev {self.revision} {key} removed")

    def take_copy(self) -> None:
        """Take the copy that a drill restores."""
        self._copy = copy.deepcopy(
            (self.revision, self._items, self._values, self._events)
        )
        self._log(f"store: copy taken at rev {self.revision}")

    async def drill(self, away_s: float) -> None:
        """Be away for a moment and come back from the copy."""
        assert self._copy is not None
        self._log(f"store: away at rev {self.revision}")
        await self.stop()
        await asyncio.sleep(away_s)
        self.revision, self._items, self._values, self._events = self._copy
        self.era += 1
        await self.start()
        self._log(f"store: back at rev {self.revision}, era {self.era}")

    def _record(self, event: dict[str, Any]) -> None:
        self._events.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while (request := await read_message(reader)) is not None:
                await asyncio.sleep(_LATENCY_S)
                status, body = await self._answer(request)
                headers = {
                    "Content-Type": "application/json",
                    "Store-Era": str(self.era),
                }
                data = json.dumps(body).encode()
                writer.write(encode(f"HTTP/1.1 {status} Answer", headers, data))
                await writer.drain()
        except (OSError, asyncio.CancelledError):
            # The connection ends, or the case does.
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, request: Message) -> tuple[int, dict[str, Any]]:
        parts = urlsplit(request.target)
        query = dict(parse_qsl(parts.query))
        if parts.path == PATH["watch"]:
            return await self._watch(query)
        if parts.path == PATH["range"]:
            after = query.get("after", "")
            keys = [
                key
                for key in sorted(self._items)
                if key.startswith(query[FIELD["prefix"]]) and key > after
            ]
            return 200, {
                "items": [self._items[key] for key in keys[:_PAGE_ITEMS]],
                FIELD["more"]: len(keys) > _PAGE_ITEMS,
                FIELD["revision"]: self.revision,
            }
        item = self._items.get(query.get("key", ""))
        if item is None:
            return 404, {FIELD["revision"]: self.revision}
        return 200, {**item, FIELD["revision"]: self.revision}

    async def _watch(self, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        prefix, after = query[FIELD["prefix"]], int(query["after"])
        if after > self.revision:
            self._log(f"store: 410 for a watch of {prefix} after rev {after}")
            return 410, {FIELD["revision"]: self.revision}
        end = time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            events = [
                event
                for event in self._events
                if event["rev"] > after and event["key"].startswith(prefix)
            ]
            left_s = end - time.monotonic()
            if events or left_s <= 0:
                return 200, {"events": events, FIELD["revision"]: self.revision}
            try:
                async with asyncio.timeout(left_s):
                    await self._changed.wait()
            except TimeoutError:
                pass
