"""HTTP requests and responses, and the limits of a server."""

from __future__ import annotations

from dataclasses import dataclass, field
from urllib.parse import parse_qsl, urlsplit

# HTTP has no classes of statuses beyond 5xx. A parser that checks the syntax only
# accepts any three digits.
_MAX_STATUS = 599


def is_valid_status(status: int) -> bool:
    """Return whether the final response to a request may have a status."""
    return 200 <= status <= _MAX_STATUS


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """Complete request; header names are in lower case."""

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
        """Return the query parameters; the last value of a repeated name applies."""
        return dict(parse_qsl(urlsplit(self.target).query))


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """Complete response; header names are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes


@dataclass(frozen=True, slots=True)
class HttpLimits:
    """Limits on the connections and requests that a server accepts."""

    max_head_bytes: int = 16_384
    max_body_bytes: int = 1_048_576
    max_connections: int = 2_000
    # Time for the complete head, so that slow senders cannot hold connections.
    head_timeout_s: float = 10.0
    body_timeout_s: float = 30.0
    idle_timeout_s: float = 60.0
    # Time for one write, after which a peer that reads too slowly is disconnected.
    write_timeout_s: float = 30.0
