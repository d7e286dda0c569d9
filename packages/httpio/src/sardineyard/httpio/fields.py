"""Header fields as lists of names and values."""

from __future__ import annotations

HeaderList = list[tuple[bytes, bytes]]

# Hop-by-hop fields (RFC 9110, 7.6.1) and framing fields, which a gateway sets
# separately for each of its two connections.
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
    """Return the first value of a field, or b"" (`name` is in lower case)."""
    for candidate, value in headers:
        if candidate.lower() == name:
            return value
    return b""


def drop_connection_fields(headers: HeaderList) -> HeaderList:
    """Return the end-to-end fields, which a gateway forwards."""
    listed = {name.strip().lower() for name in find(headers, b"connection").split(b",")}
    dropped = _CONNECTION_FIELDS | listed
    return [(name, value) for name, value in headers if name.lower() not in dropped]


def keep_alive_timeout_s(headers: HeaderList) -> float | None:
    """Return the idle timeout in seconds of the `Keep-Alive` field, if present."""
    for parameter in find(headers, b"keep-alive").split(b","):
        name, _, value = parameter.strip().partition(b"=")
        if name.lower() == b"timeout" and value.isdigit():
            return float(value)
    return None
