"""Settings of the entry and of the agent."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING, Any

from returns.result import Failure, Success

from sardineyard.core.address import parse_address
from sardineyard.core.states import UpstreamKind
from sardineyard.settings import parsers
from sardineyard.settings.ini import Option, option_error, read

if TYPE_CHECKING:
    from collections.abc import Mapping

    from returns.result import Result

    from sardineyard.core.address import Address
    from sardineyard.settings.ini import SettingError

_ADDRESS = "IP address and port, such as 127.0.0.1:8080"
_REACHABLE_ADDRESS = "IP address and port at which other VMs reach this one"
_ADDRESSES = "IP addresses with ports, separated by commas"
_SECONDS = "a positive number of seconds"
_UPSTREAM_KINDS = ", ".join(kind.value for kind in UpstreamKind)
_IDENTIFIER = "letters, digits, dots, dashes and underscores"
_ROUTING_POLICIES = ("power_of_two", "round_robin", "random", "least_reported")
_ADMISSION_POLICIES = ("fair_shares", "first_come")
_LOG_LEVELS = ("debug", "info", "warning", "error")


@dataclass(frozen=True, slots=True)
class ProcessSettings:
    """Settings that the entry and the agent share."""

    process: str
    failure_domain: str
    admin_address: Address
    peer_address: Address
    advertised_address: Address
    platform_address: Address
    seed_peers: tuple[Address, ...]
    drain_timeout_s: float
    log_level: str
    # Excluded from repr, so that logs and errors do not show the key.
    fleet_key: str = field(repr=False)


@dataclass(frozen=True, slots=True)
class EntrySettings(ProcessSettings):
    """Settings of an entry."""

    caller_address: Address
    routing: str


@dataclass(frozen=True, slots=True)
class AgentSettings(ProcessSettings):
    """Settings of an agent."""

    upstream: str
    upstream_kind: UpstreamKind
    upstream_address: Address
    admission: str


PROCESS_OPTIONS: dict[str, Option[Any]] = {
    "process": Option(
        "process",
        "id",
        parsers.identifier,
        _IDENTIFIER,
        help="Name of this process, unique in the fleet; it marks logs and metrics.",
        example="entry-1",
    ),
    "failure_domain": Option(
        "process",
        "failure_domain",
        parsers.identifier,
        _IDENTIFIER,
        help="Failure domain in which this VM runs, as the document names it.",
        example="domain-a",
    ),
    "admin_address": Option(
        "process",
        "admin_address",
        parse_address,
        _ADDRESS,
        help="Where to serve /state, /metrics, /healthz and /readyz to operators.",
        example="127.0.0.1:9101",
    ),
    "peer_address": Option(
        "process",
        "peer_address",
        parse_address,
        _ADDRESS,
        help="Where to listen for other processes of the fleet.",
        example="127.0.0.1:9201",
    ),
    "advertised_address": Option(
        "process",
        "advertised_address",
        parsers.reachable_address,
        _REACHABLE_ADDRESS,
        help="Address that other processes use for peer_address of this one.",
        example="127.0.0.1:9201",
    ),
    "drain_timeout_s": Option(
        "process",
        "drain_timeout_s",
        parsers.seconds,
        _SECONDS,
        "30",
        help="Seconds that open requests have to finish after SIGTERM.",
    ),
    "platform_address": Option(
        "platform",
        "address",
        parse_address,
        _ADDRESS,
        help="Configuration service that holds the document and the list of VMs.",
        example="127.0.0.1:9000",
    ),
    "seed_peers": Option(
        "peers",
        "seeds",
        parsers.addresses,
        _ADDRESSES,
        "",
        help=(
            "Advertised addresses of a few other processes, asked for the document "
            "when the platform does not answer."
        ),
        example="127.0.0.1:9202, 127.0.0.1:9203",
    ),
    "fleet_key": Option(
        "fleet",
        "key",
        parsers.shared_key,
        f"at least {parsers.MIN_KEY_CHARACTERS} printable characters",
        help=(
            "Key that all processes of the fleet share; calls between them are "
            "signed with it. Replace the example."
        ),
        example="replace-this-key-of-the-fleet",
        is_secret=True,
    ),
    "log_level": Option(
        "logging",
        "level",
        parsers.one_of(*_LOG_LEVELS),
        ", ".join(_LOG_LEVELS),
        "info",
        help="Least important level that is logged.",
    ),
}
ENTRY_OPTIONS: dict[str, Option[Any]] = {
    **PROCESS_OPTIONS,
    "caller_address": Option(
        "entry",
        "caller_address",
        parse_address,
        _ADDRESS,
        help="Where to listen for callers.",
        example="127.0.0.1:8080",
    ),
    "routing": Option(
        "entry",
        "routing",
        parsers.one_of(*_ROUTING_POLICIES),
        ", ".join(_ROUTING_POLICIES),
        _ROUTING_POLICIES[0],
        help="How an upstream is chosen; the others than the default are baselines.",
    ),
}
# Ports differ from those of the entry, so that both examples can run on one machine.
_AGENT_EXAMPLES = {
    "process": "agent-1",
    "admin_address": "127.0.0.1:9102",
    "peer_address": "127.0.0.1:9202",
    "advertised_address": "127.0.0.1:9202",
    "seed_peers": "127.0.0.1:9201, 127.0.0.1:9203",
}
AGENT_OPTIONS: dict[str, Option[Any]] = {
    **PROCESS_OPTIONS,
    **{
        field: replace(PROCESS_OPTIONS[field], example=text)
        for field, text in _AGENT_EXAMPLES.items()
    },
    "upstream": Option(
        "agent",
        "upstream",
        parsers.identifier,
        _IDENTIFIER,
        help="Id of the upstream of this agent, as the document names it.",
        example="runner-1",
    ),
    "upstream_kind": Option(
        "agent",
        "upstream_kind",
        UpstreamKind,
        _UPSTREAM_KINDS,
        help="Protocol that the upstream speaks, as the document says.",
        example="model_runner",
    ),
    "upstream_address": Option(
        "agent",
        "upstream_address",
        parse_address,
        _ADDRESS,
        help="Where the upstream listens.",
        example="127.0.0.1:8000",
    ),
    "admission": Option(
        "agent",
        "admission",
        parsers.one_of(*_ADMISSION_POLICIES),
        ", ".join(_ADMISSION_POLICIES),
        _ADMISSION_POLICIES[0],
        help="How queued work is ordered; first_come is a baseline.",
    ),
}
# Fields with an address that the process binds at start.
_LISTEN_ADDRESSES = ("caller_address", "admin_address", "peer_address")


def read_entry_settings(text: str) -> Result[EntrySettings, tuple[SettingError, ...]]:
    """Read the settings of an entry from INI text."""
    values = _read_checked(text, ENTRY_OPTIONS)
    return values.map(lambda parsed: EntrySettings(**parsed))


def read_agent_settings(text: str) -> Result[AgentSettings, tuple[SettingError, ...]]:
    """Read the settings of an agent from INI text."""
    values = _read_checked(text, AGENT_OPTIONS)
    return values.map(lambda parsed: AgentSettings(**parsed))


def _read_checked(
    text: str, options: Mapping[str, Option[Any]]
) -> Result[dict[str, Any], tuple[SettingError, ...]]:
    return read(text, options).bind(
        lambda values: _check_listen_addresses(values, options)
    )


def _check_listen_addresses(
    values: dict[str, Any], options: Mapping[str, Option[Any]]
) -> Result[dict[str, Any], tuple[SettingError, ...]]:
    errors = []
    used_by: dict[Address, str] = {}
    for name in _LISTEN_ADDRESSES:
        address = values.get(name)
        # Port 0 cannot conflict: the operating system assigns a free port.
        if address is None or address.port == 0:
            continue
        if address in used_by:
            problem = f"{address} is already used by {options[used_by[address]].name}"
            errors.append(option_error(options[name], problem))
        used_by.setdefault(address, name)
    return Failure(tuple(errors)) if errors else Success(values)
