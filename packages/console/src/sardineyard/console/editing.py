"""Edits of a document as pure functions that return a validated new document."""

from __future__ import annotations

import hashlib
import secrets
from typing import TYPE_CHECKING, Any

import msgspec
from returns.result import Failure, Result

from sardineyard.console.sections import identity_field
from sardineyard.document.codec import decode, encode
from sardineyard.document.model import Document, DocumentVersion
from sardineyard.document.violations import Violation

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from sardineyard.console.sections import Section
    from sardineyard.core.ids import UpstreamId
    from sardineyard.document.model import Service

ValidationResult = Result[Document, tuple[Violation, ...]]
Items = list[dict[str, Any]]

# HTTP methods whose calls may have side effects. A service may list them as
# repeatable; such calls need no idempotency key.
_UNSAFE_METHODS = frozenset({"POST", "PUT", "PATCH", "DELETE"})
_KEY_BYTES = 32


def new_key() -> str:
    """Generate a random bearer key for a team."""
    return secrets.token_urlsafe(_KEY_BYTES)


def key_hash(key: str) -> str:
    """Return the SHA-256 hash of a key; documents hold only the hash."""
    return hashlib.sha256(key.encode()).hexdigest()


def save_item(
    document: Document,
    section: Section,
    original: str | None,
    values: Mapping[str, Any],
) -> ValidationResult:
    """Update the item with identity `original`, or add an item if it is None."""

    def edit(items: Items) -> None:
        if original is None:
            items.append(dict(values))
        else:
            items[_item_index(items, section, original)].update(values)

    return _edit_section(document, section, original, edit)


def remove_item(
    document: Document, section: Section, identity: str
) -> ValidationResult:
    """Remove the item with an identity."""

    def edit(items: Items) -> None:
        del items[_item_index(items, section, identity)]

    return _edit_section(document, section, identity, edit)


def move_up(document: Document, section: Section, identity: str) -> ValidationResult:
    """Swap an item with its predecessor; the first item stays in place."""

    def edit(items: Items) -> None:
        index = _item_index(items, section, identity)
        items.insert(max(0, index - 1), items.pop(index))

    return _edit_section(document, section, identity, edit)


def next_version(base: Document, draft: Document) -> Document:
    """Return the draft as the version that follows a base document.

    The version is incremented by one. If a service has calls that are not repeatable
    and its upstream set changes, the replaced set is added to previous_upstreams:
    processes with the older document still determine the owner of an idempotency key
    from that set.
    """
    base_services = {service.name: service for service in base.services}
    services = tuple(
        _with_previous_upstreams(base_services.get(service.name), service)
        for service in draft.services
    )
    return msgspec.structs.replace(
        draft, version=DocumentVersion(base.version + 1), services=services
    )


def _with_previous_upstreams(base_service: Service | None, service: Service) -> Service:
    if base_service is None or set(base_service.upstreams) == set(service.upstreams):
        return service
    if set(service.repeatable_methods) >= _UNSAFE_METHODS:
        return service
    previous_sets: list[tuple[UpstreamId, ...]] = []
    seen = [set(service.upstreams)]
    for previous in (base_service.upstreams, *service.previous_upstreams):
        if set(previous) not in seen:
            seen.append(set(previous))
            previous_sets.append(previous)
    return msgspec.structs.replace(service, previous_upstreams=tuple(previous_sets))


def _edit_section(
    document: Document,
    section: Section,
    identity: str | None,
    edit: Callable[[Items], None],
) -> ValidationResult:
    tree = msgspec.json.decode(encode(document))
    try:
        edit(tree.setdefault(section.value, []))
    except LookupError:
        missing = Violation(f"$.{section.value}", str(identity), "no such item")
        return Failure((missing,))
    return decode(msgspec.json.encode(tree))


def _item_index(items: Items, section: Section, identity: str) -> int:
    field = identity_field(section)
    for index, item in enumerate(items):
        if item[field] == identity:
            return index
    raise LookupError(identity)
