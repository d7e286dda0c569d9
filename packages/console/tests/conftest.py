"""Fixtures of the console tests."""

from __future__ import annotations

import asyncio
import re
from contextlib import asynccontextmanager
from pathlib import Path
from typing import TYPE_CHECKING, Any
from urllib.parse import urlencode

import pytest

from sardineyard.console.server import ConsoleServer
from sardineyard.core.address import Address
from sardineyard.document.codec import decode
from sardineyard.httpio.client import fetch
from sardineyard.httpio.messages import HttpRequest

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable, Coroutine

    from sardineyard.document.model import Document
    from sardineyard.httpio.messages import HttpResponse

_FORM = {"content-type": "application/x-www-form-urlencoded"}


class Browser:
    """HTTP client that sends the form token, as a browser does."""

    def __init__(self, address: Address) -> None:
        self.address = address
        self.token = ""

    async def get(self, target: str, **headers: str) -> HttpResponse:
        """Fetch a page and store the token of its forms."""
        request = HttpRequest("GET", target, headers)
        response = await fetch(self.address, request, 5.0)
        found = re.search(rb'name="form_token" value="([^"]+)"', response.body)
        self.token = found[1].decode() if found else self.token
        return response

    async def post(
        self, target: str, fields: dict[str, Any], **headers: str
    ) -> HttpResponse:
        """Submit a form with the token of the last page."""
        body = urlencode({"form_token": self.token, **fields}).encode()
        request = HttpRequest("POST", target, {**_FORM, **headers}, body)
        return await fetch(self.address, request, 5.0)


@pytest.fixture
def document() -> Document:
    """Return an example document."""
    path = Path(__file__).parents[3] / "examples" / "lookups-first.json"
    return decode(path.read_bytes()).unwrap()


@pytest.fixture
def output_path(tmp_path: Path) -> Path:
    """Return the path to which the console may write."""
    return tmp_path / "next.json"


@pytest.fixture
def run_with_browser(
    document: Document, output_path: Path
) -> Callable[[Callable[[Browser], Coroutine[Any, Any, None]]], None]:
    """Return a function that runs a test against a console."""

    @asynccontextmanager
    async def console() -> AsyncIterator[Browser]:
        server = ConsoleServer(Address("127.0.0.1", 0), document, output_path)
        await server.start()
        try:
            yield Browser(Address("127.0.0.1", server.port))
        finally:
            await server.close()

    def run(test: Callable[[Browser], Coroutine[Any, Any, None]]) -> None:
        async def body() -> None:
            async with console() as browser:
                await browser.get("/teams")
                await test(browser)

        asyncio.run(body())

    return run
