"""What one process believes about the upstreams."""

from __future__ import annotations

from dataclasses import dataclass
from functools import singledispatchmethod
from typing import TYPE_CHECKING

from sardineyard.core.states import UpstreamState
from sardineyard.membership.evidence import (
    Heartbeat,
    OwnPause,
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

# Heartbeats come every 0.5 s and a silent session is closed after 2 s.
SUSPECT_AFTER_S = 2.5
# An upstream that was silent for this long and is missing from the VM list is gone.
GONE_AFTER_S = 10.0

# An upstream that has been silent for longer is left out of the last known set, so
# that a real loss of most upstreams does not delay requests for ever.
LAST_KNOWN_FOR_S = 15.0

_NEVER = float("-inf")


@dataclass(slots=True)
class _Record:
    incarnation: Incarnation | None = None
    heard_at: float = _NEVER
    is_connected: bool = False
    is_draining: bool = False
    vm: VmState = VmState.UNKNOWN


class MembershipTable:
    """Turn evidence into the state of each upstream."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._records: dict[UpstreamId, _Record] = {}

    def configure(self, upstreams: Iterable[UpstreamId]) -> None:
        """Keep exactly the upstreams that the document lists."""
        self._records = {
            upstream: self._records.get(upstream, _Record()) for upstream in upstreams
        }

    def forget(self, upstream: UpstreamId) -> None:
        """Drop what is known about an upstream, whose address has changed."""
        if upstream in self._records:
            self._records[upstream] = _Record()

    def state(self, upstream: UpstreamId) -> UpstreamState:
        """Return what the evidence says about an upstream."""
        record = self._records.get(upstream)
        if record is None:
            return UpstreamState.GONE
        silence = self._clock.now() - record.heard_at
        if not record.is_connected or silence > SUSPECT_AFTER_S:
            if record.vm is VmState.ABSENT and silence > GONE_AFTER_S:
                return UpstreamState.GONE
            if not _is_leaving(record):
                return UpstreamState.SUSPECT
        return UpstreamState.LEAVING if _is_leaving(record) else UpstreamState.LIVE

    def incarnation(self, upstream: UpstreamId) -> Incarnation | None:
        """Return the incarnation that was heard last."""
        record = self._records.get(upstream)
        return record.incarnation if record else None

    def routing_state(self, upstream: UpstreamId) -> UpstreamState:
        """Return the state on which routing decides.

        A suspect counts as part of the last known set for a while only; one that
        never answered, or not for long, is treated as gone.
        """
        if self.incarnation(upstream) is None:
            # Without an incarnation no request can name its addressee.
            return UpstreamState.GONE
        state = self.state(upstream)
        if state is UpstreamState.SUSPECT:
            silence = self._clock.now() - self._records[upstream].heard_at
            if silence >= LAST_KNOWN_FOR_S:
                return UpstreamState.GONE
        return state

    @singledispatchmethod
    def learn(self, evidence: Evidence) -> None:
        """Take in one piece of evidence."""
        raise TypeError(f"unknown evidence {type(evidence).__name__}")

    @learn.register(SessionUp)
    def _session_up(self, evidence: SessionUp) -> None:
        record = self._records.get(evidence.upstream)
        if record is None:
            return
        if evidence.incarnation != record.incarnation:
            # A new incarnation has not said yet that it drains.
            record.is_draining = False
        record.incarnation = evidence.incarnation
        record.heard_at = self._clock.now()
        record.is_connected = True

    @learn.register(Heartbeat)
    def _heartbeat(self, evidence: Heartbeat) -> None:
        record = self._records.get(evidence.upstream)
        if record is None or evidence.incarnation != record.incarnation:
            return
        record.heard_at = self._clock.now()
        record.is_draining = evidence.draining

    @learn.register(SessionDown)
    def _session_down(self, evidence: SessionDown) -> None:
        record = self._records.get(evidence.upstream)
        if record is not None:
            record.is_connected = False

    @learn.register(VmReport)
    def _vm_report(self, evidence: VmReport) -> None:
        for upstream, record in self._records.items():
            if upstream in evidence.leaving:
                record.vm = VmState.LEAVING
            elif upstream in evidence.live:
                record.vm = VmState.LIVE
            else:
                record.vm = VmState.ABSENT

    @learn.register(OwnPause)
    def _own_pause(self, evidence: OwnPause) -> None:
        # The silence of the pause says nothing about the upstreams.
        for record in self._records.values():
            record.heard_at += evidence.paused_s


def _is_leaving(record: _Record) -> bool:
    return record.is_draining or record.vm is VmState.LEAVING
