"""What upstreams announce about themselves in their responses."""

from __future__ import annotations

import logging
from collections import OrderedDict
from typing import TYPE_CHECKING

from sardineyard.core.clock import deadline_after, remaining

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from sardineyard.core.clock import Clock, Deadline
    from sardineyard.core.ids import RequestId, UpstreamIncarnation
    from sardineyard.forwarding.config import UpstreamEntry

_logger = logging.getLogger(__name__)

# Maximum number of leaving upstreams that are remembered. They are kept after their
# entries were removed, because an entry may come back after an outage of the store.
_MAX_LEAVING = 5_000
# Maximum duration of one pause, in seconds, so that a wrong value does not take an
# upstream out of use for good.
_MAX_PAUSE_S = 60.0
# Time after a pause for which an upstream that accepts no request is remembered, in
# seconds; it may have been removed.
_RESUMING_S = 60.0


class UpstreamAnnouncements:
    """Keeps which upstreams announced that they take no new requests."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._leaving: OrderedDict[UpstreamIncarnation, None] = OrderedDict()
        # Ends of the pauses that upstreams asked for, until these accept a request.
        self._paused_until: dict[UpstreamIncarnation, Deadline] = {}

    def record_leaving(
        self, upstream: UpstreamIncarnation, request_id: RequestId
    ) -> bool:
        """Record that an upstream is about to exit; return whether this is new."""
        if upstream in self._leaving:
            return False
        _logger.info(
            "upstream announced that it leaves; sending it no new requests",
            extra={
                "event": "upstream_leaving",
                "request_id": request_id,
                "upstream": upstream[0],
                "started_ms": upstream[1],
            },
        )
        self._leaving[upstream] = None
        if len(self._leaving) > _MAX_LEAVING:
            self._leaving.popitem(last=False)
        return True

    def record_pause(
        self, upstream: UpstreamIncarnation, until: Deadline, request_id: RequestId
    ) -> bool:
        """Record a pause; return whether it begins one, rather than extends it."""
        self._drop_expired()
        was_paused = self._is_paused(upstream)
        end = min(until, deadline_after(self._clock, _MAX_PAUSE_S))
        self._paused_until[upstream] = max(end, self._paused_until.get(upstream, end))
        if was_paused:
            return False
        pause_s = remaining(self._clock, end)
        _logger.info(
            "upstream asked for a pause; sending it no new requests",
            extra={
                "event": "upstream_paused",
                "request_id": request_id,
                "upstream": upstream[0],
                "started_ms": upstream[1],
                "asked_s": round(remaining(self._clock, until), 3),
                "pause_s": round(pause_s, 3),
                "until": round(self._clock.wall() + pause_s, 3),
            },
        )
        return True

    def record_accepted(
        self, upstream: UpstreamIncarnation, sent_at: float, request_id: RequestId
    ) -> bool:
        """Record an accepted request; return whether it was the first after a pause."""
        end = self._paused_until.get(upstream)
        if end is None or sent_at < end:
            return False
        del self._paused_until[upstream]
        _logger.info(
            "upstream accepts requests again after its pause",
            extra={
                "event": "upstream_resumed",
                "request_id": request_id,
                "upstream": upstream[0],
                "started_ms": upstream[1],
                "since_pause_s": round(self._clock.now() - end, 3),
            },
        )
        return True

    def is_resuming(self, upstream: UpstreamIncarnation) -> bool:
        """Return whether a pause has ended and no request was accepted since."""
        return upstream in self._paused_until and not self._is_paused(upstream)

    def accepts_requests(self, upstream: UpstreamIncarnation) -> bool:
        """Return whether an upstream takes new requests, as far as it has announced."""
        return upstream not in self._leaving and not self._is_paused(upstream)

    def accepting(self, upstreams: Sequence[UpstreamEntry]) -> Sequence[UpstreamEntry]:
        """Return the upstreams that take new requests, as far as they announced."""
        if not self._leaving and not self._paused_until:
            return upstreams
        return [u for u in upstreams if self.accepts_requests(u.incarnation)]

    def resumes_at(self, upstreams: Iterable[UpstreamIncarnation]) -> Deadline | None:
        """Return the first end of a pause, or None if no upstream only pauses."""
        ends = [
            self._paused_until[upstream]
            for upstream in upstreams
            if upstream not in self._leaving and self._is_paused(upstream)
        ]
        return min(ends, default=None)

    def _is_paused(self, upstream: UpstreamIncarnation) -> bool:
        end = self._paused_until.get(upstream)
        return end is not None and self._clock.now() < end

    def _drop_expired(self) -> None:
        forgotten_until = self._clock.now() - _RESUMING_S
        for upstream, end in list(self._paused_until.items()):
            if end <= forgotten_until:
                del self._paused_until[upstream]
