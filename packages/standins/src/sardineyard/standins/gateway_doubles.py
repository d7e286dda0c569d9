"""Test doubles for a gateway: configuration store, message codec and upstreams."""

from __future__ import annotations

import asyncio
import socket
import struct
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING, Any

from sardineyard.core.ids import (
    FailureDomain,
    PromptPartId,
    RequestId,
    Revision,
    ServiceName,
    StoreEra,
)
from sardineyard.forwarding.config import (
    ForwardingConfig,
    UpstreamEntry,
    UpstreamPhase,
)
from sardineyard.forwarding.messages import (
    RequestMetadata,
    ResponseMetadata,
)
from sardineyard.forwarding.store import (
    BEGINNING,
    ConfigChanges,
    StoredConfig,
    StoredUpstream,
    StoreError,
    StorePosition,
    UpstreamChanges,
    UpstreamSnapshot,
)
from sardineyard.httpio.fields import drop_connection_fields, find

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from sardineyard.forwarding.messages import (
        ForwardedMetadata,
        HeaderList,
    )
    from sardineyard.forwarding.store import (
        StoreFailure,
    )


# Linger time of zero seconds.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


def position_at(revision: int, era: int = 0) -> StorePosition:
    """Return the position of a revision of the store."""
    return StorePosition(StoreEra(era), Revision(revision))


def empty_config(version: int) -> ForwardingConfig:
    """Return a configuration without routes."""
    return ForwardingConfig(version, (), {}, ())


def ready_entry(id: str) -> UpstreamEntry:
    """Return the entry of an upstream with an address of its own."""
    port = 80 + sum(id.encode())
    domain, phase = FailureDomain("a"), UpstreamPhase.READY
    service = ServiceName("desk")
    return UpstreamEntry(id, service, "127.0.0.1", port, domain, 4, phase, 1)


class MemoryStore:
    """In-memory configuration and upstreams; implements CatalogStore.

    It returns from a copy without a failed call: only the era of its answers tells.
    """

    def __init__(self) -> None:
        # Number of full reads.
        self.reads = 0
        self._copy: tuple[StorePosition, Any, dict[str, StoredUpstream]] | None = None
        self._position = position_at(1)
        self._config: StoredConfig | None = None
        self._configs: dict[bytes, ForwardingConfig] = {}
        self._entries: dict[bytes, UpstreamEntry] = {}
        self._upstreams: dict[str, StoredUpstream] = {}
        self._changed = asyncio.Condition()
        self.failure: StoreFailure | None = None

    async def put_config(self, config: ForwardingConfig) -> None:
        """Store a configuration and notify watches."""
        async with self._changed:
            self._advance()
            raw = f"config {config.version}".encode()
            self._configs[raw] = config
            self._config = StoredConfig(config, raw, self._position)
            self._changed.notify_all()

    async def put_upstream(self, entry: UpstreamEntry) -> None:
        """Store the entry of an upstream and notify watches."""
        async with self._changed:
            self._advance()
            raw = f"entry {self._position}".encode()
            self._entries[raw] = entry
            stored = StoredUpstream(entry.id, self._position, entry, raw)
            self._upstreams[entry.id] = stored
            self._changed.notify_all()

    async def remove_upstream(self, id: str) -> None:
        """Remove the entry of an upstream and notify watches."""
        async with self._changed:
            self._advance()
            self._upstreams[id] = StoredUpstream(id, self._position, None)
            self._changed.notify_all()

    def take_copy(self) -> None:
        """Make the copy from which the store returns."""
        self._copy = self._position, self._config, dict(self._upstreams)

    def return_from_copy(self) -> None:
        """Lose what was written since the copy was made, and begin the next era."""
        assert self._copy is not None
        position, config, upstreams = self._copy
        era = self._position.era + 1

        def in_era(position: StorePosition) -> StorePosition:
            return position_at(position.revision, era)

        self._position = in_era(position)
        self._config = config and replace(config, position=in_era(config.position))
        self._upstreams = {
            id: replace(stored, position=in_era(stored.position))
            for id, stored in upstreams.items()
        }

    async def read_config(self, era: StoreEra = BEGINNING.era) -> ConfigChanges:
        """Return the configuration in force, if there is one."""
        self._raise_failure()
        self.reads += 1
        position = self._config.position if self._config else self._position
        return ConfigChanges(self._config, position)

    async def read_upstreams(self, era: StoreEra = BEGINNING.era) -> UpstreamSnapshot:
        """Return all listed upstreams."""
        self._raise_failure()
        self.reads += 1
        listed = tuple(r for r in self._upstreams.values() if r.entry is not None)
        return UpstreamSnapshot(listed, self._position)

    async def watch_config(self, after: StorePosition, wait_s: float) -> ConfigChanges:
        """Wait for a newer configuration."""

        # The store compares revisions, and knows nothing of the caller's era.
        def newer() -> StoredConfig | None:
            stored = self._config
            is_newer = stored and stored.position.revision > after.revision
            return stored if is_newer else None

        await self._wait(lambda: newer() is not None, wait_s)
        return ConfigChanges(newer(), self._position)

    async def watch_upstreams(
        self, after: StorePosition, wait_s: float
    ) -> UpstreamChanges:
        """Wait for changes of the upstreams."""

        def newer() -> tuple[StoredUpstream, ...]:
            upstreams = self._upstreams.values()
            return tuple(s for s in upstreams if s.position.revision > after.revision)

        await self._wait(lambda: bool(newer()), wait_s)
        return UpstreamChanges(newer(), self._position)

    def decode_config(self, raw: bytes, position: StorePosition) -> StoredConfig | None:
        """Decode a configuration received from a peer; None if it is malformed."""
        config = self._configs.get(raw)
        return None if config is None else StoredConfig(config, raw, position)

    def decode_upstream(
        self, id: str, raw: bytes, position: StorePosition
    ) -> StoredUpstream:
        """Decode an upstream received from a peer."""
        return StoredUpstream(id, position, self._entries.get(raw), raw)

    def _advance(self) -> None:
        position = self._position
        self._position = position_at(position.revision + 1, position.era)

    async def _wait(self, is_done: Callable[[], bool], wait_s: float) -> None:
        self._raise_failure()
        try:
            async with asyncio.timeout(wait_s), self._changed:
                await self._changed.wait_for(
                    lambda: is_done() or self.failure is not None
                )
        except TimeoutError:
            # The watch ends without changes.
            pass
        self._raise_failure()

    def _raise_failure(self) -> None:
        if self.failure is not None:
            raise StoreError(self.failure, era=self._position.era)


class PlainHeaders:
    """Codec with short header names; implements MessageCodec."""

    def read_request(self, headers: HeaderList) -> RequestMetadata:
        """Return the metadata of a request."""
        client_timeout = find(headers, b"x-patience")
        return RequestMetadata(
            request_id=RequestId(find(headers, b"x-id").decode()),
            client_timeout_s=float(client_timeout) if client_timeout else None,
            team_key=find(headers, b"x-key").decode(),
            last_event_id=find(headers, b"last-event-id").decode(),
            shared_prompt_parts=tuple(
                map(PromptPartId, find(headers, b"x-parts").decode().split())
            ),
        )

    def forwarded_headers(
        self, headers: HeaderList, forwarded: ForwardedMetadata
    ) -> HeaderList:
        """Return the headers of the request that is sent to an upstream."""
        kept = [
            (name, value)
            for name, value in drop_connection_fields(headers)
            if name.lower() not in (b"x-key", b"x-patience")
        ]
        kept.append((b"x-left", b"%.3f" % forwarded.time_left_s))
        kept.append((b"x-team", (forwarded.team or "").encode()))
        if forwarded.resume_after:
            kept.append((b"last-event-id", forwarded.resume_after.encode()))
        return kept

    def read_response(self, status: int, headers: HeaderList) -> ResponseMetadata:
        """Return the metadata of a response."""
        limit = find(headers, b"x-limit")
        return ResponseMetadata(
            status=status,
            is_not_run=bool(find(headers, b"x-not-run")),
            is_sealed=bool(find(headers, b"x-seal")),
            has_content_encoding=bool(find(headers, b"content-encoding")),
            request_id=find(headers, b"x-id").decode(),
            request_limit_per_s=float(limit) if limit else None,
            is_leaving=bool(find(headers, b"x-leaving")),
            pause_s=float(pause) if (pause := find(headers, b"x-pause")) else None,
        )

    def refusal_headers(
        self, request_id: RequestId, retry_after_s: float | None
    ) -> HeaderList:
        """Return the headers of a response that the gateway generates itself."""
        if retry_after_s is None:
            return []
        return [(b"retry-after", b"%.3f" % retry_after_s)]


@dataclass(slots=True)
class ReceivedRequest:
    """Request that a scripted upstream received."""

    head: bytes
    body: bytes

    def header(self, name: str) -> str:
        """Return the value of a header field, or an empty string."""
        for line in self.head.decode("latin-1").split("\r\n")[1:]:
            field_name, _, value = line.partition(":")
            if field_name.lower() == name:
                return value.strip()
        return ""


@dataclass(slots=True)
class UpstreamConnection:
    """Connection from the gateway to a scripted upstream."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    async def receive(self) -> ReceivedRequest | None:
        """Receive a complete request; None if the gateway closed the connection."""
        try:
            head = await self.reader.readuntil(b"\r\n\r\n")
        except (asyncio.IncompleteReadError, ConnectionError):
            return None
        request = ReceivedRequest(head, b"")
        length = int(request.header("content-length") or 0)
        request.body = await self.reader.readexactly(length)
        return request

    def send_response(
        self, request: ReceivedRequest, body: bytes = b"ok", *extra: str
    ) -> None:
        """Send a complete sealed response."""
        self.send_head(
            "HTTP/1.1 200 OK",
            f"x-id: {request.header('x-id')}",
            "x-seal: s",
            f"content-length: {len(body)}",
            *extra,
            body=body,
        )

    def start_stream(self, request: ReceivedRequest) -> None:
        """Send the response head of a sealed stream."""
        self.send_head(
            "HTTP/1.1 200 OK",
            f"x-id: {request.header('x-id')}",
            "x-seal: s",
            "content-type: text/event-stream",
            "transfer-encoding: chunked",
        )

    def start_unframed_stream(self, request: ReceivedRequest) -> None:
        """Send the head of a stream without length, which ends with its connection."""
        self.send_head(
            "HTTP/1.1 200 OK",
            f"x-id: {request.header('x-id')}",
            "x-seal: s",
            "content-type: text/event-stream",
            "connection: close",
        )

    def send_event(self, number: int) -> None:
        """Send one event of a stream."""
        self.send_chunk(f"id: {number}\ndata: {number}\n\n".encode())

    def send_chunk(self, data: bytes) -> None:
        """Send a chunk; an empty one ends the stream."""
        self.writer.write(b"%x\r\n%s\r\n" % (len(data), data))

    def send_head(self, *lines: str, body: bytes = b"") -> None:
        """Send the lines of a response head, then the body."""
        self.writer.write("\r\n".join([*lines, "", ""]).encode() + body)

    def reset(self) -> None:
        """Reset the connection, so that its end is no regular one."""
        sock = self.writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
        self.writer.transport.abort()


@dataclass(slots=True)
class ScriptedUpstream:
    """Upstream that runs a script of the test for each connection."""

    script: Callable[[UpstreamConnection], Awaitable[None]]
    requests: list[ReceivedRequest] = field(default_factory=list)
    port: int = 0
    _server: asyncio.Server | None = None

    async def start(self) -> None:
        """Start listening."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        connection = UpstreamConnection(reader, writer)
        try:
            await self.script(connection)
        except ConnectionError:
            # The gateway closed the connection; the test checks the received requests.
            return
        finally:
            writer.close()


def record_connections(
    script: Callable[[UpstreamConnection], Awaitable[None]],
    seen: list[UpstreamConnection],
) -> Callable[[UpstreamConnection], Awaitable[None]]:
    """Return a script that also appends each connection to a list."""

    async def run(connection: UpstreamConnection) -> None:
        seen.append(connection)
        await script(connection)

    return run
