"""Tests of what upstreams announce about themselves."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from sardineyard.forwarding.announcements import UpstreamAnnouncements

if TYPE_CHECKING:
    from collections.abc import Callable

    from sardineyard.forwarding.config import UpstreamEntry


@pytest.fixture
def announcements() -> UpstreamAnnouncements:
    """Return the announcements known to one gateway."""
    return UpstreamAnnouncements()


def test_leaving_upstream_accepts_no_requests(
    announcements: UpstreamAnnouncements, make_entry: Callable[..., UpstreamEntry]
) -> None:
    """Guards against requests that are lost when their upstream exits."""
    announcements.record_leaving(make_entry("u1").incarnation)
    assert not announcements.accepts_requests(make_entry("u1").incarnation)
    assert announcements.accepts_requests(make_entry("u2").incarnation)


def test_upstream_that_has_restarted_is_not_leaving(
    announcements: UpstreamAnnouncements, make_entry: Callable[..., UpstreamEntry]
) -> None:
    """Guards against an upstream that stays unused because it left once."""
    announcements.record_leaving(make_entry("u1", started_ms=1).incarnation)
    restarted = make_entry("u1", started_ms=2).incarnation
    assert announcements.accepts_requests(restarted)


def test_remembered_upstreams_are_bounded(
    announcements: UpstreamAnnouncements, make_entry: Callable[..., UpstreamEntry]
) -> None:
    """Guards against memory that grows with each release."""
    for number in range(6_000):
        announcements.record_leaving(make_entry(f"u{number}").incarnation)
    assert announcements.accepts_requests(make_entry("u0").incarnation)
    assert not announcements.accepts_requests(make_entry("u5999").incarnation)
