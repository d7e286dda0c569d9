"""Deterministic subsets of upstreams and rendezvous hashing."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sardineyard.core.ids import ProcessId, UpstreamId


def rendezvous_score(key: bytes, seed: int) -> int:
    """Return the score of one candidate for a key; the highest score wins."""
    return xxhash.xxh3_64_intdigest(key, seed)


def candidate_seed(upstream: UpstreamId) -> int:
    """Return the hash seed of an upstream for rendezvous hashing."""
    return xxhash.xxh3_64_intdigest(upstream.encode())


def choose_subset(
    process: ProcessId, upstreams: Iterable[UpstreamId], size: int
) -> list[UpstreamId]:
    """Return the upstreams that an entry uses; a restart does not change them.

    Adding or removing one upstream changes at most one member of the subset, so the
    sessions to the other members stay open.
    """
    key = process.encode()
    return heapq.nlargest(
        size,
        upstreams,
        key=lambda upstream: rendezvous_score(key, candidate_seed(upstream)),
    )
