"""The upstream that owns a key, by rendezvous hashing."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Protocol

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from sardineyard.core.ids import ServiceName, UpstreamId
    from sardineyard.idempotency.keys import ScopedKey


class ServiceSets(Protocol):
    """Describe what a configured service says about its upstreams."""

    @property
    def name(self) -> ServiceName:
        """Return the name of the service."""

    @property
    def upstreams(self) -> tuple[UpstreamId, ...]:
        """Return the upstreams in force."""

    @property
    def previous_upstreams(self) -> tuple[tuple[UpstreamId, ...], ...]:
        """Return the sets of documents that may still be used."""


@dataclass(frozen=True, slots=True)
class UpstreamSets:
    """Hold the upstreams of a service now and in documents that may still be used."""

    current: tuple[UpstreamId, ...]
    previous: tuple[tuple[UpstreamId, ...], ...] = ()

    @property
    def listed(self) -> frozenset[frozenset[UpstreamId]]:
        """Return every set whose owners can be asked."""
        return frozenset(frozenset(each) for each in (self.current, *self.previous))


@dataclass(frozen=True, slots=True)
class Place:
    """Say who owns a key and who may have owned it before."""

    owner: UpstreamId | None
    previous: tuple[UpstreamId, ...]


_NOWHERE = Place(None, ())
_NO_SETS = UpstreamSets(())


@dataclass(frozen=True, slots=True)
class Ownership:
    """Find the owners of keys in one document."""

    services: Mapping[ServiceName, UpstreamSets] = field(default_factory=dict)

    @classmethod
    def of(cls, services: Iterable[ServiceSets]) -> Ownership:
        """Return the ownership that a list of services describes."""
        return cls(
            {
                each.name: UpstreamSets(each.upstreams, each.previous_upstreams)
                for each in services
            }
        )

    def drops(self, older: Ownership) -> bool:
        """Return whether a set of an older document is no longer listed."""
        return any(
            not sets.listed <= self.services.get(name, _NO_SETS).listed
            for name, sets in older.services.items()
        )

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
