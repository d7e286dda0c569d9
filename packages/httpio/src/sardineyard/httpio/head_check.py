"""Checks of a request head that h11 does not make.

Another HTTP implementation may parse a folded line, a bare line feed or two framings of
one body differently, which would allow request smuggling.
"""

from __future__ import annotations

_END = b"\r\n\r\n"
_VERSIONS = (b"HTTP/1.1", b"HTTP/1.0")


class HeadError(ValueError):
    """Request head that is ambiguous."""


def head_length(data: bytes) -> int | None:
    """Return the length of the head in bytes, or None while it is incomplete.

    A head that ends with bare line feeds is also found; `check_head` rejects it.
    """
    ends = [
        position + len(end)
        for end in (_END, b"\n\n")
        if (position := data.find(end)) >= 0
    ]
    return min(ends) if ends else None


def check_head(head: bytes) -> None:
    """Raise HeadError if another implementation could parse the head differently."""
    if head.count(b"\n") != head.count(b"\r\n") or head.count(b"\r") != head.count(
        b"\r\n"
    ):
        raise HeadError("a line does not end with CR LF")
    lines = head[: -len(_END)].split(b"\r\n")
    if not lines[0].endswith(_VERSIONS):
        raise HeadError("the version of the protocol is not HTTP/1")
    if any(line[:1] in (b" ", b"\t") for line in lines[1:]):
        raise HeadError("a header line is folded")
    names = [line.partition(b":")[0].lower() for line in lines[1:]]
    if b"content-length" in names and b"transfer-encoding" in names:
        raise HeadError("the body has two framings")
