"""Messages to the editor task, which owns the draft."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Mapping

    from returns.result import Result

    from sardineyard.console.sections import Section
    from sardineyard.core.mailbox import Reply
    from sardineyard.document.model import Document
    from sardineyard.document.violations import Violation


@dataclass(frozen=True, slots=True)
class Draft:
    """Document being edited, with the base document that it is compared with."""

    base: Document
    document: Document

    @property
    def is_changed(self) -> bool:
        """Return whether the draft differs from its base."""
        return self.document != self.base


@dataclass(frozen=True, slots=True)
class EditApplied:
    """Confirmation of an edit; `key` is a new team key, which is not stored."""

    key: str | None = None


@dataclass(frozen=True, slots=True)
class ReadDraft:
    """Request for the draft."""

    reply: Reply[Draft]


@dataclass(frozen=True, slots=True)
class SaveItem:
    """Request to update the item `original`, or to add an item if it is None."""

    section: Section
    original: str | None
    values: Mapping[str, Any]
    reply: Reply[Result[EditApplied, tuple[Violation, ...]]]


@dataclass(frozen=True, slots=True)
class RemoveItem:
    """Request to remove an item."""

    section: Section
    identity: str
    reply: Reply[Result[EditApplied, tuple[Violation, ...]]]


@dataclass(frozen=True, slots=True)
class MoveUp:
    """Request to swap an item with its predecessor."""

    section: Section
    identity: str
    reply: Reply[Result[EditApplied, tuple[Violation, ...]]]


@dataclass(frozen=True, slots=True)
class RotateKey:
    """Request to replace the key of a team by a new random key."""

    team: str
    reply: Reply[Result[EditApplied, tuple[Violation, ...]]]


@dataclass(frozen=True, slots=True)
class Publish:
    """Request to encode the draft as the next version of the document."""

    reply: Reply[Result[bytes, tuple[Violation, ...]]]


EditorMessage = ReadDraft | SaveItem | RemoveItem | MoveUp | RotateKey | Publish
