"""Tests of the edits of a document."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import pytest

from sardineyard.console.editing import move_up, next_version, save_item
from sardineyard.console.fields import struct_fields
from sardineyard.console.sections import HINTS, ITEM_TYPES, Section, form_fields

if TYPE_CHECKING:
    from sardineyard.document.model import Document


def _with_upstreams(document: Document, upstreams: tuple[str, ...]) -> Document:
    service = document.services[0]
    values = {"upstreams": list(upstreams)}
    return save_item(document, Section.SERVICES, service.name, values).unwrap()


def test_replaced_upstream_set_is_kept_as_previous_set(document: Document) -> None:
    """Guards against an idempotency key that runs a second time at its new owner."""
    first = document.services[0].upstreams
    assert len(first) > 2
    successor = next_version(document, _with_upstreams(document, first[:-1]))
    assert successor.version == document.version + 1
    assert successor.services[0].previous_upstreams == (first,)
    second_successor = next_version(successor, _with_upstreams(successor, first[:1]))
    assert second_successor.services[0].previous_upstreams == (first[:-1], first)
    # A set that is the current one again is not listed as a previous one.
    third_successor = next_version(
        second_successor, _with_upstreams(second_successor, first)
    )
    assert third_successor.services[0].previous_upstreams == (first[:1], first[:-1])


def test_reordered_upstreams_are_not_a_new_set(document: Document) -> None:
    """Guards against queries to previous owners that are the current owners."""
    upstreams = tuple(reversed(document.services[0].upstreams))
    changed = next_version(document, _with_upstreams(document, upstreams))
    assert changed.services[0].previous_upstreams == ()


def test_service_with_only_repeatable_methods_keeps_no_previous_set(
    document: Document,
) -> None:
    """Guards against previous sets for services that need no idempotency keys."""
    service = msgspec.structs.replace(
        document.services[0],
        repeatable_methods=("GET", "POST", "PUT", "PATCH", "DELETE"),
    )
    base = msgspec.structs.replace(document, services=(service,))
    changed = next_version(base, _with_upstreams(base, service.upstreams[:1]))
    assert changed.services[0].previous_upstreams == ()


def test_edit_is_validated_with_the_whole_document(document: Document) -> None:
    """Guards against a published document that the fleet rejects."""
    team = document.teams[1].id
    for field, value in (("default_priority", "lokup"), ("weight", "heavy")):
        violations = save_item(document, Section.TEAMS, team, {field: value}).failure()
        assert [(v.path, v.value) for v in violations] == [
            (f"$.teams[1].{field}", f'"{value}"')
        ]


def test_priority_can_be_moved_up(document: Document) -> None:
    """Guards against an order of priorities that the console cannot change."""
    names = [priority.name for priority in document.priorities]
    moved = move_up(document, Section.PRIORITIES, names[2]).unwrap()
    assert [p.name for p in moved.priorities] == [names[0], names[2], names[1]]


@pytest.mark.parametrize("section", Section)
def test_every_form_field_has_a_hint(section: Section) -> None:
    """Guards against a new form field without a help text."""
    assert set(form_fields(section)) == set(HINTS[section])
    assert set(form_fields(section)) <= set(struct_fields(ITEM_TYPES[section]))
