"""The report of one fault in a document."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any

# A long value is cut so that a report stays readable in a log line or a form.
MAX_VALUE_CHARACTERS = 80


@dataclass(frozen=True, slots=True)
class Violation:
    """Say where a document is invalid, with which value and why."""

    path: str
    value: str
    reason: str

    def __str__(self) -> str:
        """Return the violation as one line."""
        return f"{self.path}: {self.reason} (value {self.value})"


def violation(path: str, value: Any, reason: str) -> Violation:
    """Return a violation that shows the value as JSON."""
    text = json.dumps(value, default=str)
    if len(text) > MAX_VALUE_CHARACTERS:
        text = text[: MAX_VALUE_CHARACTERS - 3] + "..."
    return Violation(path, text, reason)
