"""Tests of day files."""

from __future__ import annotations

from pathlib import Path

import pytest

from sardineyard.emulator.days import DayError, read_day

EXAMPLES = Path(__file__).parents[3] / "examples" / "days"


@pytest.mark.parametrize("path", sorted(EXAMPLES.glob("*.ini")), ids=lambda p: p.stem)
def test_the_examples_are_valid(path: Path) -> None:
    """Guards against an example that a changed field makes unusable."""
    assert read_day(path.read_text()).kinds


def test_all_faults_are_reported_at_once() -> None:
    """Guards against a day file that is corrected one fault a run."""
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
    faults = str(raised.value).splitlines()
    assert [fault.partition(":")[0] for fault in faults] == [
        "[day] length_s",
        "[kind urgent] per_s",
        "[kind urgent] colour",
        "[trouble]",
        "[weather]",
    ]


def test_a_day_without_requests_is_refused() -> None:
    """Guards against a table of an empty day."""
    with pytest.raises(DayError, match="kind"):
        read_day("[day]\nlength_s = 3\n")
