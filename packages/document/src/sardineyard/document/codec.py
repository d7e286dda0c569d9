"""Decoding of documents from JSON."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec
from returns.result import Failure, Success

from sardineyard.document.model import Document

if TYPE_CHECKING:
    from returns.result import Result


@dataclass(frozen=True, slots=True)
class Violation:
    """Say where a document is invalid, with which value and why."""

    path: str
    value: str
    reason: str


def decode(raw: bytes) -> Result[Document, tuple[Violation, ...]]:
    """Decode and check a document."""
    try:
        document = msgspec.json.decode(raw, type=Document)
    except msgspec.ValidationError as error:
        reason, _, path = str(error).partition(" - at ")
        return Failure((Violation(path.strip("`") or "$", "", reason),))
    except msgspec.DecodeError as error:
        return Failure((Violation("$", "", str(error)),))
    return Success(document)


def encode(document: Document) -> bytes:
    """Encode a document as JSON."""
    return msgspec.json.encode(document)
