"""Tests of the metrics."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from sardineyard.core.errors import RequestError
from sardineyard.core.ids import PriorityName
from sardineyard.telemetry.labels import TeamClass, team_class

if TYPE_CHECKING:
    from sardineyard.core.errors import ErrorKind
    from sardineyard.telemetry.metrics import EntryMetrics


def test_requests_are_counted_by_priority_class_outcome_and_kind(
    entry_metrics: EntryMetrics, kind: ErrorKind
) -> None:
    """Guards against failures that are counted as complete responses."""
    for error in (None, RequestError(kind), RequestError(kind)):
        entry_metrics.request_started()
        entry_metrics.request_ended(PriorityName("lookup"), TeamClass.HEAVY, error)
    headers, body = entry_metrics.render()
    text = body.decode()
    assert headers["content-type"].startswith("text/plain")
    assert (
        'sardineyard_requests_total{kind="upstream_lost",outcome="unknown",'
        'priority="lookup",process="entry-1",team_class="heavy"} 2' in text
    )
    assert 'outcome="complete"' in text
    assert 'sardineyard_open_requests{process="entry-1"} 0' in text


def test_first_token_target_is_a_bucket_bound(
    entry_metrics: EntryMetrics,
) -> None:
    """Guards against bounds that do not show whether the 0.96 s target was met."""
    entry_metrics.record_first_token(PriorityName("lookup"), 0.95)
    entry_metrics.record_first_token(PriorityName("lookup"), 0.97)
    text = entry_metrics.render()[1].decode()
    assert 'le="0.96",priority="lookup",process="entry-1"} 1' in text
    assert 'le="2.0",priority="lookup",process="entry-1"} 2' in text


@pytest.mark.parametrize(
    ("weight", "expected"),
    [(0.5, TeamClass.LIGHT), (1.0, TeamClass.STANDARD), (4.0, TeamClass.HEAVY)],
)
def test_team_class_depends_on_the_weight(weight: float, expected: TeamClass) -> None:
    """Guards against metrics with a series for each team instead of each class."""
    assert team_class(weight) is expected
