"""Stand-in for a group of model runners (ranks) that execute each pass together."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from messages import encode
from names import HEADER
from runner import Arrival, Runner

if TYPE_CHECKING:
    from messages import Message

_SLOTS = 6
_QUEUED = 20
# Time for which all ranks stall if one of them is dead, and to form a group again.
_STALL_S = 1.5
_FORM_S = 0.6


class _BrokenError(Exception):
    """The group was broken while a request waited or ran."""


@dataclass(slots=True)
class Group:
    """State that the ranks of one group have in common."""

    ranks: list[Rank] = field(default_factory=list)
    is_stalled: bool = False
    is_broken: bool = False
    epoch: int = 1
    # Rank that broke the group.
    at_fault: str = ""

    async def lose(self, lost: list[Rank]) -> None:
        """Crash ranks; the others stall, and then cut their work off."""
        self.is_stalled, self.at_fault = True, lost[0].id
        for rank in lost:
            self.ranks.remove(rank)
            await rank.kill()
        await asyncio.sleep(_STALL_S)
        self.is_stalled, self.is_broken = False, True
        self.epoch += 1

    async def form(self) -> None:
        """Open the group again, with the ranks that it has now."""
        await asyncio.sleep(_FORM_S)
        self.is_broken = False

    async def work(self, seconds: float) -> None:
        """Wait for a time in which passes are executed."""
        epoch, end = self.epoch, time.monotonic() + seconds
        while self.is_stalled or time.monotonic() < end:
            await asyncio.sleep(0.02)
            if self.epoch != epoch or self.is_broken:
                raise _BrokenError


class Rank(Runner):
    """Rank that answers each request as a whole, once all of it is generated."""

    group: Group
    _slots: asyncio.Semaphore
    _taken = 0

    async def start(self) -> None:
        """Start to serve and to write heartbeats."""
        self._slots = asyncio.Semaphore(_SLOTS)
        self.group.ranks.append(self)
        await super().start()

    async def _answer(self, request: Message) -> bytes:
        request_id = request.header(HEADER["attempt_id"])
        headers = {HEADER["attempt_id"]: request_id}
        if request.header(HEADER["expect_runner"]) not in ("", self.id):
            return encode("HTTP/1.1 421 Other", headers)
        if self.group.is_broken or self._taken >= _SLOTS + _QUEUED:
            return self._not_run(headers)
        tenant = request.header(HEADER["tenant"])
        self.arrivals.append(
            Arrival(request_id, tenant, self.id, self.service, time.monotonic())
        )
        epoch = self.group.epoch
        self._taken += 1
        try:
            async with self._slots:
                if self.group.epoch != epoch:
                    return self._not_run(headers)
                self.ran.append(request_id)
                await self.group.work(self._work_s)
        except _BrokenError:
            # The work is cut off.
            raise ConnectionResetError("the group is broken") from None
        finally:
            self._taken -= 1
        self.answered.add(request_id)
        headers[HEADER["seal"]] = f"{self.id}.{len(self.ran)}"
        return encode("HTTP/1.1 200 OK", headers, f"{request_id} drafted".encode())

    def _not_run(self, headers: dict[str, str]) -> bytes:
        at_fault = self.group.at_fault if self.group.is_broken else self.id
        headers = {
            **headers,
            HEADER["not_executed"]: "1",
            HEADER["at_fault"]: at_fault,
        }
        return encode("HTTP/1.1 503 Not run", headers)
