"""Differences between two documents as typed changes."""

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
    """Name an item that only the newer document has."""

    path: str
    item: msgspec.Struct


@dataclass(frozen=True, slots=True)
class ItemRemoved:
    """Name an item that only the older document has."""

    path: str
    item: msgspec.Struct


@dataclass(frozen=True, slots=True)
class FieldChanged:
    """Name a field whose value differs."""

    path: str
    before: Any
    after: Any


@dataclass(frozen=True, slots=True)
class OrderChanged:
    """Name a section whose common items come in another order."""

    path: str
    before: tuple[str, ...]
    after: tuple[str, ...]


Change = ItemAdded | ItemRemoved | FieldChanged | OrderChanged


def diff(before: Document, after: Document) -> tuple[Change, ...]:
    """Return the changes that lead from one document to another."""
    changes = list(_fields(before, after, "", skip=_SECTIONS))
    for section in _SECTIONS:
        changes.extend(
            _items(section, getattr(before, section), getattr(after, section))
        )
    return tuple(changes)


@singledispatch
def identity(item: Any) -> str:
    """Return the id or name under which an item is known."""
    raise TypeError(f"no identity for {type(item).__name__}")


@identity.register(Team)
@identity.register(Upstream)
@identity.register(Group)
def _(item: Team | Upstream | Group) -> str:
    return item.id


@identity.register(Priority)
@identity.register(Service)
def _(item: Priority | Service) -> str:
    return item.name


def _items(
    section: str,
    before: tuple[msgspec.Struct, ...],
    after: tuple[msgspec.Struct, ...],
) -> Iterator[Change]:
    old = {identity(item): item for item in before}
    new = {identity(item): item for item in after}
    for name, item in old.items():
        if name not in new:
            yield ItemRemoved(f"{section}[{name}]", item)
    for name, item in new.items():
        if name not in old:
            yield ItemAdded(f"{section}[{name}]", item)
        else:
            yield from _fields(old[name], item, f"{section}[{name}].")
    old_order = tuple(name for name in old if name in new)
    new_order = tuple(name for name in new if name in old)
    # The order of priorities is their urgency and that of upstreams their precedence.
    if old_order != new_order:
        yield OrderChanged(section, old_order, new_order)


def _fields(
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
            yield from _fields(old, new, f"{prefix}{name}.")
        elif old != new:
            yield FieldChanged(f"{prefix}{name}", old, new)
