"""Traits that requests which crash upstreams have in common, and findings on them."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, unique
from hashlib import blake2b
from typing import TYPE_CHECKING

import msgspec

from sardineyard.core.ids import Fingerprint, UpstreamIncarnation

if TYPE_CHECKING:
    from collections.abc import Iterator

    from sardineyard.core.ids import PromptPartId, ServiceName, TeamId

_DIGEST_BYTES = 16


@unique
class TraitKind(Enum):
    """What requests with a common trait share."""

    PROMPT_PART = "prompt_part"
    # Service, team, method, target, body and prompt.
    REQUEST = "request"


@dataclass(frozen=True, slots=True)
class Trait:
    """Property by which requests are recognised."""

    kind: TraitKind
    fingerprint: Fingerprint

    def __str__(self) -> str:
        return f"{self.kind.value}:{self.fingerprint}"


@dataclass(frozen=True, slots=True)
class RequestTraits:
    """The traits of one request."""

    request: Trait
    prompt_parts: tuple[Trait, ...] = ()

    def __iter__(self) -> Iterator[Trait]:
        return iter((self.request, *self.prompt_parts))


@unique
class Finding(Enum):
    """What a process found out about a trait."""

    # Requests with the trait crashed upstreams, and none has succeeded since.
    CRASHED = "crashed"
    # A request with the trait has succeeded, and no crash was observed since.
    SOUND = "sound"
    # The process refuses the trait because of the crashes of several others. A process
    # that relies on such statements makes none, or processes would keep each other's
    # refusals alive after the crashes have turned out to have another cause.
    REFUSED = "refused"


class CrashStatement(msgspec.Struct, frozen=True, array_like=True):
    """Crash that one process observed, to be sent to the others.

    Times are ages in seconds, because clocks of two processes cannot be compared.
    """

    request: Fingerprint
    upstream: UpstreamIncarnation | None
    call_started_s_ago: float | None
    crashed_s_ago: float


@dataclass(frozen=True, slots=True)
class TraitStatement:
    """Finding of one process, to be sent to the others."""

    trait: Trait
    finding: Finding
    # Seconds; clocks of two processes cannot be compared.
    expires_in_s: float
    # Parts that every crashing request with the trait had and that explain the crashes
    # as well. Requests without them are not refused, and show which part it is.
    companions: frozenset[Trait] = frozenset()
    # Newest crashes, of different requests first.
    crashes: tuple[CrashStatement, ...] = ()
    # Age of the last success, which may precede the crashes.
    succeeded_s_ago: float | None = None


# Refused traits, each with the parts without which a request is not refused.
RefusedTraits = dict[Trait, frozenset[Trait]]


def refused_trait(traits: RequestTraits, refused: RefusedTraits) -> Trait | None:
    """Return the trait for which a request is refused, if any."""
    own = set(traits)
    return next((t for t in traits if t in refused and refused[t] <= own), None)


def traits_of(
    service: ServiceName,
    team: TeamId | None,
    method: bytes,
    target: bytes,
    body: bytes,
    prompt_parts: tuple[PromptPartId, ...],
) -> RequestTraits:
    """Return the traits by which a request is recognised in all processes."""
    fields = (service.encode(), (team or "").encode(), method, target, body)
    parts = [part.encode() for part in prompt_parts]
    return RequestTraits(
        Trait(TraitKind.REQUEST, _fingerprint(*fields, *parts)),
        tuple(
            Trait(TraitKind.PROMPT_PART, _fingerprint(service.encode(), part))
            for part in dict.fromkeys(parts)
        ),
    )


def _fingerprint(*fields: bytes) -> Fingerprint:
    # A cryptographic hash: a caller must not be able to choose a request or part that
    # has the fingerprint of another one.
    digest = blake2b(digest_size=_DIGEST_BYTES)
    for field in fields:
        digest.update(len(field).to_bytes(8))
        digest.update(field)
    return Fingerprint(digest.hexdigest())
