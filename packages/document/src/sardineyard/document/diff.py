"""Differences between two documents, as a list of typed changes."""

from __future__ import annotations

from dataclasses import dataclass
from functools import singledispatch
from typing import TYPE_CHECKING, Any

import msgspec

from sardineyard.document.model import Group, Priority, Service, Team, Upstream

if TYPE_CHECKING:
    from collections.abc import Iterator

    from sardineyard.document.model import Document

_SECTIONS = ("priorities", "teams", "upstreams", "groups", "services")


@dataclass(frozen=True, slots=True)
class ItemAdded:
    """Item that exists only in the newer document."""

    path: str
    item: msgspec.Struct


@dataclass(frozen=True, slots=True)
class ItemRemoved:
    """Item that exists only in the older document."""

    path: str
    item: msgspec.Struct


@dataclass(frozen=True, slots=True)
class FieldChanged:
    """Field whose value differs."""

    path: str
    before: Any
    after: Any


@dataclass(frozen=True, slots=True)
class OrderChanged:
    """Section whose common items are in a different order."""

    path: str
    before: tuple[str, ...]
    after: tuple[str, ...]


Change = ItemAdded | ItemRemoved | FieldChanged | OrderChanged


def diff(before: Document, after: Document) -> tuple[Change, ...]:
    """Return the changes that turn one document into another."""
    changes = list(_field_changes(before, after, "", skip=_SECTIONS))
    for section in _SECTIONS:
        changes.extend(
            _item_changes(section, getattr(before, section), getattr(after, section))
        )
    return tuple(changes)


@singledispatch
def identifier(item: Any) -> str:
    """Return the id or name that identifies an item in its section."""
    raise TypeError(f"unsupported item type {type(item).__name__}")


@identifier.register(Team)
@identifier.register(Upstream)
@identifier.register(Group)
def _(item: Team | Upstream | Group) -> str:
    return item.id


@identifier.register(Priority)
@identifier.register(Service)
def _(item: Priority | Service) -> str:
    return item.name


def _item_changes(
    section: str,
    before: tuple[msgspec.Struct, ...],
    after: tuple[msgspec.Struct, ...],
) -> Iterator[Change]:
    old = {identifier(item): item for item in before}
    new = {identifier(item): item for item in after}
    for name, item in old.items():
        if name not in new:
            yield ItemRemoved(f"{section}[{name}]", item)
    for name, item in new.items():
        if name not in old:
            yield ItemAdded(f"{section}[{name}]", item)
        else:
            yield from _field_changes(old[name], item, f"{section}[{name}].")
    old_order = tuple(name for name in old if name in new)
    new_order = tuple(name for name in new if name in old)
    # Priorities are listed by urgency and upstreams by precedence, so order matters.
    if old_order != new_order:
        yield OrderChanged(section, old_order, new_order)


def _field_changes(
    before: msgspec.Struct,
    after: msgspec.Struct,
    prefix: str,
    skip: tuple[str, ...] = (),
) -> Iterator[Change]:
    for name in before.__struct_fields__:
        if name in skip:
            continue
        old, new = getattr(before, name), getattr(after, name)
        if isinstance(old, msgspec.Struct):
            yield from _field_changes(old, new, f"{prefix}{name}.")
        elif old != new:
            yield FieldChanged(f"{prefix}{name}", old, new)
