"""Settings of the entry and of the agent."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from sardineyard.core.address import parse_address
from sardineyard.settings import parsers
from sardineyard.settings.ini import Option, read

if TYPE_CHECKING:
    from returns.result import Result

    from sardineyard.core.address import Address
    from sardineyard.settings.ini import SettingError

_ADDRESS = "IP address and port, such as 127.0.0.1:8080"
_ADDRESSES = "IP addresses with ports, separated by commas"
_SECONDS = "a positive number of seconds"
_NAME = "letters, digits, dots, dashes and underscores"


@dataclass(frozen=True, slots=True)
class ProcessSettings:
    """Hold what every process of the system needs."""

    process: str
    failure_domain: str
    admin_address: Address
    peer_address: Address
    advertised_address: Address
    platform_address: Address
    seed_peers: tuple[Address, ...]
    drain_timeout_s: float
    log_level: str


@dataclass(frozen=True, slots=True)
class EntrySettings(ProcessSettings):
    """Hold the settings of an entry."""

    caller_address: Address


@dataclass(frozen=True, slots=True)
class AgentSettings(ProcessSettings):
    """Hold the settings of an agent."""

    upstream: str
    upstream_address: Address


def _log_level(text: str) -> str:
    if text not in ("debug", "info", "warning", "error"):
        raise ValueError("unknown level")
    return text


_PROCESS_OPTIONS: dict[str, Option[Any]] = {
    "process": Option("process", "id", parsers.identifier, _NAME),
    "failure_domain": Option("process", "failure_domain", parsers.identifier, _NAME),
    "admin_address": Option("process", "admin_address", parse_address, _ADDRESS),
    "peer_address": Option("process", "peer_address", parse_address, _ADDRESS),
    "advertised_address": Option(
        "process", "advertised_address", parse_address, _ADDRESS
    ),
    "platform_address": Option("platform", "address", parse_address, _ADDRESS),
    "seed_peers": Option("peers", "seeds", parsers.addresses, _ADDRESSES, ""),
    "drain_timeout_s": Option(
        "process", "drain_timeout_s", parsers.seconds, _SECONDS, "30"
    ),
    "log_level": Option(
        "logging", "level", _log_level, "debug, info, warning, error", "info"
    ),
}
ENTRY_OPTIONS: dict[str, Option[Any]] = {
    **_PROCESS_OPTIONS,
    "caller_address": Option("entry", "caller_address", parse_address, _ADDRESS),
}
AGENT_OPTIONS: dict[str, Option[Any]] = {
    **_PROCESS_OPTIONS,
    "upstream": Option("agent", "upstream", parsers.identifier, _NAME),
    "upstream_address": Option("agent", "upstream_address", parse_address, _ADDRESS),
}


def read_entry_settings(text: str) -> Result[EntrySettings, tuple[SettingError, ...]]:
    """Read the settings of an entry from INI text."""
    return read(text, ENTRY_OPTIONS).map(lambda values: EntrySettings(**values))


def read_agent_settings(text: str) -> Result[AgentSettings, tuple[SettingError, ...]]:
    """Read the settings of an agent from INI text."""
    return read(text, AGENT_OPTIONS).map(lambda values: AgentSettings(**values))
