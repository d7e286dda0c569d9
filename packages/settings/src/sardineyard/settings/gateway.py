"""Settings of the gateway and of the rebalancer, which use the platform's store."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from sardineyard.core.address import parse_address
from sardineyard.settings import parsers
from sardineyard.settings.ini import Option, read
from sardineyard.settings.processes import PROCESS_OPTIONS

if TYPE_CHECKING:
    from returns.result import Result

    from sardineyard.core.address import Address
    from sardineyard.settings.ini import SettingError

_ADDRESS = "IP address and port, such as 127.0.0.1:8080"
_ADDRESSES = "IP addresses with ports, separated by commas"


@dataclass(frozen=True, slots=True)
class PlatformDaemonSettings:
    """Settings that the gateway and the rebalancer share; times in seconds."""

    process: str
    failure_domain: str
    log_level: str
    admin_address: Address
    store_address: Address
    seed_peers: tuple[Address, ...]
    drain_timeout_s: float


@dataclass(frozen=True, slots=True)
class GatewaySettings(PlatformDaemonSettings):
    """Settings of a gateway; `repeat_*` configure the retry budget."""

    caller_address: Address
    ready_address: Address
    peer_address: Address
    beacon_address: Address
    max_connections: int
    request_buffer_mb: int
    repeat_ratio: float
    repeat_extra: float
    repeat_window_s: float


@dataclass(frozen=True, slots=True)
class RebalancerSettings(PlatformDaemonSettings):
    """Settings of a rebalancer."""

    upstream_address: Address
    group_address: Address
    service: str


_COMMON_OPTIONS: dict[str, Option[Any]] = {
    **{
        name: PROCESS_OPTIONS[name]
        for name in ("process", "failure_domain", "admin_address", "log_level")
    },
    "drain_timeout_s": Option(
        "process",
        "drain_timeout_s",
        parsers.seconds,
        "a positive number of seconds",
        help="Seconds between SIGTERM and the end that the platform enforces.",
        example="8",
    ),
    "store_address": Option(
        "platform",
        "store",
        parse_address,
        _ADDRESS,
        help="The platform's store, which holds configuration and upstreams.",
        example="127.0.0.1:9000",
    ),
    "seed_peers": Option(
        "peers",
        "seeds",
        parsers.addresses,
        _ADDRESSES,
        "",
        help="Peer addresses of a few gateways, through which the others are found.",
        example="127.0.0.1:9201, 127.0.0.1:9202",
    ),
}
GATEWAY_OPTIONS: dict[str, Option[Any]] = {
    **_COMMON_OPTIONS,
    "caller_address": Option(
        "gateway",
        "caller_address",
        parse_address,
        _ADDRESS,
        help="Where to listen for callers.",
        example="127.0.0.1:8080",
    ),
    "ready_address": Option(
        "gateway",
        "ready_address",
        parse_address,
        _ADDRESS,
        help="Where to answer whether this gateway takes new connections.",
        example="127.0.0.1:8081",
    ),
    "peer_address": Option(
        "gateway",
        "peer_address",
        parsers.reachable_address,
        _ADDRESS,
        help="Where to listen for other processes of the fleet.",
        example="127.0.0.1:9201",
    ),
    "beacon_address": Option(
        "gateway",
        "beacon_address",
        parsers.reachable_address,
        _ADDRESS,
        help="Where to receive the datagrams of other gateways; the port is the same "
        "on all VMs.",
        example="127.0.0.1:9211",
    ),
    "max_connections": Option(
        "gateway",
        "max_connections",
        parsers.positive_integer,
        "a whole number above zero",
        "1000",
        help="Callers' connections that are accepted at once.",
    ),
    "request_buffer_mb": Option(
        "gateway",
        "request_buffer_mb",
        parsers.positive_integer,
        "a whole number above zero",
        "48",
        help="Memory for large request bodies, in MiB; further ones are refused. With "
        "the other buffers, the default fits into a VM of 152 MB.",
    ),
    "repeat_ratio": Option(
        "repeats",
        "ratio",
        parsers.fraction,
        "a number from 0 to 1",
        "0.1",
        help="Further calls that the fleet may make for each request to a service.",
    ),
    "repeat_extra": Option(
        "repeats",
        "extra",
        parsers.non_negative_number,
        "a number of at least 0",
        "20",
        help="Further calls that the fleet may make besides in each window.",
    ),
    "repeat_window_s": Option(
        "repeats",
        "window_s",
        parsers.seconds,
        "a positive number of seconds",
        "10",
        help="Length of the window in which further calls are counted.",
    ),
}
REBALANCER_OPTIONS: dict[str, Option[Any]] = {
    **_COMMON_OPTIONS,
    "upstream_address": Option(
        "rebalancer",
        "upstream_address",
        parse_address,
        _ADDRESS,
        help="Where the model runner beside this process listens.",
        example="127.0.0.1:8000",
    ),
    "group_address": Option(
        "rebalancer",
        "group_address",
        parsers.reachable_address,
        _ADDRESS,
        help="Where to listen for the rebalancers of the other ranks; the port is the "
        "same on all VMs.",
        example="127.0.0.1:9301",
    ),
    "service": Option(
        "rebalancer",
        "service",
        str,
        "name of a service",
        help="Service to which the model runner belongs.",
        example="completions",
    ),
}


def read_gateway_settings(
    text: str,
) -> Result[GatewaySettings, tuple[SettingError, ...]]:
    """Read the settings of a gateway from INI text."""
    return read(text, GATEWAY_OPTIONS).map(lambda parsed: GatewaySettings(**parsed))


def read_rebalancer_settings(
    text: str,
) -> Result[RebalancerSettings, tuple[SettingError, ...]]:
    """Read the settings of a rebalancer from INI text."""
    return read(text, REBALANCER_OPTIONS).map(
        lambda parsed: RebalancerSettings(**parsed)
    )
