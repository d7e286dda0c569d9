"""Messages about the document in force."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sardineyard.document.model import Document
    from sardineyard.document.order import DocumentOrder


@dataclass(frozen=True, slots=True)
class DocumentAdopted:
    """Say that a document is in force in this process from now on."""

    document: Document
    order: DocumentOrder
    raw: bytes
