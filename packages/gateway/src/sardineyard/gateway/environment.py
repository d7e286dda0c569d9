"""Dependencies that all requests of a gateway share."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from sardineyard.core.clock import Clock
    from sardineyard.core.mailbox import Mailbox
    from sardineyard.forwarding.config import UpstreamEntry
    from sardineyard.forwarding.messages import MessageCodec
    from sardineyard.gateway.connections import UpstreamConnections
    from sardineyard.telemetry.gateway_metrics import GatewayMetrics


@dataclass(frozen=True, slots=True)
class Environment:
    """Dependencies that all requests of a gateway share."""

    dispatcher: Mailbox[object]
    quarantine: Mailbox[object]
    codec: MessageCodec
    connections: UpstreamConnections
    clock: Clock
    metrics: GatewayMetrics
    # Source of the unique ids of slot requests.
    tickets: Iterator[int]
    # Whether an upstream takes new requests, as far as it has announced.
    accepts_requests: Callable[[UpstreamEntry], bool]
