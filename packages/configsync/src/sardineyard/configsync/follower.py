"""Task that follows the configuration document on the platform."""

from __future__ import annotations

import asyncio
import logging
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from returns.result import Failure, Success

from sardineyard.configsync.messages import DocumentAdopted
from sardineyard.document.codec import decode
from sardineyard.document.order import DocumentOrder, digest_of
from sardineyard.httpio.client import ResponseError, fetch
from sardineyard.httpio.messages import HttpRequest

if TYPE_CHECKING:
    from random import Random

    from sardineyard.core.address import Address
    from sardineyard.core.mailbox import Mailbox

_logger = logging.getLogger(__name__)

_WATCH_S = 20.0
_TIMEOUT_S = 25.0
_FIRST_BACKOFF_S = 0.2
_LONGEST_BACKOFF_S = 10.0


@dataclass(frozen=True, slots=True)
class Candidate:
    """Offer the bytes of a document that may be newer."""

    raw: bytes
    source: str


class ConfigFollower:
    """Own the document in force and publish each newer one."""

    def __init__(
        self, platform: Address, random: Random, subscribers: list[Mailbox[Any]]
    ) -> None:
        self._platform = platform
        self._random = random
        self._subscribers = subscribers
        self._current: DocumentAdopted | None = None

    @property
    def current(self) -> DocumentAdopted | None:
        """Return the document in force, if there is one."""
        return self._current

    async def run(self) -> None:
        """Watch the platform for ever."""
        backoff = _FIRST_BACKOFF_S
        while True:
            if await self._read_once():
                backoff = _FIRST_BACKOFF_S
                continue
            await asyncio.sleep(self._random.uniform(0, backoff))
            backoff = min(backoff * 2, _LONGEST_BACKOFF_S)

    def consider(self, candidate: Candidate) -> None:
        """Adopt a document if it is valid and greater than the one in force."""
        match decode(candidate.raw):
            case Success(document):
                order = DocumentOrder(document.version, digest_of(candidate.raw))
                if self._current is None or order > self._current.order:
                    self._adopt(DocumentAdopted(document, order, candidate.raw))
            case Failure(violations):
                _logger.error(
                    "rejected an invalid document",
                    extra={
                        "event": "document_rejected",
                        "source": candidate.source,
                        "violations": [str(violation) for violation in violations],
                    },
                )

    async def _read_once(self) -> bool:
        after = self._current.order.version if self._current else -1
        target = f"/v1/config?after={after}&wait={_WATCH_S}"
        try:
            response = await fetch(
                self._platform, HttpRequest("GET", target), _TIMEOUT_S
            )
        except (OSError, TimeoutError, ResponseError):
            return False
        if response.status == 200:
            self.consider(Candidate(response.body, "platform"))
        return response.status in (200, 304)

    def _adopt(self, adopted: DocumentAdopted) -> None:
        self._current = adopted
        _logger.info(
            "document in force",
            extra={"event": "document_adopted", "version": adopted.order.version},
        )
        for subscriber in self._subscribers:
            subscriber.post(adopted)
