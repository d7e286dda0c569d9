"""HTTP routes of the console: GET shows the draft, POST edits or publishes it."""

from __future__ import annotations

import asyncio
import os
from typing import TYPE_CHECKING
from urllib.parse import quote

import msgspec
from returns.result import Failure, Success

from sardineyard.console.changes import format_changes
from sardineyard.console.forms import default_values, item_values, read_form
from sardineyard.console.guard import CrossSiteGuard
from sardineyard.console.html import STYLE
from sardineyard.console.messages import (
    MoveUp,
    Publish,
    ReadDraft,
    RemoveItem,
    RotateKey,
    SaveItem,
)
from sardineyard.console.pages import ORIGINAL_FIELD, Pages
from sardineyard.console.sections import Section, identity_field
from sardineyard.core.mailbox import Reply

if TYPE_CHECKING:
    from collections.abc import Mapping
    from pathlib import Path

    from returns.result import Result

    from sardineyard.console.messages import (
        Draft,
        EditApplied,
        EditorMessage,
    )
    from sardineyard.core.mailbox import Mailbox
    from sardineyard.document.violations import Violation
    from sardineyard.httpio.exchange import Exchange
    from sardineyard.httpio.messages import HttpRequest

_HEADERS = {
    "content-type": "text/html; charset=utf-8",
    "cache-control": "no-store",
    "content-security-policy": (
        "default-src 'none'; style-src 'self'; form-action 'self'; "
        "frame-ancestors 'none'; base-uri 'none'"
    ),
    "x-content-type-options": "nosniff",
    "referrer-policy": "same-origin",
}


class Routes:
    """Request handler of the console."""

    def __init__(self, editor: Mailbox[EditorMessage], output: Path | None) -> None:
        self._editor = editor
        self._output = output
        self._guard = CrossSiteGuard()
        self._pages = Pages(self._guard.token, has_output_file=output is not None)

    async def handle(self, request: HttpRequest, exchange: Exchange) -> None:
        """Respond to one request."""
        refusal = self._guard.refusal_reason(request)
        if refusal is not None:
            await self._send(exchange, 403, self._pages.message("Refused", refusal))
        elif request.method == "GET":
            await self._get(request, exchange)
        elif request.method == "POST":
            await self._post(request, exchange)
        else:
            page = self._pages.message("Not allowed", "Use GET or POST.")
            await self._send(exchange, 405, page)

    async def _get(self, request: HttpRequest, exchange: Exchange) -> None:
        match request.path.strip("/").split("/"):
            case ["style.css"]:
                style = {**_HEADERS, "content-type": "text/css"}
                await exchange.send(200, style, STYLE)
            case [""]:
                draft = await self._draft()
                page = self._pages.overview(draft, format_changes(draft))
                await self._send(exchange, 200, page)
            case [name] if name in _SECTIONS_BY_NAME:
                document = (await self._draft()).document
                page = self._pages.listing(_SECTIONS_BY_NAME[name], document)
                await self._send(exchange, 200, page)
            case [name, "edit"] if name in _SECTIONS_BY_NAME:
                await self._show_edit_form(
                    _SECTIONS_BY_NAME[name], request.query.get("item"), exchange
                )
            case _:
                await self._not_found(exchange)

    async def _post(self, request: HttpRequest, exchange: Exchange) -> None:
        try:
            form = read_form(request)
        except ValueError as error:
            page = self._pages.message("Malformed form", str(error))
            await self._send(exchange, 400, page)
            return
        refusal = self._guard.form_refusal_reason(form)
        if refusal is not None:
            await self._send(exchange, 403, self._pages.message("Refused", refusal))
            return
        match request.path.strip("/").split("/"):
            case ["output", target] if target in ("download", "file"):
                await self._publish(target, exchange)
            case [name, "save"] if name in _SECTIONS_BY_NAME:
                await self._save(_SECTIONS_BY_NAME[name], form, exchange)
            case [name, action] if name in _SECTIONS_BY_NAME:
                await self._run_action(_SECTIONS_BY_NAME[name], action, form, exchange)
            case _:
                await self._not_found(exchange)

    async def _show_edit_form(
        self, section: Section, identity: str | None, exchange: Exchange
    ) -> None:
        if identity is None:
            page = self._pages.form(section, default_values(section), None)
            await self._send(exchange, 200, page)
            return
        document = (await self._draft()).document
        field = identity_field(section)
        for item in getattr(document, section.value):
            if getattr(item, field) == identity:
                values = msgspec.json.decode(msgspec.json.encode(item))
                page = self._pages.form(section, values, identity)
                await self._send(exchange, 200, page)
                return
        await self._not_found(exchange)

    async def _save(
        self, section: Section, form: Mapping[str, str], exchange: Exchange
    ) -> None:
        original = form.get(ORIGINAL_FIELD)
        values = item_values(section, form)
        reply: Reply[Result[EditApplied, tuple[Violation, ...]]] = Reply()
        self._editor.post(SaveItem(section, original, values, reply))
        result = await reply.wait()
        match result:
            case Failure(violations):
                page = self._pages.form(section, values, original, violations)
                await self._send(exchange, 422, page)
            case _:
                name = str(values.get(identity_field(section)))
                await self._send_edit_result(section, name, result, exchange)

    async def _run_action(
        self,
        section: Section,
        action: str,
        form: Mapping[str, str],
        exchange: Exchange,
    ) -> None:
        identity = form.get(ORIGINAL_FIELD, "")
        reply: Reply[Result[EditApplied, tuple[Violation, ...]]] = Reply()
        match section, action:
            case _, "remove":
                self._editor.post(RemoveItem(section, identity, reply))
            case Section.PRIORITIES, "up":
                self._editor.post(MoveUp(section, identity, reply))
            case Section.TEAMS, "key":
                self._editor.post(RotateKey(identity, reply))
            case _:
                await self._not_found(exchange)
                return
        await self._send_edit_result(section, identity, await reply.wait(), exchange)

    async def _send_edit_result(
        self,
        section: Section,
        identity: str,
        result: Result[EditApplied, tuple[Violation, ...]],
        exchange: Exchange,
    ) -> None:
        match result:
            case Failure(violations):
                page = self._pages.problem(section.value, violations)
                await self._send(exchange, 422, page)
            case Success(applied) if applied.key is not None:
                page = self._pages.key(identity, applied.key)
                await self._send(exchange, 200, page)
            case _:
                target = f"/{quote(section.value)}"
                await exchange.send(303, {**_HEADERS, "location": target})

    async def _publish(self, target: str, exchange: Exchange) -> None:
        reply: Reply[Result[bytes, tuple[Violation, ...]]] = Reply()
        self._editor.post(Publish(reply))
        match await reply.wait():
            case Failure(violations):
                page = self._pages.problem("No document", violations)
                await self._send(exchange, 422, page)
            case Success(raw) if target == "download":
                name = 'attachment; filename="sardineyard.json"'
                await exchange.send(
                    200,
                    {
                        **_HEADERS,
                        "content-type": "application/json",
                        "content-disposition": name,
                    },
                    raw,
                )
            case Success(raw):
                await self._write(raw, exchange)

    async def _write(self, raw: bytes, exchange: Exchange) -> None:
        if self._output is None:
            await self._not_found(exchange)
            return
        try:
            await asyncio.to_thread(write_atomically, self._output, raw)
        except OSError as error:
            detail = f"{self._output}: {error.strerror}"
            await self._send(exchange, 500, self._pages.message("Not written", detail))
            return
        page = self._pages.message("Written", str(self._output))
        await self._send(exchange, 200, page)

    async def _draft(self) -> Draft:
        reply: Reply[Draft] = Reply()
        self._editor.post(ReadDraft(reply))
        return await reply.wait()

    async def _not_found(self, exchange: Exchange) -> None:
        page = self._pages.message("Not found", "There is no such page.")
        await self._send(exchange, 404, page)

    async def _send(self, exchange: Exchange, status: int, page: bytes) -> None:
        await exchange.send(status, _HEADERS, page)


_SECTIONS_BY_NAME = {section.value: section for section in Section}


def write_atomically(path: Path, raw: bytes) -> None:
    """Replace a file atomically: readers see the old or the new content."""
    temporary = path.with_name(f".{path.name}.{os.getpid()}")
    temporary.write_bytes(raw)
    temporary.replace(path)
