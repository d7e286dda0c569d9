"""Tests of the console over HTTP."""

from __future__ import annotations

import hashlib
import html
import re
from typing import TYPE_CHECKING, Any

import pytest

from sardineyard.document.codec import decode

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

    from sardineyard.document.model import Document

_TEAM = {
    "id": "new-team",
    "default_priority": "lookup",
    "weight": "2",
    "max_in_flight": "",
}


def test_a_new_teams_key_is_shown_once_and_only_its_hash_is_kept(
    browse: Callable[..., None], output: Path, document: Document
) -> None:
    """Guards against a key that a document, a page or a log gives away."""

    keys = []

    async def test(browser: Any) -> None:
        page = (await browser.post("/teams/save", _TEAM)).body.decode()
        key = re.search("<code>([^<]{40,})</code>", page)[1]
        keys.append(key)
        for target in ("/", "/teams", "/teams/edit?item=new-team"):
            text = (await browser.get(target)).body.decode()
            assert key not in text
            assert hashlib.sha256(key.encode()).hexdigest() not in text
        assert (await browser.post("/output/file", {})).status == 200

    browse(test)
    written = decode(output.read_bytes()).unwrap()
    assert written.version == document.version + 1
    team = written.teams[-1]
    assert team.key_sha256 == hashlib.sha256(keys[0].encode()).hexdigest()
    assert (team.weight, team.max_in_flight) == (2.0, 1000)
    assert keys[0].encode() not in output.read_bytes()


def test_an_output_after_another_change_has_a_greater_version(
    browse: Callable[..., None], output: Path, document: Document
) -> None:
    """Guards against one version that names two documents."""

    async def test(browser: Any) -> None:
        versions = []
        for name in ("a", "b"):
            await browser.post("/teams/save", {**_TEAM, "id": name})
            for _ in range(2):
                given = await browser.post("/output/download", {})
                versions.append(decode(given.body).unwrap().version - document.version)
        assert versions == [1, 1, 2, 2]

    browse(test)
    assert not output.exists()


def test_a_refused_change_names_path_value_and_reason(
    browse: Callable[..., None],
) -> None:
    """Guards against a form that loses an operator's input without a reason."""

    async def test(browser: Any) -> None:
        bad = {**_TEAM, "weight": "<b>1"}
        answer = await browser.post("/teams/save", bad)
        page = html.unescape(answer.body.decode())
        assert answer.status == 422
        assert re.search(r"\$\.teams\[\d+\]\.weight", page)
        assert '"<b>1"' in page
        assert "Expected `float`, got `str`" in page
        assert 'value="new-team"' in page
        assert b"<b>1" not in answer.body
        assert b"Nothing was changed" in (await browser.get("/")).body

    browse(test)


@pytest.mark.parametrize(
    ("fields", "headers"),
    [
        ({"form_token": "wrong"}, {}),
        ({"form_token": ""}, {}),
        ({}, {"origin": "http://other.example"}),
        ({}, {"sec-fetch-site": "cross-site"}),
        ({}, {"host": "rebound.example"}),
    ],
)
def test_a_post_that_another_site_causes_is_refused(
    browse: Callable[..., None], fields: dict[str, str], headers: dict[str, str]
) -> None:
    """Guards against a web page that changes teams through an operator's browser."""

    async def test(browser: Any) -> None:
        answer = await browser.post("/teams/save", {**_TEAM, **fields}, **headers)
        assert answer.status == 403
        assert b"new-team" not in (await browser.get("/teams")).body

    browse(test)


def test_a_page_cannot_be_read_under_another_host_name(
    browse: Callable[..., None],
) -> None:
    """Guards against a site that makes its own name resolve to the console."""

    async def test(browser: Any) -> None:
        answer = await browser.get("/teams", host="rebound.example:80")
        assert answer.status == 403
        assert b"form_token" not in answer.body

    browse(test)


def test_the_console_writes_no_file_when_a_change_is_undone(
    browse: Callable[..., None], output: Path
) -> None:
    """Guards against a new version that changes nothing."""

    async def test(browser: Any) -> None:
        await browser.post("/teams/save", _TEAM)
        await browser.post("/teams/remove", {"original_item": "new-team"})
        assert (await browser.post("/output/file", {})).status == 422

    browse(test)
    assert not output.exists()
