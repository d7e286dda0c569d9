"""The states of the upstreams, as one process derives them from evidence."""

from __future__ import annotations

from dataclasses import dataclass
from functools import singledispatchmethod
from typing import TYPE_CHECKING

from sardineyard.core.states import UpstreamState
from sardineyard.membership.evidence import (
    Heartbeat,
    ProcessPaused,
    SessionDown,
    SessionUp,
    VmReport,
    VmState,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sardineyard.core.clock import Clock
    from sardineyard.core.ids import Incarnation, UpstreamId
    from sardineyard.membership.evidence import Evidence

# Silence in seconds after which an upstream is suspect. Heartbeats arrive every 0.5 s,
# and a silent session is closed after 2 s.
SUSPECT_AFTER_S = 2.5
# Silence in seconds after which an upstream that is missing from the VM list is gone.
GONE_AFTER_S = 10.0

# Silence in seconds up to which a suspect upstream belongs to the last known set: the
# upstreams that stay in use while none is live, as the fault may be on the local side.
# The limit keeps a real loss of most upstreams from delaying requests for ever.
MAX_SUSPECT_SILENCE_S = 15.0

_NEVER = float("-inf")


@dataclass(slots=True)
class _Record:
    incarnation: Incarnation | None = None
    last_seen_at: float = _NEVER
    is_connected: bool = False
    is_draining: bool = False
    vm_state: VmState = VmState.UNKNOWN


class MembershipTable:
    """Table that derives the state of each upstream from evidence."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._records: dict[UpstreamId, _Record] = {}

    def configure(self, upstreams: Iterable[UpstreamId]) -> None:
        """Set the upstreams, and keep the evidence about those that remain."""
        self._records = {
            upstream: self._records.get(upstream, _Record()) for upstream in upstreams
        }

    def reset(self, upstream: UpstreamId) -> None:
        """Discard the evidence about an upstream whose address has changed."""
        if upstream in self._records:
            self._records[upstream] = _Record()

    def state(self, upstream: UpstreamId) -> UpstreamState:
        """Return the state of an upstream according to the evidence."""
        record = self._records.get(upstream)
        if record is None:
            return UpstreamState.GONE
        silence_s = self._clock.now() - record.last_seen_at
        if not record.is_connected or silence_s > SUSPECT_AFTER_S:
            if record.vm_state is VmState.ABSENT and silence_s > GONE_AFTER_S:
                return UpstreamState.GONE
            if not _is_leaving(record):
                return UpstreamState.SUSPECT
        return UpstreamState.LEAVING if _is_leaving(record) else UpstreamState.LIVE

    def incarnation(self, upstream: UpstreamId) -> Incarnation | None:
        """Return the last known incarnation, or None if no session was ever open."""
        record = self._records.get(upstream)
        return record.incarnation if record else None

    def routing_state(self, upstream: UpstreamId) -> UpstreamState:
        """Return the state that routing uses.

        An upstream to which no session was ever open is treated as gone. So is a
        suspect upstream that has been silent for too long.
        """
        if self.incarnation(upstream) is None:
            # A request is addressed to an incarnation of the upstream.
            return UpstreamState.GONE
        state = self.state(upstream)
        if state is UpstreamState.SUSPECT:
            silence_s = self._clock.now() - self._records[upstream].last_seen_at
            if silence_s >= MAX_SUSPECT_SILENCE_S:
                return UpstreamState.GONE
        return state

    @singledispatchmethod
    def apply(self, evidence: Evidence) -> None:
        """Update the table from one piece of evidence."""
        raise TypeError(f"unknown evidence {type(evidence).__name__}")

    @apply.register(SessionUp)
    def _session_up(self, evidence: SessionUp) -> None:
        record = self._records.get(evidence.upstream)
        if record is None:
            return
        if evidence.incarnation != record.incarnation:
            # The report of draining came from the previous incarnation.
            record.is_draining = False
        record.incarnation = evidence.incarnation
        record.last_seen_at = self._clock.now()
        record.is_connected = True

    @apply.register(Heartbeat)
    def _heartbeat(self, evidence: Heartbeat) -> None:
        record = self._records.get(evidence.upstream)
        if record is None or evidence.incarnation != record.incarnation:
            return
        record.last_seen_at = self._clock.now()
        record.is_draining = evidence.draining

    @apply.register(SessionDown)
    def _session_down(self, evidence: SessionDown) -> None:
        record = self._records.get(evidence.upstream)
        if record is not None:
            record.is_connected = False

    @apply.register(VmReport)
    def _vm_report(self, evidence: VmReport) -> None:
        for upstream, record in self._records.items():
            if upstream in evidence.leaving:
                record.vm_state = VmState.LEAVING
            elif upstream in evidence.live:
                record.vm_state = VmState.LIVE
            else:
                record.vm_state = VmState.ABSENT

    @apply.register(ProcessPaused)
    def _process_paused(self, evidence: ProcessPaused) -> None:
        # The pause kept this process from receiving heartbeats, so it is not silence.
        for record in self._records.values():
            record.last_seen_at += evidence.paused_s


def _is_leaving(record: _Record) -> bool:
    return record.is_draining or record.vm_state is VmState.LEAVING
