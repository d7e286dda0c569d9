"""Order of documents: the version first, the digest among equals."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import xxhash

from sardineyard.document.model import DocumentDigest

if TYPE_CHECKING:
    from sardineyard.document.model import DocumentVersion


@dataclass(frozen=True, slots=True, order=True)
class DocumentOrder:
    """Compare documents the same way in every process."""

    version: DocumentVersion
    digest: DocumentDigest


def digest_of(raw: bytes) -> DocumentDigest:
    """Return the digest of a document's bytes."""
    return DocumentDigest(xxhash.xxh3_128_hexdigest(raw))
