"""JSON encoding of documents, and their published JSON Schema."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec
from returns.result import Failure, Success

from sardineyard.document.model import Document
from sardineyard.document.schema_check import schema_violations
from sardineyard.document.validation import consistency_violations
from sardineyard.document.violations import violation

if TYPE_CHECKING:
    from returns.result import Result

    from sardineyard.document.violations import Violation

# The platform stores values of at most one megabyte.
MAX_DOCUMENT_BYTES = 1_000_000


def decode(raw: bytes) -> Result[Document, tuple[Violation, ...]]:
    """Decode and validate a document; a failure contains all violations found."""
    if len(raw) > MAX_DOCUMENT_BYTES:
        reason = f"longer than {MAX_DOCUMENT_BYTES} bytes"
        return Failure((violation("$", f"{len(raw)} bytes", reason),))
    try:
        document = msgspec.json.decode(raw, type=Document)
    except msgspec.ValidationError:
        return Failure(schema_violations(Document, msgspec.json.decode(raw)))
    except msgspec.DecodeError as error:
        return Failure((violation("$", "", f"not JSON: {error}"),))
    except UnicodeDecodeError as error:
        return Failure((violation("$", "", f"not UTF-8: {error.reason}"),))
    violations = consistency_violations(document)
    return Failure(violations) if violations else Success(document)


def encode(document: Document) -> bytes:
    """Encode a document as JSON."""
    return msgspec.json.encode(document)


def encode_readable(document: Document) -> bytes:
    """Encode a document as indented JSON, one field per line."""
    return msgspec.json.format(encode(document), indent=2) + b"\n"


def json_schema() -> dict[str, Any]:
    """Return the JSON Schema of documents."""
    return msgspec.json.schema(Document)


def encode_schema() -> bytes:
    """Return the text of the published JSON Schema."""
    return msgspec.json.format(msgspec.json.encode(json_schema()), indent=2) + b"\n"
