"""Tests of the differences between documents."""

from __future__ import annotations

import json
from typing import Any

from sardineyard.document.codec import decode
from sardineyard.document.diff import (
    FieldChanged,
    ItemAdded,
    ItemRemoved,
    OrderChanged,
    diff,
)


def test_diff_contains_every_change_and_nothing_else(
    example: dict[str, Any],
) -> None:
    """Guards against a change that operators approve without seeing it."""
    before = decode(json.dumps(example).encode()).unwrap()
    example["version"] = 2
    example["teams"][0]["weight"] = 3.0
    example["limits"]["subset_size"] = 5
    example["priorities"][0:2] = reversed(example["priorities"][0:2])
    removed = example["upstreams"].pop(13)
    example["upstreams"].append({**removed, "id": "runner-99"})
    after = decode(json.dumps(example).encode()).unwrap()
    changes = diff(before, after)
    assert [(type(change), change.path) for change in changes] == [
        (FieldChanged, "version"),
        (FieldChanged, "limits.subset_size"),
        (OrderChanged, "priorities"),
        (FieldChanged, "teams[front-desk].weight"),
        (ItemRemoved, "upstreams[runner-14]"),
        (ItemAdded, "upstreams[runner-99]"),
    ]
    assert changes[3] == FieldChanged("teams[front-desk].weight", 8.0, 3.0)
    assert diff(after, after) == ()
