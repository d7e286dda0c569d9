"""Task that owns the quarantine: what crashes upstreams, seen here and by peers."""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from functools import singledispatchmethod
from typing import TYPE_CHECKING

from sardineyard.catalog.messages import CatalogChanged, PeerStatements
from sardineyard.core.clock import deadline_after
from sardineyard.core.mailbox import Mailbox
from sardineyard.forwarding.quarantine import Quarantine
from sardineyard.gateway.messages import (
    CallUnfinished,
    RefusedTraitsChanged,
    RequestCompleted,
    RequestStarted,
    UpstreamCrashed,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sardineyard.core.clock import Clock, Deadline
    from sardineyard.core.ids import UpstreamIncarnation
    from sardineyard.forwarding.traits import RefusedTraits, Trait, TraitStatement

_logger = logging.getLogger(__name__)

# Interval at which expired findings are looked for.
_EXPIRY_CHECK_S = 1.0
# Time after a call in which the removal of its upstream shows that it had ended: its
# entry is removed after 3.6 s without a heartbeat, and a watch may be late.
_REMOVAL_TIMEOUT_S = 6.0
_MAX_UNFINISHED_CALLS = 1_000


class QuarantineKeeper:
    """Owner of the quarantine, which tells a subscriber which traits are refused."""

    def __init__(self, clock: Clock, subscriber: Mailbox[object]) -> None:
        self.mailbox: Mailbox[object] = Mailbox()
        self._clock = clock
        self._quarantine = Quarantine(clock)
        self._subscriber = subscriber
        self._refused: RefusedTraits = {}
        self._listed: frozenset[UpstreamIncarnation] = frozenset()
        self._draining: frozenset[UpstreamIncarnation] = frozenset()
        # Calls whose upstream may have ended, each with the end of its removal timeout.
        self._unfinished: deque[tuple[Deadline, CallUnfinished]] = deque(
            maxlen=_MAX_UNFINISHED_CALLS
        )
        self._next_check = deadline_after(clock, _EXPIRY_CHECK_S)

    @property
    def refused(self) -> RefusedTraits:
        """Return the traits whose requests are refused."""
        return self._refused

    def statements(self) -> tuple[TraitStatement, ...]:
        """Return the findings of this process for its peers."""
        return self._quarantine.statements()

    async def run(self) -> None:
        """Handle messages until cancelled."""
        while True:
            try:
                async with asyncio.timeout(_EXPIRY_CHECK_S):
                    self._handle(await self.mailbox.receive())
            except TimeoutError:
                pass
            if self._clock.now() >= self._next_check:
                self._publish()

    @singledispatchmethod
    def _handle(self, message: object) -> None:
        raise TypeError(f"unexpected message {type(message).__name__}")

    @_handle.register(RequestStarted)
    def _request_started(self, message: RequestStarted) -> None:
        # The request may still crash the upstream, whereas the parts of its prompt have
        # been read.
        self._record_success(message.traits.prompt_parts)

    @_handle.register(RequestCompleted)
    def _request_completed(self, message: RequestCompleted) -> None:
        self._record_success(message.traits)

    @_handle.register(UpstreamCrashed)
    def _upstream_crashed(self, message: UpstreamCrashed) -> None:
        suspected = self._quarantine.record_crash(
            message.traits, message.call_started_at, message.upstream
        )
        known_crashes = self._quarantine.witnesses(message.traits.request)
        _logger.warning(
            "upstream crashed while it ran a request",
            extra={
                "event": "upstream_crashed",
                "request_id": message.request_id,
                "upstream": message.upstream[0],
                "suspected": [str(trait) for trait in suspected],
                "crashes": [self._quarantine.crash_count(t) for t in suspected],
                "witnesses": [self._quarantine.witnesses(t) for t in suspected],
                "known_crashes": known_crashes,
            },
        )
        self._publish()
        if message.reply is not None:
            message.reply.send(known_crashes)

    @_handle.register(CallUnfinished)
    def _call_unfinished(self, message: CallUnfinished) -> None:
        if message.upstream in self._listed or message.upstream in self._draining:
            deadline = deadline_after(self._clock, _REMOVAL_TIMEOUT_S)
            self._unfinished.append((deadline, message))
        else:
            self._removed_upstream_crashed(message)

    @_handle.register(CatalogChanged)
    def _catalog_changed(self, message: CatalogChanged) -> None:
        self._listed = frozenset(
            entry.incarnation
            for entries in message.upstreams.values()
            for entry in entries
        )
        self._draining = message.draining
        now = self._clock.now()
        calls = list(self._unfinished)
        self._unfinished.clear()
        for deadline, call in calls:
            if now >= deadline or call.upstream in self._draining:
                continue
            if call.upstream in self._listed:
                self._unfinished.append((deadline, call))
            else:
                self._removed_upstream_crashed(call)

    @_handle.register(PeerStatements)
    def _peer_statements(self, message: PeerStatements) -> None:
        self._quarantine.receive(message.peer, message.statements)
        self._publish()

    def _removed_upstream_crashed(self, call: CallUnfinished) -> None:
        """Take a call as lost in a crash: its upstream was removed without draining."""
        self._upstream_crashed(
            UpstreamCrashed(
                call.request_id, call.upstream, call.traits, call.call_started_at
            )
        )

    def _record_success(self, traits: Iterable[Trait]) -> None:
        if self._quarantine.record_success(traits):
            self._publish()

    def _publish(self) -> None:
        self._next_check = deadline_after(self._clock, _EXPIRY_CHECK_S)
        refused = self._quarantine.refused
        if refused == self._refused:
            return
        for trait in refused.keys() - self._refused.keys():
            _logger.warning(
                "refusing requests that crash upstreams",
                extra={
                    "event": "trait_refused",
                    "trait": str(trait),
                    "companions": [str(other) for other in refused[trait]],
                    **self._quarantine.evidence(trait),
                },
            )
        for trait in self._refused.keys() - refused.keys():
            _logger.info(
                "no longer refusing requests with a trait",
                extra={
                    "event": "trait_released",
                    "trait": str(trait),
                    **self._quarantine.evidence(trait),
                },
            )
        self._refused = refused
        self._subscriber.post(RefusedTraitsChanged(refused))
