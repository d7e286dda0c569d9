"""Tests of the command that explains one request."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path


def test_log_records_of_a_request_are_sorted_by_time(
    run: Callable[..., tuple[int, str, str]], tmp_path: Path
) -> None:
    """Guards against records of other requests and against a wrong order."""
    lines = [
        {"time": "T2", "process": "g2", "event": "call_failed", "request_id": "r1"},
        {"time": "T9", "process": "g2", "event": "call_failed", "request_id": "r2"},
        {
            "time": "T1",
            "process": "g1",
            "event": "place_granted",
            "request_id": "r1",
            "waited_ms": 5,
        },
    ]
    for name, part in (("a.log", lines[:2]), ("b.log", lines[2:])):
        text = "".join(f"12.3 g1 {json.dumps(line)}\n" for line in part)
        (tmp_path / name).write_text(f"no json r1 {{\n{text}")
    code, output, _ = run("explain", "r1", tmp_path / "a.log", tmp_path / "b.log")
    assert code == 0
    assert output.splitlines() == [
        "T1 g1 place_granted: waited_ms 5",
        "T2 g2 call_failed: ",
    ]


def test_unknown_request_has_a_failure_exit_code(
    run: Callable[..., tuple[int, str, str]], tmp_path: Path
) -> None:
    """Guards against a script that takes empty output for a result."""
    (tmp_path / "a.log").write_text("{}\n")
    assert run("explain", "r1", tmp_path / "a.log")[0] == 5
