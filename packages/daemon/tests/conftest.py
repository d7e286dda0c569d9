"""Fixtures of the tests of the daemons."""

from collections.abc import Awaitable, Callable

import pytest

from sardineyard.httpio.client import fetch
from sardineyard.httpio.messages import HttpRequest
from sardineyard.standins.fleet import Fleet


@pytest.fixture
def scrape() -> Callable[[Fleet, str], Awaitable[list[str]]]:
    """Return a function that fetches the metrics of a daemon as lines."""

    async def read(fleet: Fleet, name: str) -> list[str]:
        request = HttpRequest("GET", "/metrics")
        response = await fetch(fleet.ports[name].admin, request, 5.0)
        return response.body.decode().splitlines()

    return read
