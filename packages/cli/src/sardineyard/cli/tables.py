"""Formatting of plain-text tables."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from functools import singledispatch
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Sequence


@dataclass(frozen=True, slots=True)
class Table:
    """Table with a title, column names and rows."""

    title: str
    columns: Sequence[str]
    rows: Sequence[Sequence[Any]]


def format_table(table: Table) -> str:
    """Return a table as text with aligned columns."""
    if not table.rows:
        return f"{table.title}: none"
    rows = [[format_cell(cell) for cell in row] for row in table.rows]
    widths = [
        max(map(len, column)) for column in zip(table.columns, *rows, strict=True)
    ]
    lines = [
        "  ".join(text.ljust(width) for text, width in zip(row, widths, strict=True))
        for row in [list(table.columns), *rows]
    ]
    return "\n".join([f"{table.title}:", *(f"  {line.rstrip()}" for line in lines)])


@singledispatch
def format_cell(value: Any) -> str:
    """Return the text of one cell."""
    # Control characters from a state dump must not reach the terminal.
    return "".join(character for character in str(value) if character.isprintable())


@format_cell.register(type(None))
def _(value: None) -> str:
    return "-"


@format_cell.register(bool)
def _(value: bool) -> str:
    return "yes" if value else "no"


@format_cell.register(float)
def _(value: float) -> str:
    return f"{value:.4g}"


@format_cell.register(Enum)
def _(value: Enum) -> str:
    return str(value.value)


@format_cell.register(tuple)
def _(value: tuple[Any, ...]) -> str:
    return " ".join(format_cell(item) for item in value) or "-"
