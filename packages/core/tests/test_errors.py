"""Tests of the table from error kind to answer."""

import pytest

from sardineyard.core.errors import ANSWERS, ErrorKind, Outcome


@pytest.mark.parametrize("kind", ErrorKind)
def test_every_error_kind_has_an_answer(kind: ErrorKind) -> None:
    """Guards against a kind that would reach a caller without a status."""
    assert ANSWERS[kind].status.value >= 400


def test_a_lost_upstream_is_never_called_not_run() -> None:
    """Guards against telling a caller that a running request was not run."""
    for kind in (
        ErrorKind.UPSTREAM_LOST,
        ErrorKind.UPSTREAM_PROTOCOL,
        ErrorKind.DEADLINE_EXCEEDED,
        ErrorKind.KEY_UNCERTAIN,
        ErrorKind.INTERNAL,
    ):
        assert ANSWERS[kind].outcome is not Outcome.NOT_RUN
