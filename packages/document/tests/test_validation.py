"""Tests of decoding and validation."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

import msgspec
import pytest
from hypothesis import HealthCheck, given, settings, strategies
from returns.pipeline import is_successful

from sardineyard.document.codec import MAX_DOCUMENT_BYTES, decode, encode_schema
from sardineyard.document.model import Document
from sardineyard.document.schema_check import schema_violations

if TYPE_CHECKING:
    from pathlib import Path

# Each row: path of the value to replace, new value, path of the expected violation.
INVALID_VALUES: list[tuple[tuple[str | int, ...], Any, str]] = [
    (("version",), 0, "$.version"),
    (("priorities",), [], "$.priorities"),
    (("priorities", 0, "finish_target_s"), 0, "$.priorities[0].finish_target_s"),
    (("priorities", 0, "worth"), -1, "$.priorities[0].worth"),
    (("priorities", 1, "name"), "lookup", "$.priorities[1].name"),
    (("priorities", 1, "reserved_share"), 0.8, "$.priorities"),
    (
        ("priorities", 2, "first_token_target_s"),
        4000.0,
        "$.priorities[2].first_token_target_s",
    ),
    (("teams", 1, "id"), "front-desk", "$.teams[1].id"),
    (("teams", 0, "default_priority"), "absent", "$.teams[0].default_priority"),
    (("teams", 0, "key_sha256"), "plain key", "$.teams[0].key_sha256"),
    (("teams", 0, "weight"), 0, "$.teams[0].weight"),
    (("upstreams", 3, "id"), "runner-01", "$.upstreams[3].id"),
    (("upstreams", 0, "agent_address"), "host:80", "$.upstreams[0].agent_address"),
    (("upstreams", 0, "agent_address"), "10.0.0.1:0", "$.upstreams[0].agent_address"),
    (("upstreams", 0, "agent_address"), "::1:80", "$.upstreams[0].agent_address"),
    (
        ("upstreams", 1, "agent_address"),
        "10.20.0.10:7000",
        "$.upstreams[1].agent_address",
    ),
    (("upstreams", 0, "models"), [], "$.upstreams[0].models"),
    (("groups", 0, "upstreams", 1), "absent", "$.groups[0].upstreams[1]"),
    (("groups", 0, "upstreams", 1), "booking-1", "$.groups[0].upstreams[1]"),
    (("groups", 0, "upstreams", 1), "runner-16", "$.groups[0].upstreams[1]"),
    (("groups", 0, "experts"), 129, "$.groups[0].experts"),
    (("services", 0, "upstreams", 0), "absent", "$.services[0].upstreams[0]"),
    (("services", 0, "upstreams", 0), "runner-01", "$.services[0].upstreams[0]"),
    (("services", 0, "upstreams", 1), "booking-1", "$.services[0].upstreams[1]"),
    (
        ("services", 0, "previous_upstreams"),
        [["gone", "runner-02"]],
        "$.services[0].previous_upstreams[0][1]",
    ),
    (("limits", "retry_budget_share"), 1.5, "$.limits.retry_budget_share"),
    (("limits", "unknown"), 1, "$.limits.unknown"),
]


def replace(content: Any, path: tuple[str | int, ...], value: Any) -> None:
    """Replace the value at a path of decoded JSON."""
    for key in path[:-1]:
        content = content[key]
    content[path[-1]] = value


@pytest.mark.parametrize("name", ["lookups-first", "counter-share"])
def test_the_example_documents_are_valid(root: Path, name: str) -> None:
    """Guards against examples that the fleet would reject."""
    raw = (root / "examples" / f"{name}.json").read_bytes()
    assert is_successful(decode(raw)), decode(raw)


@pytest.mark.parametrize(("path", "value", "reported"), INVALID_VALUES)
def test_each_violation_is_reported_at_its_path(
    example: dict[str, Any], path: tuple[str | int, ...], value: Any, reported: str
) -> None:
    """Guards against an invalid document that is adopted."""
    replace(example, path, value)
    violations = decode(json.dumps(example).encode()).failure()
    assert reported in [violation.path for violation in violations]
    assert all(violation.reason for violation in violations)


@pytest.mark.parametrize(
    "reported",
    [
        # First violations of the schema, then inconsistencies between items.
        ["$.version", "$.priorities[0].worth", "$.teams[0].weight", "$.limits.unknown"],
        ["$.services[0].upstreams[1]", "$.teams[1].id", "$.groups[0].experts"],
    ],
)
def test_all_violations_are_reported_at_once(
    example: dict[str, Any], reported: list[str]
) -> None:
    """Guards against violations that an operator finds only one at a time."""
    for path, value, violation_path in INVALID_VALUES:
        if violation_path in reported:
            replace(example, path, value)
    violations = decode(json.dumps(example).encode()).failure()
    assert sorted(violation.path for violation in violations) == sorted(reported)


def test_a_document_over_the_platform_limit_is_rejected(
    example: dict[str, Any],
) -> None:
    """Guards against a document that the platform cannot store."""
    raw = json.dumps(example).encode() + b" " * MAX_DOCUMENT_BYTES
    assert "longer than" in decode(raw).failure()[0].reason


def test_the_published_schema_is_current(root: Path) -> None:
    """Guards against a published schema that differs from what processes accept."""
    published = (root / "docs" / "config.schema.json").read_bytes()
    assert published == encode_schema(), "run: ./dev schema"


JSON_VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats(allow_nan=False, allow_infinity=False)
    | strategies.text(max_size=8),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(strategies.text(max_size=8), inner, max_size=3)
    ),
    max_leaves=6,
)


@settings(
    max_examples=150,
    deadline=None,
    suppress_health_check=[HealthCheck.function_scoped_fixture],
)
@given(row=strategies.sampled_from(INVALID_VALUES), value=JSON_VALUES)
def test_decoding_handles_any_value_in_any_field(
    example: dict[str, Any], row: tuple[Any, Any, Any], value: Any
) -> None:
    """Guards against an exception, or a rejection without any violation."""
    content = json.loads(json.dumps(example))
    replace(content, row[0], value)
    decoded = decode(json.dumps(content).encode())
    assert is_successful(decoded) or decoded.failure()
    try:
        msgspec.convert(content, Document)
    except msgspec.ValidationError:
        assert schema_violations(Document, content)
    else:
        assert not schema_violations(Document, content)
