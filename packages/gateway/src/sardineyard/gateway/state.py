"""State dump of a gateway."""

from __future__ import annotations

import msgspec


class ServiceView(msgspec.Struct, frozen=True):
    """Show the load of one service."""

    upstreams: int
    waiting: int
    in_flight: int
    limit: float
    pause_s: float
    repeats_left: float


class GatewayDump(msgspec.Struct, frozen=True):
    """Show what a gateway believes and does."""

    config_version: int | None
    upstream_revision: int
    processes: int
    services: dict[str, ServiceView]
    # Requests of this process by upstream.
    in_flight: dict[str, int]
