"""Idle connections to upstreams."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sardineyard.core.address import Address
from sardineyard.httpio.buffers import BufferBudget
from sardineyard.httpio.call import CallConnection

if TYPE_CHECKING:
    from sardineyard.core.clock import Clock
    from sardineyard.forwarding.config import UpstreamEntry

# Idle time after which a connection is not used where the upstream states none.
_USUAL_IDLE_S = 2.0
# Part of the stated idle timeout that is used: the upstream may close earlier.
_USED_IDLE = 0.6
_MAX_IDLE_PER_UPSTREAM = 8
# Memory for the large bodies of all calls: a fifth of the smallest gateway's 152 MB,
# as each body is copied once on its way.
_MAX_BUFFERED_BYTES = 32 * 2**20


class UpstreamConnections:
    """Keep idle connections of each incarnation of an upstream."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._idle: dict[tuple[str, int], list[tuple[float, CallConnection]]] = {}
        self._is_closing = False
        self._budget = BufferBudget(_MAX_BUFFERED_BYTES)

    @property
    def idle_count(self) -> int:
        """Return the number of idle connections."""
        return sum(len(idle) for idle in self._idle.values())

    def take_idle(self, upstream: UpstreamEntry) -> CallConnection | None:
        """Return an idle connection that the upstream has not closed, if any."""
        idle = self._idle.get(_key(upstream), [])
        while idle:
            used_until, connection = idle.pop()
            if connection.is_quiet and self._clock.now() < used_until:
                return connection
            connection.close()
        return None

    async def open(self, upstream: UpstreamEntry, timeout_s: float) -> CallConnection:
        """Open a connection; raise OSError or TimeoutError."""
        return await CallConnection.open(
            Address(upstream.host, upstream.port), timeout_s, self._budget
        )

    def give_back(self, upstream: UpstreamEntry, connection: CallConnection) -> None:
        """Keep a connection for later, or close it."""
        connection.release_buffers()
        idle = self._idle.setdefault(_key(upstream), [])
        stated = connection.keep_alive_s
        seconds = _USUAL_IDLE_S if stated is None else stated * _USED_IDLE
        if (
            connection.is_reusable
            and seconds > 0
            and not self._is_closing
            and len(idle) < _MAX_IDLE_PER_UPSTREAM
        ):
            idle.append((self._clock.now() + seconds, connection))
        else:
            connection.close()

    def drop_old(self) -> None:
        """Close the connections that will not be used again."""
        now = self._clock.now()
        for key, idle in list(self._idle.items()):
            kept = [pair for pair in idle if pair[0] > now and pair[1].is_quiet]
            for pair in idle:
                if pair not in kept:
                    pair[1].close()
            if kept:
                self._idle[key] = kept
            else:
                del self._idle[key]

    def close(self) -> None:
        """Close all idle connections and keep none from now on."""
        self._is_closing = True
        for idle in self._idle.values():
            for _, connection in idle:
                connection.close()
        self._idle.clear()


def _key(upstream: UpstreamEntry) -> tuple[str, int]:
    return upstream.id, upstream.started_ms
