"""Decoding of submitted forms into JSON values of document items."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any
from urllib.parse import parse_qsl

from sardineyard.console.fields import parse_input, struct_fields
from sardineyard.console.sections import ITEM_TYPES, form_fields

if TYPE_CHECKING:
    from collections.abc import Mapping

    from msgspec import inspect

    from sardineyard.console.sections import Section
    from sardineyard.httpio.messages import HttpRequest


def read_form(request: HttpRequest) -> dict[str, str]:
    """Decode the fields of a form; raise ValueError if it is malformed."""
    media_type = request.headers.get("content-type", "").partition(";")[0].strip()
    if media_type != "application/x-www-form-urlencoded":
        raise ValueError("the form is not URL-encoded")
    text = request.body.decode()
    return dict(parse_qsl(text, keep_blank_values=True, max_num_fields=100))


def item_values(section: Section, form: Mapping[str, str]) -> dict[str, Any]:
    """Return the JSON values of the fields of a submitted form.

    An empty optional field gets its default.
    """
    field_infos = struct_fields(ITEM_TYPES[section])
    values = {}
    for field in form_fields(section):
        field_info = field_infos[field]
        if form.get(field, "").strip() or field_info.required:
            values[field] = parse_input(field_info.type, form.get(field, ""))
        else:
            values[field] = _json_default(field_info)
    return values


def default_values(section: Section) -> dict[str, Any]:
    """Return the default values of the optional fields of a new item."""
    field_infos = struct_fields(ITEM_TYPES[section])
    return {
        field: _json_default(field_infos[field])
        for field in form_fields(section)
        if not field_infos[field].required
    }


def _json_default(field: inspect.Field) -> Any:
    default = field.default
    return list(default) if isinstance(default, tuple) else default
