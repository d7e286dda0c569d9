"""Task that owns the document in force."""

from __future__ import annotations

import asyncio
import logging
from functools import singledispatchmethod
from typing import TYPE_CHECKING, Any

from returns.result import Failure, Success

from sardineyard.configsync.adoption import (
    START_WINDOW_S,
    StartGate,
    Verdict,
    is_race,
    judge,
)
from sardineyard.configsync.messages import (
    DocumentAdopted,
    DocumentOffered,
    DocumentRequested,
    FleetViewChanged,
    SourceSettled,
    StartWindowEnded,
)
from sardineyard.configsync.platform_reader import PlatformReader
from sardineyard.core.clock import deadline_after
from sardineyard.core.mailbox import Mailbox
from sardineyard.document.codec import decode
from sardineyard.document.order import DocumentOrder, digest_of

if TYPE_CHECKING:
    from random import Random

    from sardineyard.core.address import Address
    from sardineyard.core.clock import Clock
    from sardineyard.core.control import ControlMeter
    from sardineyard.document.model import Document, DocumentDigest
    from sardineyard.document.violations import Violation

_logger = logging.getLogger(__name__)


class ConfigFollower:
    """Own the document in force and publish each greater one."""

    def __init__(
        self, platform: Address, clock: Clock, random: Random, meter: ControlMeter
    ) -> None:
        self.mailbox: Mailbox[Any] = Mailbox()
        self._reader = PlatformReader(platform, self.mailbox, clock, random, meter)
        self._subscribers = [self._reader.mailbox]
        self._view_subscribers = [self._reader.mailbox]
        self._clock = clock
        self._gate = StartGate(deadline_after(clock, START_WINDOW_S))
        self._current: DocumentAdopted | None = None
        # The greatest document of the start, held back until the gate opens.
        self._greatest: DocumentAdopted | None = None
        self._rejected: DocumentDigest | None = None

    @property
    def current(self) -> DocumentAdopted | None:
        """Return the document in force, if there is one."""
        return self._current

    def subscribe(self, mailbox: Mailbox[Any]) -> None:
        """Send each document that comes into force to a mailbox."""
        self._subscribers.append(mailbox)

    def subscribe_view(self, mailbox: Mailbox[Any]) -> None:
        """Send each change of the view of the fleet to a mailbox."""
        self._view_subscribers.append(mailbox)

    async def run(self) -> None:
        """Read the platform and handle messages for ever."""
        loop = asyncio.get_running_loop()
        self._gate.closes_at = deadline_after(self._clock, START_WINDOW_S)
        timer = loop.call_later(START_WINDOW_S, self.mailbox.offer, StartWindowEnded())
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._reader.run(), name="platform-reader")
                while True:
                    self._handle(await self.mailbox.receive())
                    self._publish()
        finally:
            timer.cancel()

    @singledispatchmethod
    def _handle(self, message: object) -> None:
        raise TypeError(f"unexpected message {type(message).__name__}")

    @_handle.register(DocumentOffered)
    def _offered(self, message: DocumentOffered) -> None:
        verdict = self._consider(message.raw, message.origin)
        if message.reply is not None:
            message.reply.send(verdict)

    @_handle.register(SourceSettled)
    def _settled(self, message: SourceSettled) -> None:
        self._gate.settle(message.source)

    @_handle.register(StartWindowEnded)
    def _window_ended(self, message: StartWindowEnded) -> None:
        # The gate itself compares the time; the message only wakes the task.
        pass

    @_handle.register(FleetViewChanged)
    def _fleet_view(self, message: FleetViewChanged) -> None:
        for subscriber in self._view_subscribers:
            subscriber.offer(message)

    @_handle.register(DocumentRequested)
    def _requested(self, message: DocumentRequested) -> None:
        message.reply.send(self._current)

    def _consider(self, raw: bytes, origin: str) -> Verdict | None:
        digest = digest_of(raw)
        held = self._greatest.order if self._greatest else None
        if held is not None and digest == held.digest:
            return Verdict.SAME
        if digest == self._rejected:
            return None
        match decode(raw):
            case Success(document):
                return self._compare(document, raw, digest, origin)
            case Failure(violations):
                self._reject(digest, violations, origin)
        return None

    def _compare(
        self, document: Document, raw: bytes, digest: DocumentDigest, origin: str
    ) -> Verdict:
        held = self._greatest.order if self._greatest else None
        order = DocumentOrder(document.version, digest)
        if is_race(held, order):
            _logger.warning(
                "two documents have the same version, the greater digest wins",
                extra={
                    "event": "document_race",
                    "version": order.version,
                    "digests": sorted([order.digest, held.digest if held else ""]),
                    "origin": origin,
                },
            )
        verdict = judge(held, order)
        if verdict is Verdict.ADOPT:
            self._greatest = DocumentAdopted(document, order, raw)
        return verdict

    def _reject(
        self, digest: DocumentDigest, violations: tuple[Violation, ...], origin: str
    ) -> None:
        self._rejected = digest
        _logger.error(
            "rejected an invalid document, the one in force stays",
            extra={
                "event": "document_rejected",
                "origin": origin,
                "violations": [str(violation) for violation in violations],
            },
        )

    def _publish(self) -> None:
        greatest = self._greatest
        if greatest is self._current or greatest is None:
            return
        if self._current is None and not self._gate.is_open(self._clock.now()):
            return
        self._current = greatest
        _logger.info(
            "document in force",
            extra={
                "event": "document_adopted",
                "version": greatest.order.version,
                "digest": greatest.order.digest,
            },
        )
        for subscriber in self._subscribers:
            subscriber.post(greatest)
