"""Checks of a request's head that the HTTP library leaves out.

Another party may read a folded line, a bare line feed or two framings of one body in
another way, which would let a request be hidden inside another one.
"""

from __future__ import annotations

_END = b"\r\n\r\n"
_VERSIONS = (b"HTTP/1.1", b"HTTP/1.0")


class HeadError(ValueError):
    """Report a head that is ambiguous."""


def head_length(data: bytes) -> int | None:
    """Return the length of the head in bytes, or None while it is not complete.

    A head may end with bare line feeds; `check_head` then refuses it.
    """
    ends = [
        position + len(end)
        for end in (_END, b"\n\n")
        if (position := data.find(end)) >= 0
    ]
    return min(ends) if ends else None


def check_head(head: bytes) -> None:
    """Raise HeadError where a head could be read in two ways."""
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
