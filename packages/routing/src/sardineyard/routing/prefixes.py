"""Keys of prompt prefixes, for prefix cache affinity."""

from __future__ import annotations

from collections import OrderedDict

import xxhash

# Length of the prefix that is hashed; it covers a shared start such as a system
# prompt. Runners cache prefixes in blocks, so shorter ones save little.
_PREFIX_CHARACTERS = 256
_MAX_PREFIXES = 4_096


def prefix_key(model: str, adapter: str, prompt: str) -> bytes:
    """Return the key of a prompt's prefix for one model and adapter."""
    head = prompt[:_PREFIX_CHARACTERS]
    return xxhash.xxh3_64_digest(f"{model}\0{adapter}\0{head}".encode())


class RecentPrefixes:
    """Bounded set of recently used prefix keys, to detect shared prefixes.

    Routing by the hash of a prefix that occurs once gains no cache hit and balances
    worse than routing by load.
    """

    def __init__(self, capacity: int = _MAX_PREFIXES) -> None:
        self._capacity = capacity
        self._seen: OrderedDict[bytes, None] = OrderedDict()

    def __len__(self) -> int:
        return len(self._seen)

    def check_and_record(self, key: bytes) -> bool:
        """Record a prefix and return whether it was seen before."""
        was_seen = key in self._seen
        self._seen[key] = None
        self._seen.move_to_end(key)
        if len(self._seen) > self._capacity:
            self._seen.popitem(last=False)
        return was_seen
