"""What an operator sent in a form, as values of the document."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any
from urllib.parse import parse_qsl

from sardineyard.console.fields import field_kinds, parse_text
from sardineyard.console.sections import ITEM_TYPES, shown_fields

if TYPE_CHECKING:
    from collections.abc import Mapping

    from msgspec import inspect

    from sardineyard.console.sections import Section
    from sardineyard.httpio.messages import HttpRequest


def read_form(request: HttpRequest) -> dict[str, str]:
    """Return the fields of a form; raise ValueError when it is malformed."""
    kind = request.headers.get("content-type", "").partition(";")[0].strip()
    if kind != "application/x-www-form-urlencoded":
        raise ValueError("the form is not URL-encoded")
    text = request.body.decode()
    return dict(parse_qsl(text, keep_blank_values=True, max_num_fields=100))


def item_values(section: Section, form: Mapping[str, str]) -> dict[str, Any]:
    """Return the JSON values of the fields that a form shows.

    An empty field stands for its default.
    """
    kinds = field_kinds(ITEM_TYPES[section])
    values = {}
    for field in shown_fields(section):
        kind = kinds[field]
        if form.get(field, "").strip() or kind.required:
            values[field] = parse_text(kind.type, form.get(field, ""))
        else:
            values[field] = _default(kind)
    return values


def default_values(section: Section) -> dict[str, Any]:
    """Return the defaults of a new item as JSON values."""
    kinds = field_kinds(ITEM_TYPES[section])
    return {
        field: _default(kinds[field])
        for field in shown_fields(section)
        if not kinds[field].required
    }


def _default(field: inspect.Field) -> Any:
    default = field.default
    return list(default) if isinstance(default, tuple) else default
