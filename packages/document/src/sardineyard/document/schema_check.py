"""Check of decoded JSON against the types and value limits of a structure.

msgspec stops at the first violation. Here each field is converted separately, so that
an operator sees all violations at once.
"""

from __future__ import annotations

from functools import lru_cache, singledispatch
from typing import TYPE_CHECKING, Any, get_type_hints

import msgspec
from msgspec import inspect

from sardineyard.document.violations import violation

if TYPE_CHECKING:
    from collections.abc import Iterator

    from sardineyard.document.violations import Violation


def schema_violations(kind: type[msgspec.Struct], value: Any) -> tuple[Violation, ...]:
    """Return all violations of the types and value limits of a structure."""
    return tuple(_struct_violations(kind, value, "$"))


def _struct_violations(
    kind: type[msgspec.Struct], value: Any, path: str
) -> Iterator[Violation]:
    if not isinstance(value, dict):
        yield violation(path, value, "an object is required")
        return
    hints = _hints(kind)
    fields = {field.encode_name: field for field in msgspec.structs.fields(kind)}
    for name in sorted(value.keys() - fields.keys()):
        yield violation(f"{path}.{name}", value[name], "unknown field")
    for name, field in fields.items():
        if name in value:
            yield from _field_violations(
                hints[field.name], value[name], f"{path}.{name}"
            )
        elif field.required:
            yield violation(f"{path}.{name}", None, "required field is missing")


def _field_violations(hint: Any, value: Any, path: str) -> Iterator[Violation]:
    yield from _value_violations(_type_info(hint), hint, value, path)


@lru_cache
def _hints(kind: type[msgspec.Struct]) -> dict[str, Any]:
    return get_type_hints(kind, include_extras=True)


@lru_cache
def _type_info(hint: Any) -> inspect.Type:
    return inspect.type_info(hint)


@singledispatch
def _value_violations(
    info: inspect.Type, hint: Any, value: Any, path: str
) -> Iterator[Violation]:
    try:
        msgspec.convert(value, hint, strict=True)
    except msgspec.ValidationError as error:
        yield violation(path, value, str(error).partition(" - at ")[0])


@_value_violations.register(inspect.StructType)
def _(
    info: inspect.StructType, hint: Any, value: Any, path: str
) -> Iterator[Violation]:
    yield from _struct_violations(info.cls, value, path)


@_value_violations.register(inspect.VarTupleType)
def _(
    info: inspect.VarTupleType, hint: Any, value: Any, path: str
) -> Iterator[Violation]:
    if not isinstance(value, list):
        yield violation(path, value, "an array is required")
        return
    if info.min_length is not None and len(value) < info.min_length:
        yield violation(path, value, f"at least {info.min_length} item is required")
    item_hint = _item_hint(hint)
    for index, item in enumerate(value):
        yield from _value_violations(
            info.item_type, item_hint, item, f"{path}[{index}]"
        )


def _item_hint(hint: Any) -> Any:
    """Return the item type of `tuple[item, ...]`, with or without `Annotated`."""
    bare_type = hint.__origin__ if hasattr(hint, "__metadata__") else hint
    return bare_type.__args__[0]
