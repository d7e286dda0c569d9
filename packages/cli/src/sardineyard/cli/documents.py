"""Reading of document files, and printing without key hashes."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
from returns.result import Failure, Success

from sardineyard.cli.base import read_file
from sardineyard.console.changes import truncate_hash
from sardineyard.document.codec import decode

if TYPE_CHECKING:
    from returns.result import Result

    from sardineyard.document.model import Document

ErrorLines = tuple[str, ...]


def read_document(path: str) -> Result[Document, ErrorLines]:
    """Return the document in a file, or one line for each error."""
    match read_file(path):
        case Success(raw):
            return decode(raw).alt(
                lambda violations: tuple(
                    f"{path}: {violation}" for violation in violations
                )
            )
        case Failure(reason):
            return Failure((reason,))
    raise AssertionError("a result is a success or a failure")


def redacted_json(document: Document) -> bytes:
    """Return a document as indented JSON with truncated key hashes."""
    tree = msgspec.to_builtins(document)
    for team in tree["teams"]:
        team["key_sha256"] = truncate_hash(team["key_sha256"])
    return msgspec.json.format(msgspec.json.encode(tree), indent=2)
