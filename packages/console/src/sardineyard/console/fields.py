"""Form fields that follow the types of the document's structures."""

from __future__ import annotations

from functools import lru_cache, singledispatch
from typing import TYPE_CHECKING, Any

from msgspec import inspect

from sardineyard.console.html import element, join

if TYPE_CHECKING:
    import msgspec

    from sardineyard.console.html import Html


@lru_cache
def field_kinds(kind: type[msgspec.Struct]) -> dict[str, inspect.Field]:
    """Return the fields of a structure by name."""
    info = inspect.type_info(kind)
    assert isinstance(info, inspect.StructType)
    return {field.name: field for field in info.fields}


@singledispatch
def parse_text(kind: inspect.Type, text: str) -> Any:
    """Return the JSON value of what an operator typed.

    Text that is not of the type stays text, so that the document's own validation
    reports it with its path and value.
    """
    return text.strip()


@parse_text.register(inspect.IntType)
def _(kind: inspect.IntType, text: str) -> Any:
    try:
        return int(text)
    except ValueError:
        return text.strip()


@parse_text.register(inspect.FloatType)
def _(kind: inspect.FloatType, text: str) -> Any:
    try:
        number = float(text)
    except ValueError:
        return text.strip()
    # JSON has no infinite numbers.
    return number if abs(number) < float("inf") else text.strip()


@parse_text.register(inspect.VarTupleType)
def _(kind: inspect.VarTupleType, text: str) -> Any:
    if isinstance(kind.item_type, inspect.VarTupleType):
        lines = [line for line in text.splitlines() if line.strip()]
        return [parse_text(kind.item_type, line) for line in lines]
    parts = text.replace("\n", ",").split(",")
    return [parse_text(kind.item_type, part) for part in parts if part.strip()]


@singledispatch
def show_text(value: Any) -> str:
    """Return the text of a JSON value in a form."""
    return "" if value is None else str(value)


@show_text.register(list)
def _(value: list[Any]) -> str:
    nested = any(isinstance(item, list) for item in value)
    return ("\n" if nested else ", ").join(show_text(item) for item in value)


@singledispatch
def input_for(kind: inspect.Type, name: str, value: Any) -> Html:
    """Return the input element for a type."""
    return element("input", type="text", name=name, value=show_text(value))


@input_for.register(inspect.EnumType)
def _(kind: inspect.EnumType, name: str, value: Any) -> Html:
    options = [
        element("option", member.value, selected=member.value == value)
        for member in kind.cls
    ]
    return element("select", join(options), name=name)


@input_for.register(inspect.VarTupleType)
def _(kind: inspect.VarTupleType, name: str, value: Any) -> Html:
    return element("textarea", show_text(value), name=name, rows="3")
