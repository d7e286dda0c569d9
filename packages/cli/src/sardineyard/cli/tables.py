"""Tables of plain text."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from functools import singledispatch
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Sequence


@dataclass(frozen=True, slots=True)
class Table:
    """Hold the title, the column names and the rows of a table."""

    title: str
    columns: Sequence[str]
    rows: Sequence[Sequence[Any]]


def text_table(table: Table) -> str:
    """Return a table with aligned columns."""
    if not table.rows:
        return f"{table.title}: none"
    rows = [[cell_text(cell) for cell in row] for row in table.rows]
    widths = [
        max(map(len, column)) for column in zip(table.columns, *rows, strict=True)
    ]
    lines = [
        "  ".join(text.ljust(width) for text, width in zip(row, widths, strict=True))
        for row in [list(table.columns), *rows]
    ]
    return "\n".join([f"{table.title}:", *(f"  {line.rstrip()}" for line in lines)])


@singledispatch
def cell_text(value: Any) -> str:
    """Return the text of one cell."""
    # A control character from a dump must not reach the terminal.
    return "".join(character for character in str(value) if character.isprintable())


@cell_text.register(type(None))
def _(value: None) -> str:
    return "-"


@cell_text.register(bool)
def _(value: bool) -> str:
    return "yes" if value else "no"


@cell_text.register(float)
def _(value: float) -> str:
    return f"{value:.4g}"


@cell_text.register(Enum)
def _(value: Enum) -> str:
    return str(value.value)


@cell_text.register(tuple)
def _(value: tuple[Any, ...]) -> str:
    return " ".join(cell_text(item) for item in value) or "-"
