"""HTML pages of the console."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any
from urllib.parse import quote

import msgspec

from sardineyard.console.fields import format_value, input_element, struct_fields
from sardineyard.console.guard import TOKEN_FIELD
from sardineyard.console.html import Html, element, join, page
from sardineyard.console.sections import (
    HINTS,
    ITEM_TYPES,
    Section,
    form_fields,
    identity_field,
)

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from sardineyard.console.messages import Draft
    from sardineyard.document.model import Document
    from sardineyard.document.violations import Violation

ORIGINAL_FIELD = "original_item"


class Pages:
    """Renderer of the pages; each form contains the token of this process."""

    def __init__(self, token: str, *, has_output_file: bool) -> None:
        self._token = token
        self._has_output_file = has_output_file

    def overview(self, draft: Draft, changes: Sequence[str]) -> bytes:
        """Return the overview: the changes of the draft and the output buttons."""
        body: list[object] = [
            element("h1", "Configuration"),
            element("p", f"The draft follows version {draft.base.version}."),
        ]
        if draft.is_changed:
            body += [
                element("h2", "Changes"),
                element("ul", join(element("li", change) for change in changes)),
                self._button("/output/download", "Download the document"),
            ]
            if self._has_output_file:
                body.append(self._button("/output/file", "Write the document"))
        else:
            body.append(element("p", "Nothing was changed."))
        return self._page("Overview", *body)

    def listing(self, section: Section, document: Document) -> bytes:
        """Return the page that lists the items of a section."""
        fields = form_fields(section)
        head = [element("th", field) for field in (*fields, "")]
        items: Sequence[msgspec.Struct] = getattr(document, section.value)
        return self._page(
            section.value,
            element("h1", section.value.capitalize()),
            element("a", "Add", href=f"/{section.value}/edit"),
            element(
                "table",
                element("tr", *head),
                *(self._row(section, item) for item in items),
            ),
        )

    def form(
        self,
        section: Section,
        values: Mapping[str, Any],
        original: str | None,
        violations: Sequence[Violation] = (),
    ) -> bytes:
        """Return the form of an item, with the violations of a rejected submission."""
        field_infos = struct_fields(ITEM_TYPES[section])
        labels = [
            element(
                "label",
                element("span", field),
                input_element(field_infos[field].type, field, values.get(field)),
                element("small", HINTS[section].get(field, "")),
            )
            for field in form_fields(section)
        ]
        hidden = [] if original is None else [_hidden(ORIGINAL_FIELD, original)]
        title = f"{section.value}: {original or 'new item'}"
        save = element("p", element("button", "Save"))
        form = self._form(f"/{section.value}/save", *hidden, *labels, save)
        return self._page(
            title, element("h1", title), _violation_table(violations), form
        )

    def key(self, team: str, key: str) -> bytes:
        """Return the page that shows a new team key; no other page shows it."""
        return self._page(
            "New key",
            element("h1", f"Key of {team}"),
            element("p", "Copy it now. Only its hash is kept; it is not shown again."),
            element("p", element("code", key)),
            element("a", "Back", href="/teams"),
        )

    def problem(self, title: str, violations: Sequence[Violation]) -> bytes:
        """Return a page that lists violations."""
        return self._page(title, element("h1", title), _violation_table(violations))

    def message(self, title: str, detail: str) -> bytes:
        """Return a page with a short message."""
        return self._page(title, element("h1", title), element("p", detail))

    def _page(self, title: str, *body: object) -> bytes:
        links = [element("a", "Overview", href="/")]
        links += [element("a", s.value, href=f"/{s.value}") for s in Section]
        return page(title, element("nav", *links), *body)

    def _row(self, section: Section, item: msgspec.Struct) -> Html:
        identity = str(getattr(item, identity_field(section)))
        cells = [
            element("td", format_value(msgspec.to_builtins(getattr(item, field))))
            for field in form_fields(section)
        ]
        link = f"/{section.value}/edit?item={quote(identity)}"
        target = _hidden(ORIGINAL_FIELD, identity)
        actions = [
            element("a", "Edit", href=link),
            self._button(f"/{section.value}/remove", "Remove", target),
        ]
        if section is Section.PRIORITIES:
            actions.append(self._button(f"/{section.value}/up", "More urgent", target))
        if section is Section.TEAMS:
            actions.append(self._button(f"/{section.value}/key", "New key", target))
        return element("tr", *cells, element("td", *actions))

    def _button(self, action: str, label: str, *hidden: Html) -> Html:
        return self._form(action, *hidden, element("button", label), class_="inline")

    def _form(self, action: str, *children: object, **attributes: str) -> Html:
        token = _hidden(TOKEN_FIELD, self._token)
        return element(
            "form", token, *children, method="post", action=action, **attributes
        )


def _hidden(name: str, value: str) -> Html:
    return element("input", type="hidden", name=name, value=value)


def _violation_table(violations: Sequence[Violation]) -> Html:
    if not violations:
        return Html("")
    head = element("tr", *(element("th", name) for name in ("path", "value", "reason")))
    rows = [
        element(
            "tr",
            element("td", element("code", violation.path)),
            element("td", element("code", violation.value)),
            element("td", violation.reason),
        )
        for violation in violations
    ]
    return element(
        "div",
        element("p", "The change was not made:"),
        element("table", head, *rows),
        class_="errors",
    )
