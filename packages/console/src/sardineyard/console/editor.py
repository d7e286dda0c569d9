"""Task that owns the draft of the document."""

from __future__ import annotations

import logging
from functools import singledispatchmethod
from typing import TYPE_CHECKING, Any

from returns.result import Failure, Result, Success

from sardineyard.console.editing import (
    key_hash,
    move_up,
    new_key,
    next_version,
    remove_item,
    save_item,
)
from sardineyard.console.messages import (
    Draft,
    EditApplied,
    MoveUp,
    Publish,
    ReadDraft,
    RemoveItem,
    RotateKey,
    SaveItem,
)
from sardineyard.console.sections import Section
from sardineyard.core.mailbox import Mailbox
from sardineyard.document.codec import decode, encode
from sardineyard.document.violations import Violation

if TYPE_CHECKING:
    from sardineyard.console.editing import ValidationResult
    from sardineyard.console.messages import (
        EditorMessage,
    )
    from sardineyard.core.mailbox import Reply
    from sardineyard.document.model import Document

_logger = logging.getLogger(__name__)

EditResult = Result[EditApplied, tuple[Violation, ...]]


class Editor:
    """Task that owns the draft and edits it on request."""

    def __init__(self, document: Document) -> None:
        self.mailbox: Mailbox[EditorMessage] = Mailbox()
        self._base = document
        self._draft = document
        # Last published document; it is returned until the draft changes.
        self._last_published: bytes | None = None

    async def run(self) -> None:
        """Process messages until the task is cancelled."""
        while True:
            self._handle(await self.mailbox.receive())

    @singledispatchmethod
    def _handle(self, message: Any) -> None:
        raise TypeError(f"unknown message {type(message).__name__}")

    @_handle.register(ReadDraft)
    def _(self, message: ReadDraft) -> None:
        message.reply.send(Draft(self._base, self._draft))

    @_handle.register(SaveItem)
    def _(self, message: SaveItem) -> None:
        values = dict(message.values)
        key = None
        if message.section is Section.TEAMS and message.original is None:
            key = new_key()
            values["key_sha256"] = key_hash(key)
        result = save_item(self._draft, message.section, message.original, values)
        self._apply_result(result, message.reply, key)

    @_handle.register(RemoveItem)
    def _(self, message: RemoveItem) -> None:
        result = remove_item(self._draft, message.section, message.identity)
        self._apply_result(result, message.reply)

    @_handle.register(MoveUp)
    def _(self, message: MoveUp) -> None:
        result = move_up(self._draft, message.section, message.identity)
        self._apply_result(result, message.reply)

    @_handle.register(RotateKey)
    def _(self, message: RotateKey) -> None:
        key = new_key()
        values = {"key_sha256": key_hash(key)}
        result = save_item(self._draft, Section.TEAMS, message.team, values)
        self._apply_result(result, message.reply, key)

    @_handle.register(Publish)
    def _(self, message: Publish) -> None:
        if self._draft == self._base:
            unchanged = Violation("$", "", "nothing was changed")
            message.reply.send(
                Failure((unchanged,))
                if self._last_published is None
                else Success(self._last_published)
            )
            return
        raw = encode(next_version(self._base, self._draft))
        # The published document becomes the new base, so that later edits get a new
        # version and no version names two documents.
        message.reply.send(
            decode(raw).map(lambda document: self._record_published(document, raw))
        )

    def _record_published(self, document: Document, raw: bytes) -> bytes:
        self._base = self._draft = document
        self._last_published = raw
        _logger.info(
            "document published",
            extra={"event": "document_published", "version": document.version},
        )
        return raw

    def _apply_result(
        self, result: ValidationResult, reply: Reply[EditResult], key: str | None = None
    ) -> None:
        match result:
            case Success(document):
                self._draft = document
                reply.send(Success(EditApplied(key)))
            case Failure(violations):
                reply.send(Failure(violations))
