"""Tests of the generated examples and of the page of settings."""

from pathlib import Path

import pytest

from sardineyard.settings.gateway import GATEWAY_OPTIONS, REBALANCER_OPTIONS
from sardineyard.settings.processes import AGENT_OPTIONS, ENTRY_OPTIONS
from sardineyard.settings.reference import example, page


@pytest.mark.parametrize(
    ("path", "text"),
    [
        ("examples/entry.ini", example(ENTRY_OPTIONS)),
        ("examples/agent.ini", example(AGENT_OPTIONS)),
        ("examples/gateway.ini", example(GATEWAY_OPTIONS)),
        ("examples/rebalancer.ini", example(REBALANCER_OPTIONS)),
        ("docs/settings.md", page()),
    ],
)
def test_a_generated_file_is_up_to_date(root: Path, path: str, text: str) -> None:
    """Guards against examples and pages that lag behind the options."""
    assert (root / path).read_text() == text, "run ./dev settings"


@pytest.mark.parametrize(
    "options", [ENTRY_OPTIONS, AGENT_OPTIONS, GATEWAY_OPTIONS, REBALANCER_OPTIONS]
)
def test_every_option_has_a_help_text(options: dict[str, object]) -> None:
    """Guards against an option that an operator must look up in the code."""
    assert all(getattr(option, "help", "") for option in options.values())
