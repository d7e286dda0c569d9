"""Pool of idle connections to upstreams."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from sardineyard.core.address import Address
from sardineyard.httpio.buffers import BufferBudget
from sardineyard.httpio.call import CallConnection

if TYPE_CHECKING:
    from sardineyard.core.clock import Clock
    from sardineyard.core.ids import UpstreamIncarnation
    from sardineyard.forwarding.config import UpstreamEntry

# Idle time after which a connection is not reused if the upstream states none.
_DEFAULT_IDLE_TIMEOUT_S = 2.0
# Fraction of the idle timeout stated by the upstream during which a connection is
# reused: the upstream may close it early.
_IDLE_TIMEOUT_FRACTION = 0.6
_MAX_IDLE_PER_UPSTREAM = 8
# Connecting within a region takes 2 ms; a process that has ended refuses at once.
_PROBE_TIMEOUT_S = 0.3
# A process that ends may close its open connections before its listener, so a probe is
# held for this time and repeated if its connection ends as well.
_PROBE_HOLD_S = 0.03
_MAX_PROBES = 3
# Memory for large response bodies, over all calls: about a fifth of the 152 MB of the
# smallest gateway, because each body is copied once while it is forwarded.
_MAX_BUFFERED_BYTES = 32 * 2**20


class UpstreamConnections:
    """Pool of idle connections, kept separately for each incarnation of an upstream."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._idle: dict[UpstreamIncarnation, list[tuple[float, CallConnection]]] = {}
        self._is_closing = False
        self._budget = BufferBudget(_MAX_BUFFERED_BYTES)
        # Probes in progress: all calls that an upstream loses at once share one.
        self._probes: dict[UpstreamIncarnation, asyncio.Task[bool]] = {}

    @property
    def idle_count(self) -> int:
        """Return the number of idle connections."""
        return sum(len(idle) for idle in self._idle.values())

    def take_idle(self, upstream: UpstreamEntry) -> CallConnection | None:
        """Return an idle connection that is still usable, if any."""
        idle = self._idle.get(upstream.incarnation, [])
        while idle:
            reusable_until, connection = idle.pop()
            if connection.is_idle and self._clock.now() < reusable_until:
                # An upstream may be silent for as long as it works on the request.
                connection.stop_probes()
                return connection
            connection.close()
        return None

    async def open(self, upstream: UpstreamEntry, timeout_s: float) -> CallConnection:
        """Open a connection; raise OSError or TimeoutError."""
        return await CallConnection.open(
            Address(upstream.host, upstream.port), timeout_s, self._budget
        )

    async def has_ended(self, upstream: UpstreamEntry) -> bool:
        """Return whether the upstream refuses connections, as after a crash."""
        key = upstream.incarnation
        probe = self._probes.get(key)
        if probe is None:
            probe = asyncio.create_task(self._refuses_connections(upstream))
            self._probes[key] = probe
            probe.add_done_callback(lambda _: self._probes.pop(key, None))
        return await asyncio.shield(probe)

    async def _refuses_connections(self, upstream: UpstreamEntry) -> bool:
        for _ in range(_MAX_PROBES):
            try:
                connection = await self.open(upstream, _PROBE_TIMEOUT_S)
            except ConnectionRefusedError:
                return True
            except ConnectionResetError:
                continue
            except (OSError, TimeoutError):
                return False
            is_lost = await connection.wait_ended(_PROBE_HOLD_S)
            connection.close()
            if not is_lost:
                return False
        return False

    def release(self, upstream: UpstreamEntry, connection: CallConnection) -> None:
        """Return a connection to the pool, or close it if it cannot be reused."""
        connection.release_buffers()
        idle = self._idle.setdefault(upstream.incarnation, [])
        stated_timeout_s = connection.keep_alive_s
        idle_timeout_s = (
            _DEFAULT_IDLE_TIMEOUT_S
            if stated_timeout_s is None
            else stated_timeout_s * _IDLE_TIMEOUT_FRACTION
        )
        if (
            connection.is_reusable
            and idle_timeout_s > 0
            and not self._is_closing
            and len(idle) < _MAX_IDLE_PER_UPSTREAM
        ):
            # A connection that goes silent while it is idle looks like a sound one.
            connection.start_probes()
            idle.append((self._clock.now() + idle_timeout_s, connection))
        else:
            connection.close()

    def close_expired(self) -> None:
        """Close idle connections that have expired or that the upstream has closed."""
        now = self._clock.now()
        for key, idle in list(self._idle.items()):
            kept = [pair for pair in idle if pair[0] > now and pair[1].is_idle]
            for pair in idle:
                if pair not in kept:
                    pair[1].close()
            if kept:
                self._idle[key] = kept
            else:
                del self._idle[key]

    def close(self) -> None:
        """Close all idle connections; connections released later are closed at once."""
        self._is_closing = True
        for probe in self._probes.values():
            probe.cancel()
        for idle in self._idle.values():
            for _, connection in idle:
                connection.close()
        self._idle.clear()
