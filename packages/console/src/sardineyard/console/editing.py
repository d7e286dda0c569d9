"""Changes of a document: pure functions from one valid document to the next."""

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

Checked = Result[Document, tuple[Violation, ...]]
Items = list[dict[str, Any]]

# Calls with these methods change something, unless the service lists them as
# repeatable.
_CHANGING_METHODS = frozenset({"POST", "PUT", "PATCH", "DELETE"})
_KEY_BYTES = 32


def new_key() -> str:
    """Return a new random bearer key of a team."""
    return secrets.token_urlsafe(_KEY_BYTES)


def key_hash(key: str) -> str:
    """Return the only form in which a team's key is kept."""
    return hashlib.sha256(key.encode()).hexdigest()


def save_item(
    document: Document,
    section: Section,
    original: str | None,
    values: Mapping[str, Any],
) -> Checked:
    """Change the item that has an identity, or add one when there is none."""

    def change(items: Items) -> None:
        if original is None:
            items.append(dict(values))
        else:
            items[_position(items, section, original)].update(values)

    return _changed(document, section, original, change)


def remove_item(document: Document, section: Section, identity: str) -> Checked:
    """Remove an item."""

    def change(items: Items) -> None:
        del items[_position(items, section, identity)]

    return _changed(document, section, identity, change)


def move_up(document: Document, section: Section, identity: str) -> Checked:
    """Exchange an item with the one before it; the first stays."""

    def change(items: Items) -> None:
        position = _position(items, section, identity)
        items.insert(max(0, position - 1), items.pop(position))

    return _changed(document, section, identity, change)


def next_version(base: Document, draft: Document) -> Document:
    """Return the draft as the successor of a base document.

    The version is greater by one. Services that may not repeat all calls keep their
    replaced upstream set in previous_upstreams, because processes with the older
    document still find the owner of a key in that set.
    """
    before = {service.name: service for service in base.services}
    services = tuple(
        _with_previous(before.get(service.name), service) for service in draft.services
    )
    return msgspec.structs.replace(
        draft, version=DocumentVersion(base.version + 1), services=services
    )


def _with_previous(before: Service | None, service: Service) -> Service:
    if before is None or set(before.upstreams) == set(service.upstreams):
        return service
    if set(service.repeatable_methods) >= _CHANGING_METHODS:
        return service
    kept: list[tuple[UpstreamId, ...]] = []
    seen = [set(service.upstreams)]
    for previous in (before.upstreams, *service.previous_upstreams):
        if set(previous) not in seen:
            seen.append(set(previous))
            kept.append(previous)
    return msgspec.structs.replace(service, previous_upstreams=tuple(kept))


def _changed(
    document: Document,
    section: Section,
    identity: str | None,
    change: Callable[[Items], None],
) -> Checked:
    tree = msgspec.json.decode(encode(document))
    try:
        change(tree.setdefault(section.value, []))
    except LookupError:
        missing = Violation(f"$.{section.value}", str(identity), "no such item")
        return Failure((missing,))
    return decode(msgspec.json.encode(tree))


def _position(items: Items, section: Section, identity: str) -> int:
    field = identity_field(section)
    for position, item in enumerate(items):
        if item[field] == identity:
            return position
    raise LookupError(identity)
