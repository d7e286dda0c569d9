"""What a gateway needs from the platform, and the messages about changes."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, unique
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from sardineyard.forwarding.config import ForwardingConfig, UpstreamEntry


@unique
class StoreFailure(Enum):
    """Say why a call to the platform's store gave no answer."""

    # The store refused the call; nothing was done.
    REFUSED = "refused"
    TOO_MANY_CALLS = "too_many_calls"
    # The changes since the given revision are no longer kept.
    HISTORY_LOST = "history_lost"
    UNREACHABLE = "unreachable"
    MALFORMED = "malformed"


class StoreError(Exception):
    """Report a call to the store that failed."""

    def __init__(self, failure: StoreFailure, detail: str = "") -> None:
        super().__init__(f"{failure.value}: {detail}")
        self.failure = failure


@dataclass(frozen=True, slots=True)
class ConfigRead:
    """Hold one configuration and the bytes from which it was decoded."""

    config: ForwardingConfig
    raw: bytes
    revision: int


@dataclass(frozen=True, slots=True)
class UpstreamRead:
    """Hold one upstream at a revision; the entry is None where it was removed."""

    id: str
    revision: int
    entry: UpstreamEntry | None
    raw: bytes = b""


@dataclass(frozen=True, slots=True)
class UpstreamSnapshot:
    """Hold all listed upstreams at a revision of the store."""

    entries: tuple[UpstreamRead, ...]
    revision: int


@dataclass(frozen=True, slots=True)
class UpstreamChanges:
    """Hold the changes up to a revision of the store, oldest first."""

    changes: tuple[UpstreamRead, ...]
    revision: int


@dataclass(frozen=True, slots=True)
class ConfigChanges:
    """Hold the newest configuration among the changes up to a revision."""

    newest: ConfigRead | None
    revision: int


class CatalogStore(Protocol):
    """Read the configuration and the upstreams; every call may raise StoreError."""

    async def read_config(self) -> ConfigRead | None:
        """Return the configuration in force, or None before the first one."""

    async def read_upstreams(self) -> UpstreamSnapshot:
        """Return all listed upstreams."""

    async def watch_config(self, after: int, wait_s: float) -> ConfigChanges:
        """Wait for a newer configuration."""

    async def watch_upstreams(self, after: int, wait_s: float) -> UpstreamChanges:
        """Wait for changes of the upstreams."""

    def decode_config(self, raw: bytes, revision: int) -> ConfigRead | None:
        """Decode a configuration that a peer passed on; None if it is malformed."""

    def decode_upstream(self, id: str, raw: bytes, revision: int) -> UpstreamRead:
        """Decode an upstream that a peer passed on."""
