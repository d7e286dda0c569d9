"""State of the dispatcher as encoded by the admin server."""

from __future__ import annotations

import msgspec


class ServiceView(msgspec.Struct, frozen=True):
    """Load of one service."""

    # Upstreams that may receive new requests.
    upstreams: int
    waiting: int
    in_flight: int
    # Requests of all gateways that may be in flight at once.
    limit: float
    # Mean time between two events of a stream; zero if none was measured.
    pause_s: float
    # Retries that the budget allows now.
    repeats_left: float


class GatewayDump(msgspec.Struct, frozen=True):
    """State of the dispatcher of one gateway."""

    config_version: int | None
    # Era and revision of the store up to which the upstreams are known.
    upstream_era: int
    upstream_revision: int
    # Gateways known to be running, including this one.
    processes: int
    services: dict[str, ServiceView]
    # In-flight requests of this gateway by upstream.
    in_flight: dict[str, int]
