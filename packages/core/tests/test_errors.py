"""Tests of the responses to each error kind."""

import pytest

from sardineyard.core.errors import ERROR_RESPONSES, ErrorKind, Outcome


@pytest.mark.parametrize("kind", ErrorKind)
def test_every_error_kind_has_a_response(kind: ErrorKind) -> None:
    """Guards against an error kind without an HTTP status for the caller."""
    assert ERROR_RESPONSES[kind].status.value >= 400


def test_an_error_that_may_follow_a_run_is_never_reported_as_not_run() -> None:
    """Guards against reporting `not_run` for a request that may have run."""
    for kind in (
        ErrorKind.UPSTREAM_LOST,
        ErrorKind.UPSTREAM_PROTOCOL,
        ErrorKind.DEADLINE_EXCEEDED,
        ErrorKind.KEY_UNCERTAIN,
        ErrorKind.INTERNAL,
    ):
        assert ERROR_RESPONSES[kind].outcome is not Outcome.NOT_RUN
