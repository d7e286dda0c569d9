"""Form inputs derived from the field types of the document."""

from __future__ import annotations

from functools import lru_cache, singledispatch
from typing import TYPE_CHECKING, Any

from msgspec import inspect

from sardineyard.console.html import element, join

if TYPE_CHECKING:
    import msgspec

    from sardineyard.console.html import Html


@lru_cache
def struct_fields(struct_type: type[msgspec.Struct]) -> dict[str, inspect.Field]:
    """Return the field descriptions of a structure by field name."""
    info = inspect.type_info(struct_type)
    assert isinstance(info, inspect.StructType)
    return {field.name: field for field in info.fields}


@singledispatch
def parse_input(field_type: inspect.Type, text: str) -> Any:
    """Convert the text of a form field to a JSON value of a type.

    Text that does not convert is returned as text, so that the validation of the
    document reports it with its path and value.
    """
    return text.strip()


@parse_input.register(inspect.IntType)
def _(field_type: inspect.IntType, text: str) -> Any:
    try:
        return int(text)
    except ValueError:
        return text.strip()


@parse_input.register(inspect.FloatType)
def _(field_type: inspect.FloatType, text: str) -> Any:
    try:
        number = float(text)
    except ValueError:
        return text.strip()
    # JSON cannot represent infinite numbers.
    return number if abs(number) < float("inf") else text.strip()


@parse_input.register(inspect.VarTupleType)
def _(field_type: inspect.VarTupleType, text: str) -> Any:
    if isinstance(field_type.item_type, inspect.VarTupleType):
        lines = [line for line in text.splitlines() if line.strip()]
        return [parse_input(field_type.item_type, line) for line in lines]
    parts = text.replace("\n", ",").split(",")
    return [parse_input(field_type.item_type, part) for part in parts if part.strip()]


@singledispatch
def format_value(value: Any) -> str:
    """Convert a JSON value to the text of a form field."""
    return "" if value is None else str(value)


@format_value.register(list)
def _(value: list[Any]) -> str:
    nested = any(isinstance(item, list) for item in value)
    return ("\n" if nested else ", ").join(format_value(item) for item in value)


@singledispatch
def input_element(field_type: inspect.Type, name: str, value: Any) -> Html:
    """Return the HTML input element for a field type."""
    return element("input", type="text", name=name, value=format_value(value))


@input_element.register(inspect.EnumType)
def _(field_type: inspect.EnumType, name: str, value: Any) -> Html:
    options = [
        element("option", member.value, selected=member.value == value)
        for member in field_type.cls
    ]
    return element("select", join(options), name=name)


@input_element.register(inspect.VarTupleType)
def _(field_type: inspect.VarTupleType, name: str, value: Any) -> Html:
    return element("textarea", format_value(value), name=name, rows="3")
