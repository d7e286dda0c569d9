"""What upstreams announce about themselves in their responses."""

from __future__ import annotations

import logging
from collections import OrderedDict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sardineyard.core.ids import UpstreamIncarnation

_logger = logging.getLogger(__name__)

# Maximum number of leaving upstreams that are remembered. They are kept after their
# entries were removed, because an entry may come back after an outage of the store.
_MAX_LEAVING = 5_000


class UpstreamAnnouncements:
    """Keeps which upstreams announced that they take no new requests."""

    def __init__(self) -> None:
        self._leaving: OrderedDict[UpstreamIncarnation, None] = OrderedDict()

    def record_leaving(self, upstream: UpstreamIncarnation) -> None:
        """Record that an upstream is about to exit."""
        if upstream in self._leaving:
            return
        _logger.info(
            "upstream announced that it leaves; sending it no new requests",
            extra={
                "event": "upstream_leaving",
                "upstream": upstream[0],
                "started_ms": upstream[1],
            },
        )
        self._leaving[upstream] = None
        if len(self._leaving) > _MAX_LEAVING:
            self._leaving.popitem(last=False)

    def accepts_requests(self, upstream: UpstreamIncarnation) -> bool:
        """Return whether an upstream takes new requests, as far as it has announced."""
        return upstream not in self._leaving
