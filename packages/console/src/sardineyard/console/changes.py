"""Formatting of the changes of a draft, with truncated key hashes."""

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

# Enough to see that a key was replaced.
_SHOWN_HASH_CHARACTERS = 8


def format_changes(draft: Draft) -> list[str]:
    """Return one line for each difference between a draft and its base."""
    return [format_change(change) for change in diff(draft.base, draft.document)]


@singledispatch
def format_change(change: Any) -> str:
    """Return a change as a line of text: + added, - removed, ~ changed."""
    raise TypeError(f"no text for {type(change).__name__}")


@format_change.register(ItemAdded)
def _(change: ItemAdded) -> str:
    return f"+ {change.path}"


@format_change.register(ItemRemoved)
def _(change: ItemRemoved) -> str:
    return f"- {change.path}"


@format_change.register(FieldChanged)
def _(change: FieldChanged) -> str:
    before, after = change.before, change.after
    if change.path.endswith("key_sha256"):
        before, after = truncate_hash(before), truncate_hash(after)
    return f"~ {change.path}: {_json(before)} -> {_json(after)}"


@format_change.register(OrderChanged)
def _(change: OrderChanged) -> str:
    return f"~ {change.path}: order {_json(change.before)} -> {_json(change.after)}"


def truncate_hash(text: str) -> str:
    """Return the first characters of a hash, followed by an ellipsis."""
    return f"{text[:_SHOWN_HASH_CHARACTERS]}..."


def _json(value: Any) -> str:
    return msgspec.json.encode(value).decode()
