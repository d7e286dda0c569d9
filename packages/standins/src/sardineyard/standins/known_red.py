"""Pytest plugin that leaves out the tests listed in KNOWN-RED.txt and prints them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
from hypothesis import settings

if TYPE_CHECKING:
    from pathlib import Path

# Random examples would let the verdict of one commit vary from run to run.
settings.register_profile("stable", derandomize=True)
settings.load_profile("stable")

_LEFT_OUT = pytest.StashKey[list[str]]()


def pytest_addoption(parser: pytest.Parser) -> None:
    """Add the option that runs the listed tests too."""
    parser.addoption(
        "--known-red", action="store_true", help="run the tests of KNOWN-RED.txt too"
    )


def pytest_collection_modifyitems(
    config: pytest.Config, items: list[pytest.Item]
) -> None:
    """Leave out the listed tests."""
    config.stash[_LEFT_OUT] = []
    if config.getoption("--known-red"):
        return
    listed = _listed(config.rootpath / "KNOWN-RED.txt")
    left_out = [item for item in items if item.nodeid in listed]
    items[:] = [item for item in items if item.nodeid not in listed]
    config.stash[_LEFT_OUT] = [item.nodeid for item in left_out]
    config.hook.pytest_deselected(items=left_out)


def pytest_terminal_summary(
    terminalreporter: pytest.TerminalReporter, config: pytest.Config
) -> None:
    """Print the tests that were left out."""
    for test in config.stash.get(_LEFT_OUT, []):
        terminalreporter.write_line(f"known red, not run: {test}")


def _listed(path: Path) -> set[str]:
    """Return the test ids of the file: its lines without indent or comment."""
    if not path.exists():
        return set()
    lines = path.read_text().splitlines()
    return {line for line in lines if line and not line.startswith((" ", "#"))}
