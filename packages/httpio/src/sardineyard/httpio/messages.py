"""HTTP requests and responses as plain values."""

from __future__ import annotations

from dataclasses import dataclass, field
from urllib.parse import parse_qsl, urlsplit


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """Hold one whole request; header names are in lower case."""

    method: str
    target: str
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""

    @property
    def path(self) -> str:
        """Return the path without the query."""
        return urlsplit(self.target).path

    @property
    def query(self) -> dict[str, str]:
        """Return the query parameters; the last one of a name counts."""
        return dict(parse_qsl(urlsplit(self.target).query))


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """Hold one whole response; header names are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes


@dataclass(frozen=True, slots=True)
class HttpLimits:
    """Bound what a server accepts."""

    max_head_bytes: int = 16_384
    max_body_bytes: int = 1_048_576
    max_connections: int = 2_000
    # Seconds for the whole head, so that slow senders cannot hold connections.
    head_timeout_s: float = 10.0
    body_timeout_s: float = 30.0
    idle_timeout_s: float = 60.0
    # Seconds for one write, so that a caller that stops reading is dropped.
    write_timeout_s: float = 30.0
