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


def test_new_team_key_is_shown_once_and_only_its_hash_is_stored(
    run_with_browser: Callable[..., None], output_path: Path, document: Document
) -> None:
    """Guards against a team key in a document or on a later page."""

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

    run_with_browser(test)
    written = decode(output_path.read_bytes()).unwrap()
    assert written.version == document.version + 1
    team = written.teams[-1]
    assert team.key_sha256 == hashlib.sha256(keys[0].encode()).hexdigest()
    assert (team.weight, team.max_in_flight) == (2.0, 1000)
    assert keys[0].encode() not in output_path.read_bytes()


def test_each_published_change_gets_a_new_version(
    run_with_browser: Callable[..., None], output_path: Path, document: Document
) -> None:
    """Guards against two documents with the same version."""

    async def test(browser: Any) -> None:
        versions = []
        for name in ("a", "b"):
            await browser.post("/teams/save", {**_TEAM, "id": name})
            for _ in range(2):
                downloaded = await browser.post("/output/download", {})
                versions.append(
                    decode(downloaded.body).unwrap().version - document.version
                )
        assert versions == [1, 1, 2, 2]

    run_with_browser(test)
    assert not output_path.exists()


def test_rejected_edit_shows_path_value_and_reason(
    run_with_browser: Callable[..., None],
) -> None:
    """Guards against a rejected form without the reason or without the input."""

    async def test(browser: Any) -> None:
        invalid_team = {**_TEAM, "weight": "<b>1"}
        response = await browser.post("/teams/save", invalid_team)
        page = html.unescape(response.body.decode())
        assert response.status == 422
        assert re.search(r"\$\.teams\[\d+\]\.weight", page)
        assert '"<b>1"' in page
        assert "Expected `float`, got `str`" in page
        assert 'value="new-team"' in page
        assert b"<b>1" not in response.body
        assert b"Nothing was changed" in (await browser.get("/")).body

    run_with_browser(test)


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
def test_cross_site_post_is_refused(
    run_with_browser: Callable[..., None],
    fields: dict[str, str],
    headers: dict[str, str],
) -> None:
    """Guards against cross-site request forgery through an operator's browser."""

    async def test(browser: Any) -> None:
        response = await browser.post("/teams/save", {**_TEAM, **fields}, **headers)
        assert response.status == 403
        assert b"new-team" not in (await browser.get("/teams")).body

    run_with_browser(test)


def test_page_is_refused_under_a_foreign_host_name(
    run_with_browser: Callable[..., None],
) -> None:
    """Guards against DNS rebinding: a host name that resolves to the console."""

    async def test(browser: Any) -> None:
        response = await browser.get("/teams", host="rebound.example:80")
        assert response.status == 403
        assert b"form_token" not in response.body

    run_with_browser(test)


def test_undone_change_is_not_published(
    run_with_browser: Callable[..., None], output_path: Path
) -> None:
    """Guards against a new version without changes."""

    async def test(browser: Any) -> None:
        await browser.post("/teams/save", _TEAM)
        await browser.post("/teams/remove", {"original_item": "new-team"})
        assert (await browser.post("/output/file", {})).status == 422

    run_with_browser(test)
    assert not output_path.exists()
