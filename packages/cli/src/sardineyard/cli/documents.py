"""Documents in files."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
from returns.result import Failure, Success

from sardineyard.cli.base import read_file
from sardineyard.console.changes import cut_hash
from sardineyard.document.codec import decode

if TYPE_CHECKING:
    from returns.result import Result

    from sardineyard.document.model import Document

Lines = tuple[str, ...]


def read_document(path: str) -> Result[Document, Lines]:
    """Return the document in a file, or one line for each thing wrong with it."""
    match read_file(path):
        case Success(raw):
            return decode(raw).alt(
                lambda found: tuple(f"{path}: {violation}" for violation in found)
            )
        case Failure(reason):
            return Failure((reason,))
    raise AssertionError("a result is a success or a failure")


def without_hashes(document: Document) -> bytes:
    """Return a document as readable JSON in which the hashes of keys are cut."""
    tree = msgspec.to_builtins(document)
    for team in tree["teams"]:
        team["key_sha256"] = cut_hash(team["key_sha256"])
    return msgspec.json.format(msgspec.json.encode(tree), indent=2)
