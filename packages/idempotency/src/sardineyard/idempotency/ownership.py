"""Selection of the upstream that owns a key, by rendezvous hashing."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Protocol

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from sardineyard.core.ids import ServiceName, UpstreamId
    from sardineyard.idempotency.keys import ScopedKey


class ServiceUpstreams(Protocol):
    """Current and previous upstreams in the configuration of a service."""

    @property
    def name(self) -> ServiceName:
        """Return the name of the service."""

    @property
    def upstreams(self) -> tuple[UpstreamId, ...]:
        """Return the current upstreams."""

    @property
    def previous_upstreams(self) -> tuple[tuple[UpstreamId, ...], ...]:
        """Return the upstream sets of older documents that may still be in use."""


@dataclass(frozen=True, slots=True)
class UpstreamSets:
    """Upstreams of a service, now and in older documents that may still be in use."""

    current: tuple[UpstreamId, ...]
    previous: tuple[tuple[UpstreamId, ...], ...] = ()

    @property
    def all_sets(self) -> frozenset[frozenset[UpstreamId]]:
        """Return the current and the previous sets."""
        return frozenset(frozenset(each) for each in (self.current, *self.previous))


@dataclass(frozen=True, slots=True)
class KeyOwners:
    """Owner of a key, and the upstreams that may have owned it before."""

    owner: UpstreamId | None
    previous: tuple[UpstreamId, ...]


_NO_OWNERS = KeyOwners(None, ())
_NO_UPSTREAMS = UpstreamSets(())


@dataclass(frozen=True, slots=True)
class Ownership:
    """Owners of keys according to one document."""

    services: Mapping[ServiceName, UpstreamSets] = field(default_factory=dict)

    @classmethod
    def from_services(cls, services: Iterable[ServiceUpstreams]) -> Ownership:
        """Return the ownership for the services of a document."""
        return cls(
            {
                each.name: UpstreamSets(each.upstreams, each.previous_upstreams)
                for each in services
            }
        )

    def lacks_sets_of(self, older: Ownership) -> bool:
        """Return whether a set of an older document is missing in this one."""
        return any(
            not sets.all_sets <= self.services.get(name, _NO_UPSTREAMS).all_sets
            for name, sets in older.services.items()
        )

    def owners_of(self, scoped: ScopedKey) -> KeyOwners:
        """Return the owner of a key and its owners according to previous sets."""
        sets = self.services.get(scoped.service)
        if sets is None:
            return _NO_OWNERS
        owner = owner_of(scoped, sets.current)
        earlier = {owner_of(scoped, upstreams) for upstreams in sets.previous}
        others = (other for other in earlier if other is not None and other != owner)
        return KeyOwners(owner, tuple(sorted(others)))


def owner_of(scoped: ScopedKey, upstreams: Iterable[UpstreamId]) -> UpstreamId | None:
    """Return the upstream whose hash with the key is the greatest, if any."""
    tail = f"\0{scoped.team}\0{scoped.service}\0{scoped.key.text}"

    def score(upstream: UpstreamId) -> tuple[int, UpstreamId]:
        text = f"{upstream}{tail}"
        return xxhash.xxh3_64_intdigest(text.encode()), upstream

    return max(upstreams, key=score, default=None)
