"""Tests of the changes of a document."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import pytest

from sardineyard.console.editing import move_up, next_version, save_item
from sardineyard.console.fields import field_kinds
from sardineyard.console.sections import HINTS, ITEM_TYPES, Section, shown_fields

if TYPE_CHECKING:
    from sardineyard.document.model import Document


def _with_upstreams(document: Document, members: tuple[str, ...]) -> Document:
    service = document.services[0]
    values = {"upstreams": list(members)}
    return save_item(document, Section.SERVICES, service.name, values).unwrap()


def test_a_replaced_upstream_set_stays_as_a_previous_one(document: Document) -> None:
    """Guards against a key that runs again at its new owner."""
    first = document.services[0].upstreams
    assert len(first) > 2
    once = next_version(document, _with_upstreams(document, first[:-1]))
    assert once.version == document.version + 1
    assert once.services[0].previous_upstreams == (first,)
    twice = next_version(once, _with_upstreams(once, first[:1]))
    assert twice.services[0].previous_upstreams == (first[:-1], first)
    # The set that is in force again has no earlier owner to ask.
    back = next_version(twice, _with_upstreams(twice, first))
    assert back.services[0].previous_upstreams == (first[:1], first[:-1])


def test_another_order_of_the_same_upstreams_is_no_new_set(document: Document) -> None:
    """Guards against questions to previous owners that are the present ones."""
    members = tuple(reversed(document.services[0].upstreams))
    changed = next_version(document, _with_upstreams(document, members))
    assert changed.services[0].previous_upstreams == ()


def test_a_service_whose_calls_may_all_be_repeated_keeps_no_previous_set(
    document: Document,
) -> None:
    """Guards against a list that grows for services without keys."""
    service = msgspec.structs.replace(
        document.services[0],
        repeatable_methods=("GET", "POST", "PUT", "PATCH", "DELETE"),
    )
    base = msgspec.structs.replace(document, services=(service,))
    changed = next_version(base, _with_upstreams(base, service.upstreams[:1]))
    assert changed.services[0].previous_upstreams == ()


def test_a_change_is_checked_against_the_whole_document(document: Document) -> None:
    """Guards against an output that the fleet refuses."""
    team = document.teams[1].id
    for field, value in (("default_priority", "lokup"), ("weight", "heavy")):
        found = save_item(document, Section.TEAMS, team, {field: value}).failure()
        assert [(v.path, v.value) for v in found] == [
            (f"$.teams[1].{field}", f'"{value}"')
        ]


def test_a_priority_can_be_made_more_urgent(document: Document) -> None:
    """Guards against an order of urgency that no form can change."""
    names = [priority.name for priority in document.priorities]
    moved = move_up(document, Section.PRIORITIES, names[2]).unwrap()
    assert [p.name for p in moved.priorities] == [names[0], names[2], names[1]]


@pytest.mark.parametrize("section", Section)
def test_every_shown_field_has_a_hint(section: Section) -> None:
    """Guards against a new field that operators see without an explanation."""
    assert set(shown_fields(section)) == set(HINTS[section])
    assert set(shown_fields(section)) <= set(field_kinds(ITEM_TYPES[section]))
