"""Tests of the settings of the gateway and of the rebalancer."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sardineyard.settings.gateway import (
    GATEWAY_OPTIONS,
    REBALANCER_OPTIONS,
    read_gateway_settings,
    read_rebalancer_settings,
)
from sardineyard.settings.reference import example_file

if TYPE_CHECKING:
    from pathlib import Path


def test_example_settings_are_valid() -> None:
    """Guards against an example settings file with which a daemon does not start."""
    gateway = read_gateway_settings(example_file(GATEWAY_OPTIONS)).unwrap()
    assert len(gateway.seed_peers) == 2
    assert gateway.repeat_ratio == 0.1
    rebalancer = read_rebalancer_settings(example_file(REBALANCER_OPTIONS)).unwrap()
    assert rebalancer.service == "completions"


def test_all_errors_are_reported_together() -> None:
    """Guards against a report of the first error only."""
    text = example_file(GATEWAY_OPTIONS).replace("ratio = 0.1", "ratio = 3")
    text = text.replace("max_connections = 1000", "max_connections = 0")
    errors = read_gateway_settings(text).failure()
    assert {error.option for error in errors} == {"ratio", "max_connections"}


def test_deployment_templates_set_every_required_option(workspace_root: Path) -> None:
    """Guards against a template without a required option: no daemon would start."""
    for name, options in (
        ("gateway", GATEWAY_OPTIONS),
        ("rebalancer", REBALANCER_OPTIONS),
    ):
        template = (workspace_root / f"deploy/{name}.ini").read_text()
        required = [o.name for o in options.values() if o.default is None]
        missing = [o for o in required if f"\n{o} = {{{{" not in template]
        assert missing == []
