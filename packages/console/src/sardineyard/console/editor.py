"""The task that owns the draft."""

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
    Changed,
    Draft,
    MoveUp,
    Publish,
    ReadDraft,
    RemoveItem,
    RenewKey,
    SaveItem,
)
from sardineyard.console.sections import Section
from sardineyard.core.mailbox import Mailbox
from sardineyard.document.codec import decode, encode
from sardineyard.document.violations import Violation

if TYPE_CHECKING:
    from sardineyard.console.editing import Checked
    from sardineyard.console.messages import (
        EditorMessage,
    )
    from sardineyard.core.mailbox import Reply
    from sardineyard.document.model import Document

_logger = logging.getLogger(__name__)

Answer = Result[Changed, tuple[Violation, ...]]


class Editor:
    """Own the draft and change it on messages."""

    def __init__(self, document: Document) -> None:
        self.mailbox: Mailbox[EditorMessage] = Mailbox()
        self._base = document
        self._draft = document
        # The last output; it is given again until something changes.
        self._published: bytes | None = None

    async def run(self) -> None:
        """Handle messages for ever."""
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
        change = save_item(self._draft, message.section, message.original, values)
        self._adopt(change, message.reply, key)

    @_handle.register(RemoveItem)
    def _(self, message: RemoveItem) -> None:
        change = remove_item(self._draft, message.section, message.identity)
        self._adopt(change, message.reply)

    @_handle.register(MoveUp)
    def _(self, message: MoveUp) -> None:
        change = move_up(self._draft, message.section, message.identity)
        self._adopt(change, message.reply)

    @_handle.register(RenewKey)
    def _(self, message: RenewKey) -> None:
        key = new_key()
        values = {"key_sha256": key_hash(key)}
        change = save_item(self._draft, Section.TEAMS, message.team, values)
        self._adopt(change, message.reply, key)

    @_handle.register(Publish)
    def _(self, message: Publish) -> None:
        if self._draft == self._base:
            unchanged = Violation("$", "", "nothing was changed")
            message.reply.send(
                Failure((unchanged,))
                if self._published is None
                else Success(self._published)
            )
            return
        raw = encode(next_version(self._base, self._draft))
        # The next change builds on what was given out, so that one version never
        # names two documents.
        message.reply.send(decode(raw).map(lambda document: self._given(document, raw)))

    def _given(self, document: Document, raw: bytes) -> bytes:
        self._base = self._draft = document
        self._published = raw
        _logger.info(
            "document given out",
            extra={"event": "document_published", "version": document.version},
        )
        return raw

    def _adopt(
        self, change: Checked, reply: Reply[Answer], key: str | None = None
    ) -> None:
        match change:
            case Success(document):
                self._draft = document
                reply.send(Success(Changed(key)))
            case Failure(violations):
                reply.send(Failure(violations))
