"""Tasks that follow the platform's store."""

from __future__ import annotations

import asyncio
import logging
from dataclasses import dataclass
from typing import TYPE_CHECKING

from sardineyard.catalog.messages import (
    ConfigArrived,
    UpstreamsChanged,
    UpstreamsListed,
)
from sardineyard.forwarding.source import StoreError, StoreFailure

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable
    from random import Random

    from sardineyard.core.clock import Clock
    from sardineyard.core.mailbox import Mailbox
    from sardineyard.core.tasks import TaskSet
    from sardineyard.forwarding.source import CatalogStore, ConfigRead

_logger = logging.getLogger(__name__)

# Bounds of the pause between two failed calls, drawn at random below a bound that
# doubles, so that processes which lost the store together do not return together.
_FIRST_PAUSE_S = 0.1
_LONGEST_PAUSE_S = 1.0
# Pause before the configuration is asked for again while there is none.
_NO_CONFIG_PAUSE_S = 0.25
# Removals that are heard this soon after an outage may be entries that lapsed: what
# happened in an outage is answered at once by the first call that succeeds.
_LAPSE_SUSPICION_S = 0.5


@dataclass(frozen=True, slots=True)
class WatchPace:
    """Say how long to watch, and how long to pause after a change, in seconds."""

    watch_s: float
    pause_s: float
    rng: Random

    def next_watch_s(self) -> float:
        """Return the time of the next watch, drawn so that processes differ."""
        return self.watch_s * self.rng.uniform(0.7, 1.3)


class StoreContact:
    """Keep track of failed calls of one task, and pause between them."""

    def __init__(self, name: str, clock: Clock, rng: Random) -> None:
        self._name = name
        self._clock = clock
        self._rng = rng
        self._failures = 0
        self._lost_at = 0.0
        self._regained_at = float("-inf")
        self._call_began = float("-inf")

    @property
    def is_after_outage(self) -> bool:
        """Return whether the store was out of reach until a moment ago."""
        return self._clock.now() - self._regained_at <= _LAPSE_SUSPICION_S

    def began(self) -> None:
        """Note the start of a call."""
        self._call_began = self._clock.now()

    def succeeded(self) -> None:
        """Note that the call was answered."""
        if self._failures:
            # A watch may have waited for seconds before its change came, and the
            # store was there all the while.
            self._regained_at = self._call_began
            _logger.info(
                "the store answers again",
                extra={
                    "event": "store_regained",
                    "what": self._name,
                    "failed_calls": self._failures,
                    "away_s": round(self._regained_at - self._lost_at, 3),
                },
            )
        self._failures = 0

    async def failed(self, error: StoreError) -> None:
        """Note a failed call and pause."""
        if not self._failures:
            self._lost_at = self._clock.now()
            _logger.warning(
                "the store does not answer; what is known stays in force",
                extra={
                    "event": "store_lost",
                    "what": self._name,
                    "failure": error.failure.value,
                    "reason": str(error),
                },
            )
        bound = min(_LONGEST_PAUSE_S, _FIRST_PAUSE_S * 2**self._failures)
        self._failures = min(self._failures + 1, 10)
        await asyncio.sleep(self._rng.uniform(0.3, 1.0) * bound)


async def follow_config(
    store: CatalogStore,
    mailbox: Mailbox[object],
    contact: StoreContact,
    pace: WatchPace,
) -> None:
    """Send each new configuration to a mailbox until cancelled."""

    async def step(revision: int | None) -> int | None:
        newest: ConfigRead | None
        if revision is None:
            newest = await store.read_config()
            contact.succeeded()
            if newest is None:
                await asyncio.sleep(_NO_CONFIG_PAUSE_S)
                return None
            revision = newest.revision
        else:
            changes = await store.watch_config(revision, pace.next_watch_s())
            contact.succeeded()
            newest, revision = changes.newest, max(revision, changes.revision)
        if newest is not None:
            mailbox.offer(ConfigArrived(newest, "store"))
            await asyncio.sleep(pace.pause_s)
        return revision

    await _follow("config", step, contact)


async def follow_upstreams(
    store: CatalogStore,
    mailbox: Mailbox[object],
    contact: StoreContact,
    pace: WatchPace,
) -> None:
    """Send the upstreams and their changes to a mailbox until cancelled."""

    async def step(revision: int | None) -> int | None:
        if revision is None:
            snapshot = await store.read_upstreams()
            contact.succeeded()
            mailbox.offer(UpstreamsListed(snapshot, contact.is_after_outage))
            await asyncio.sleep(pace.pause_s)
            return snapshot.revision
        changes = await store.watch_upstreams(revision, pace.next_watch_s())
        contact.succeeded()
        mailbox.offer(UpstreamsChanged(changes, contact.is_after_outage))
        if changes.changes:
            await asyncio.sleep(pace.pause_s)
        return max(revision, changes.revision)

    await _follow("upstreams", step, contact)


def start_following(
    tasks: TaskSet,
    store: CatalogStore,
    mailbox: Mailbox[object],
    clock: Clock,
    pace: WatchPace,
) -> None:
    """Start the tasks that send configuration and upstreams to a mailbox."""
    for name, follow in (("config", follow_config), ("upstreams", follow_upstreams)):
        contact = StoreContact(name, clock, pace.rng)
        tasks.start(name, follow(store, mailbox, contact, pace))


async def _follow(
    what: str,
    step: Callable[[int | None], Awaitable[int | None]],
    contact: StoreContact,
) -> None:
    """Read all, then watch from the last revision; read all again where it is lost."""
    revision: int | None = None
    while True:
        contact.began()
        try:
            revision = await step(revision)
        except StoreError as error:
            if error.failure is StoreFailure.HISTORY_LOST and revision is not None:
                _log_history_lost(what, revision)
                revision = None
            else:
                await contact.failed(error)


def _log_history_lost(what: str, revision: int | None) -> None:
    _logger.info(
        "the store no longer keeps the changes since the last one; reading all",
        extra={"event": "store_history_lost", "what": what, "revision": revision},
    )
