"""Messages to the task that owns the draft."""

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
    """Hold the document being edited and the one it started from."""

    base: Document
    document: Document

    @property
    def changed(self) -> bool:
        """Return whether the draft differs from its base."""
        return self.document != self.base


@dataclass(frozen=True, slots=True)
class Changed:
    """Confirm a change; a new key is in this answer and nowhere else."""

    key: str | None = None


@dataclass(frozen=True, slots=True)
class ReadDraft:
    """Ask for the draft."""

    reply: Reply[Draft]


@dataclass(frozen=True, slots=True)
class SaveItem:
    """Change one item, or add it when it has no original identity."""

    section: Section
    original: str | None
    values: Mapping[str, Any]
    reply: Reply[Result[Changed, tuple[Violation, ...]]]


@dataclass(frozen=True, slots=True)
class RemoveItem:
    """Remove one item."""

    section: Section
    identity: str
    reply: Reply[Result[Changed, tuple[Violation, ...]]]


@dataclass(frozen=True, slots=True)
class MoveUp:
    """Exchange one item with the one before it."""

    section: Section
    identity: str
    reply: Reply[Result[Changed, tuple[Violation, ...]]]


@dataclass(frozen=True, slots=True)
class RenewKey:
    """Replace the key of a team."""

    team: str
    reply: Reply[Result[Changed, tuple[Violation, ...]]]


@dataclass(frozen=True, slots=True)
class Publish:
    """Ask for the draft as the next version."""

    reply: Reply[Result[bytes, tuple[Violation, ...]]]


EditorMessage = ReadDraft | SaveItem | RemoveItem | MoveUp | RenewKey | Publish
