"""Differences between the draft and its base as text, without hashes of keys."""

from __future__ import annotations

from functools import singledispatch
from typing import TYPE_CHECKING, Any

import msgspec

from sardineyard.document.diff import (
    FieldChanged,
    ItemAdded,
    ItemRemoved,
    OrderChanged,
    diff,
)

if TYPE_CHECKING:
    from sardineyard.console.messages import Draft

# Enough of a hash to see that a key was replaced.
_SHOWN_HASH_CHARACTERS = 8


def change_lines(draft: Draft) -> list[str]:
    """Return one line for each change of a draft."""
    return [change_text(change) for change in diff(draft.base, draft.document)]


@singledispatch
def change_text(change: Any) -> str:
    """Return one change as a line: + added, - removed, ~ changed."""
    raise TypeError(f"no text for {type(change).__name__}")


@change_text.register(ItemAdded)
def _(change: ItemAdded) -> str:
    return f"+ {change.path}"


@change_text.register(ItemRemoved)
def _(change: ItemRemoved) -> str:
    return f"- {change.path}"


@change_text.register(FieldChanged)
def _(change: FieldChanged) -> str:
    before, after = change.before, change.after
    if change.path.endswith("key_sha256"):
        before, after = cut_hash(before), cut_hash(after)
    return f"~ {change.path}: {_json(before)} -> {_json(after)}"


@change_text.register(OrderChanged)
def _(change: OrderChanged) -> str:
    return f"~ {change.path}: order {_json(change.before)} -> {_json(change.after)}"


def cut_hash(text: str) -> str:
    """Return the first characters of a hash."""
    return f"{text[:_SHOWN_HASH_CHARACTERS]}..."


def _json(value: Any) -> str:
    return msgspec.json.encode(value).decode()
