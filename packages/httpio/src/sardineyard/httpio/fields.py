"""Header fields as lists of names and values."""

from __future__ import annotations

HeaderList = list[tuple[bytes, bytes]]

# Fields that concern one connection only (RFC 9110, 7.6.1), and those of framing,
# which each side of a gateway sets for itself.
_CONNECTION_FIELDS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    )
)


def find(headers: HeaderList, name: bytes) -> bytes:
    """Return the first value of a field by its name in lower case, or nothing."""
    for candidate, value in headers:
        if candidate.lower() == name:
            return value
    return b""


def drop_connection_fields(headers: HeaderList) -> HeaderList:
    """Return the fields that a gateway passes on."""
    named = {name.strip().lower() for name in find(headers, b"connection").split(b",")}
    dropped = _CONNECTION_FIELDS | named
    return [(name, value) for name, value in headers if name.lower() not in dropped]


def keep_alive_timeout_s(headers: HeaderList) -> float | None:
    """Return the idle timeout of a connection in seconds, where it is stated."""
    for part in find(headers, b"keep-alive").split(b","):
        name, _, value = part.strip().partition(b"=")
        if name.lower() == b"timeout" and value.isdigit():
            return float(value)
    return None
