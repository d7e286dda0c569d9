"""Tests of the settings of gateway and rebalancer."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sardineyard.settings.gateway import (
    GATEWAY_OPTIONS,
    REBALANCER_OPTIONS,
    read_gateway_settings,
    read_rebalancer_settings,
)
from sardineyard.settings.reference import example

if TYPE_CHECKING:
    from pathlib import Path


def test_the_examples_are_valid() -> None:
    """Guards against an example that stops the start."""
    gateway = read_gateway_settings(example(GATEWAY_OPTIONS)).unwrap()
    assert len(gateway.seed_peers) == 2
    assert gateway.repeat_ratio == 0.1
    rebalancer = read_rebalancer_settings(example(REBALANCER_OPTIONS)).unwrap()
    assert rebalancer.service == "completions"


def test_every_error_is_listed_at_once() -> None:
    """Guards against settings that are corrected one error at a time."""
    text = example(GATEWAY_OPTIONS).replace("ratio = 0.1", "ratio = 3")
    text = text.replace("max_connections = 1000", "max_connections = 0")
    errors = read_gateway_settings(text).failure()
    assert {error.option for error in errors} == {"ratio", "max_connections"}


def test_the_templates_name_every_required_option(root: Path) -> None:
    """Guards against a template that lacks an option and stops every process."""
    for name, options in (
        ("gateway", GATEWAY_OPTIONS),
        ("rebalancer", REBALANCER_OPTIONS),
    ):
        template = (root / f"deploy/{name}.ini").read_text()
        required = [o.name for o in options.values() if o.default is None]
        missing = [o for o in required if f"\n{o} = {{{{" not in template]
        assert missing == []
