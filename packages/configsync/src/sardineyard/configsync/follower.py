"""Task that owns the document in force, the one that this process applies."""

from __future__ import annotations

import asyncio
import logging
from functools import singledispatchmethod
from typing import TYPE_CHECKING, Any

from returns.result import Failure, Success

from sardineyard.configsync.adoption import (
    STARTUP_WINDOW_S,
    StartupGate,
    Verdict,
    evaluate,
    is_version_conflict,
)
from sardineyard.configsync.messages import (
    DocumentAdopted,
    DocumentOffered,
    DocumentRequested,
    FleetViewChanged,
    SourceSettled,
    StartupWindowEnded,
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
    """Task that adopts and publishes each document greater by version, then digest."""

    def __init__(
        self, platform: Address, clock: Clock, random: Random, meter: ControlMeter
    ) -> None:
        self.mailbox: Mailbox[Any] = Mailbox()
        self._reader = PlatformReader(platform, self.mailbox, clock, random, meter)
        self._subscribers = [self._reader.mailbox]
        self._view_subscribers = [self._reader.mailbox]
        self._clock = clock
        self._gate = StartupGate(deadline_after(clock, STARTUP_WINDOW_S))
        self._current: DocumentAdopted | None = None
        # The greatest document received, by version and then digest. It is not in force
        # while the startup gate is closed.
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
        """Send each change of the fleet view to a mailbox."""
        self._view_subscribers.append(mailbox)

    async def run(self) -> None:
        """Run the platform reader and handle messages until cancelled."""
        loop = asyncio.get_running_loop()
        self._gate.opens_at = deadline_after(self._clock, STARTUP_WINDOW_S)
        timer = loop.call_later(
            STARTUP_WINDOW_S, self.mailbox.offer, StartupWindowEnded()
        )
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
    def _document_offered(self, message: DocumentOffered) -> None:
        verdict = self._evaluate_offer(message.raw, message.origin)
        if message.reply is not None:
            message.reply.send(verdict)

    @_handle.register(SourceSettled)
    def _source_settled(self, message: SourceSettled) -> None:
        self._gate.mark_settled(message.source)

    @_handle.register(StartupWindowEnded)
    def _startup_window_ended(self, message: StartupWindowEnded) -> None:
        # The gate compares the time itself; this message only wakes `run` to publish.
        pass

    @_handle.register(FleetViewChanged)
    def _fleet_view_changed(self, message: FleetViewChanged) -> None:
        for subscriber in self._view_subscribers:
            subscriber.offer(message)

    @_handle.register(DocumentRequested)
    def _document_requested(self, message: DocumentRequested) -> None:
        message.reply.send(self._current)

    def _evaluate_offer(self, raw: bytes, origin: str) -> Verdict | None:
        digest = digest_of(raw)
        greatest_order = self._greatest.order if self._greatest else None
        if greatest_order is not None and digest == greatest_order.digest:
            return Verdict.SAME
        if digest == self._rejected:
            return None
        match decode(raw):
            case Success(document):
                return self._compare_document(document, raw, digest, origin)
            case Failure(violations):
                self._reject(digest, violations, origin)
        return None

    def _compare_document(
        self, document: Document, raw: bytes, digest: DocumentDigest, origin: str
    ) -> Verdict:
        greatest_order = self._greatest.order if self._greatest else None
        order = DocumentOrder(document.version, digest)
        if is_version_conflict(greatest_order, order):
            _logger.warning(
                "two documents have the same version; the greater digest wins",
                extra={
                    "event": "document_race",
                    "version": order.version,
                    "digests": sorted(
                        [order.digest, greatest_order.digest if greatest_order else ""]
                    ),
                    "origin": origin,
                },
            )
        verdict = evaluate(greatest_order, order)
        if verdict is Verdict.ADOPT:
            self._greatest = DocumentAdopted(document, order, raw)
        return verdict

    def _reject(
        self, digest: DocumentDigest, violations: tuple[Violation, ...], origin: str
    ) -> None:
        self._rejected = digest
        _logger.error(
            "rejected an invalid document; the document in force is kept",
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
            "new document in force",
            extra={
                "event": "document_adopted",
                "version": greatest.order.version,
                "digest": greatest.order.digest,
            },
        )
        for subscriber in self._subscribers:
            subscriber.post(greatest)
