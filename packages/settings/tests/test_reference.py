"""Tests of the generated example files and of the settings page."""

from pathlib import Path

import pytest

from sardineyard.settings.gateway import GATEWAY_OPTIONS, REBALANCER_OPTIONS
from sardineyard.settings.processes import AGENT_OPTIONS, ENTRY_OPTIONS
from sardineyard.settings.reference import example_file, settings_page


@pytest.mark.parametrize(
    ("path", "text"),
    [
        ("examples/entry.ini", example_file(ENTRY_OPTIONS)),
        ("examples/agent.ini", example_file(AGENT_OPTIONS)),
        ("examples/gateway.ini", example_file(GATEWAY_OPTIONS)),
        ("examples/rebalancer.ini", example_file(REBALANCER_OPTIONS)),
        ("docs/settings.md", settings_page()),
    ],
)
def test_generated_file_is_up_to_date(
    workspace_root: Path, path: str, text: str
) -> None:
    """Guards against generated files that do not match the options in the code."""
    assert (workspace_root / path).read_text() == text, "run ./dev settings"


@pytest.mark.parametrize(
    "options", [ENTRY_OPTIONS, AGENT_OPTIONS, GATEWAY_OPTIONS, REBALANCER_OPTIONS]
)
def test_every_option_has_a_help_text(options: dict[str, object]) -> None:
    """Guards against an option that the example files and the page do not explain."""
    assert all(getattr(option, "help", "") for option in options.values())
