"""Keys of prompt prefixes that several requests share."""

from __future__ import annotations

from collections import OrderedDict

import xxhash

# Characters that stand for the shared part, such as a system prompt; runners keep
# the cache of prefixes in blocks, so shorter common parts save little.
_PREFIX_CHARACTERS = 256
_REMEMBERED = 4_096


def prefix_key(model: str, adapter: str, prompt: str) -> bytes:
    """Return the key of a prompt's first part for one model and adapter."""
    head = prompt[:_PREFIX_CHARACTERS]
    return xxhash.xxh3_64_digest(f"{model}\0{adapter}\0{head}".encode())


class PrefixMemory:
    """Remember which prefixes came lately, up to a number.

    Placing by the hash of a prefix that nobody else sends has no use, and is less
    even than a choice by load.
    """

    def __init__(self, capacity: int = _REMEMBERED) -> None:
        self._capacity = capacity
        self._seen: OrderedDict[bytes, None] = OrderedDict()

    def __len__(self) -> int:
        return len(self._seen)

    def is_shared(self, key: bytes) -> bool:
        """Record a prefix and return whether it came before."""
        known = key in self._seen
        self._seen[key] = None
        self._seen.move_to_end(key)
        if len(self._seen) > self._capacity:
            self._seen.popitem(last=False)
        return known
