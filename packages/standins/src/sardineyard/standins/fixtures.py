"""Pytest fixtures that run test scenarios against a fleet of real processes."""

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
    """Return a function that starts a fleet, runs a scenario and stops the fleet."""

    def run(
        spec: FleetSpec, scenario: Scenario, fleet_type: type[Fleet] = Fleet
    ) -> Any:
        async def start_and_run() -> Any:
            async with (
                asyncio.timeout(_SCENARIO_TIMEOUT_S),
                fleet_type(spec, tmp_path) as fleet,
            ):
                return await scenario(fleet)

        return asyncio.run(start_and_run())

    return run
