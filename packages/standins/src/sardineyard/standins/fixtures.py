"""Pytest fixtures that run a scenario against a fleet of real processes."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Any, TypeAlias

import pytest

from sardineyard.standins.fleet import Fleet

if TYPE_CHECKING:
    from pathlib import Path

    from sardineyard.standins.fleet import FleetSpec

Scenario: TypeAlias = Callable[[Fleet], Awaitable[Any]]
RunFleet: TypeAlias = Callable[..., Any]

_SCENARIO_TIMEOUT_S = 60.0


@pytest.fixture
def run_fleet(tmp_path: Path) -> RunFleet:
    """Return a function that runs a scenario against a fleet and stops it."""

    def run(spec: FleetSpec, scenario: Scenario, kind: type[Fleet] = Fleet) -> Any:
        async def start_and_run() -> Any:
            async with (
                asyncio.timeout(_SCENARIO_TIMEOUT_S),
                kind(spec, tmp_path) as fleet,
            ):
                return await scenario(fleet)

        return asyncio.run(start_and_run())

    return run
