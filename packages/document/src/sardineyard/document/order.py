"""Precedence between documents: by version, then by digest."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import xxhash

from sardineyard.document.model import DocumentDigest

if TYPE_CHECKING:
    from sardineyard.document.model import DocumentVersion


@dataclass(frozen=True, slots=True, order=True)
class DocumentOrder:
    """Sort key of a document, by which all processes prefer the same document."""

    version: DocumentVersion
    digest: DocumentDigest


def digest_of(raw: bytes) -> DocumentDigest:
    """Return the digest of an encoded document."""
    return DocumentDigest(xxhash.xxh3_128_hexdigest(raw))
