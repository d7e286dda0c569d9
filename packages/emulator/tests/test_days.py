"""Tests of day files."""

from __future__ import annotations

from pathlib import Path

import pytest

from sardineyard.emulator.days import DayError, read_day

EXAMPLES = Path(__file__).parents[3] / "examples" / "days"


@pytest.mark.parametrize("path", sorted(EXAMPLES.glob("*.ini")), ids=lambda p: p.stem)
def test_example_files_are_valid(path: Path) -> None:
    """Guards against example files that do not follow a change of the fields."""
    assert read_day(path.read_text()).kinds


def test_all_errors_are_reported_at_once() -> None:
    """Guards against a parser that stops at the first error of a day file."""
    with pytest.raises(DayError) as raised:
        read_day("""
[day]
length_s = soon
[kind urgent]
per_s = -1
colour = 3
[trouble]
at_s = 3
[weather]
""")
    errors = str(raised.value).splitlines()
    assert [error.partition(":")[0] for error in errors] == [
        "[day] length_s",
        "[kind urgent] per_s",
        "[kind urgent] colour",
        "[trouble]",
        "[weather]",
    ]


def test_day_without_kinds_is_rejected() -> None:
    """Guards against a day that is run without any request."""
    with pytest.raises(DayError, match="kind"):
        read_day("[day]\nlength_s = 3\n")
