"""The upstream that owns a key, by rendezvous hashing."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from sardineyard.core.ids import ServiceName, UpstreamId
    from sardineyard.idempotency.keys import ScopedKey


@dataclass(frozen=True, slots=True)
class UpstreamSets:
    """Hold the upstreams of a service now and in documents that may still be used."""

    current: tuple[UpstreamId, ...]
    previous: tuple[tuple[UpstreamId, ...], ...] = ()


@dataclass(frozen=True, slots=True)
class Place:
    """Say who owns a key and who may have owned it before."""

    owner: UpstreamId | None
    previous: tuple[UpstreamId, ...]


_NOWHERE = Place(None, ())


@dataclass(frozen=True, slots=True)
class Ownership:
    """Find the owners of keys in one document."""

    services: Mapping[ServiceName, UpstreamSets] = field(default_factory=dict)

    def place(self, scoped: ScopedKey) -> Place:
        """Return the owner of a key and its other owners in previous sets."""
        sets = self.services.get(scoped.service)
        if sets is None:
            return _NOWHERE
        owner = owner_of(scoped, sets.current)
        earlier = {owner_of(scoped, upstreams) for upstreams in sets.previous}
        others = (other for other in earlier if other is not None and other != owner)
        return Place(owner, tuple(sorted(others)))


def owner_of(scoped: ScopedKey, upstreams: Iterable[UpstreamId]) -> UpstreamId | None:
    """Return the upstream with the greatest hash together with the key."""
    tail = f"\0{scoped.team}\0{scoped.service}\0{scoped.key.text}"

    def score(upstream: UpstreamId) -> tuple[int, UpstreamId]:
        text = f"{upstream}{tail}"
        return xxhash.xxh3_64_intdigest(text.encode()), upstream

    return max(upstreams, key=score, default=None)
