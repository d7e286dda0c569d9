"""Violations that make a document invalid."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any

# Longer values are truncated to keep log lines and forms readable.
MAX_VALUE_CHARACTERS = 80


@dataclass(frozen=True, slots=True)
class Violation:
    """Path of an invalid value in a document, the value and the reason."""

    path: str
    value: str
    reason: str

    def __str__(self) -> str:
        """Return the violation as one line of text."""
        return f"{self.path}: {self.reason} (value {self.value})"


def violation(path: str, value: Any, reason: str) -> Violation:
    """Return a violation with the value as JSON, truncated if it is long."""
    text = json.dumps(value, default=str)
    if len(text) > MAX_VALUE_CHARACTERS:
        text = text[: MAX_VALUE_CHARACTERS - 3] + "..."
    return Violation(path, text, reason)
