"""Pytest plugin that deselects the tests listed in KNOWN-RED.txt and prints them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
from hypothesis import settings

if TYPE_CHECKING:
    from pathlib import Path

# Fixed Hypothesis examples, so that repeated runs of a commit give the same result.
settings.register_profile("stable", derandomize=True)
settings.load_profile("stable")

_DESELECTED = pytest.StashKey[list[str]]()


def pytest_addoption(parser: pytest.Parser) -> None:
    """Add the option that also runs the listed tests."""
    parser.addoption(
        "--known-red", action="store_true", help="run the tests of KNOWN-RED.txt too"
    )


def pytest_collection_modifyitems(
    config: pytest.Config, items: list[pytest.Item]
) -> None:
    """Deselect the listed tests."""
    config.stash[_DESELECTED] = []
    if config.getoption("--known-red"):
        return
    # The repository's root, which is not the rootdir of the tests of the platform.
    root = config.rootpath if config.inipath is None else config.inipath.parent
    listed = _read_known_red(root / "KNOWN-RED.txt")
    deselected = [item for item in items if _test_id(item, root) in listed]
    items[:] = [item for item in items if item not in deselected]
    config.stash[_DESELECTED] = [_test_id(item, root) for item in deselected]
    config.hook.pytest_deselected(items=deselected)


def pytest_terminal_summary(
    terminalreporter: pytest.TerminalReporter, config: pytest.Config
) -> None:
    """Print the deselected tests."""
    for test in config.stash.get(_DESELECTED, []):
        terminalreporter.write_line(f"known red, not run: {test}")


def _test_id(item: pytest.Item, root: Path) -> str:
    """Return the id of a test, with its path below the repository's root."""
    _, separator, name = item.nodeid.partition("::")
    return f"{item.path.relative_to(root).as_posix()}{separator}{name}"


def _read_known_red(path: Path) -> set[str]:
    """Return the test ids: the lines that are neither indented nor comments."""
    if not path.exists():
        return set()
    lines = path.read_text().splitlines()
    return {line for line in lines if line and not line.startswith((" ", "#"))}
