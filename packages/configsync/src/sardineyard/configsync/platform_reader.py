"""Task that owns the connection to the platform and reads documents."""

from __future__ import annotations

import asyncio
from functools import singledispatchmethod
from typing import TYPE_CHECKING, Any

from sardineyard.configsync.adoption import Source, Verdict
from sardineyard.configsync.messages import (
    DocumentAdopted,
    DocumentOffered,
    FleetViewChanged,
    SourceSettled,
)
from sardineyard.configsync.read_schedule import (
    DueStep,
    FleetView,
    Role,
    first_read,
    next_read,
    when_due,
)
from sardineyard.core.control import ControlChannel, Direction
from sardineyard.core.mailbox import Mailbox, Reply
from sardineyard.httpio.client import ResponseError, fetch
from sardineyard.httpio.messages import HttpRequest

if TYPE_CHECKING:
    from random import Random

    from sardineyard.configsync.read_schedule import ReadPlan
    from sardineyard.core.address import Address
    from sardineyard.core.clock import Clock
    from sardineyard.core.control import ControlMeter

# Time that the platform may take beyond the wait that was asked for.
_ANSWER_TIMEOUT_S = 2.0
# The peers tell the size of the fleet within this time or the read goes on without.
_FIRST_VIEW_TIMEOUT_S = 1.0


class PlatformReader:
    """Read the platform as often as the fleet's budget allows."""

    def __init__(
        self,
        platform: Address,
        follower: Mailbox[Any],
        clock: Clock,
        random: Random,
        meter: ControlMeter,
    ) -> None:
        self.mailbox: Mailbox[Any] = Mailbox()
        self._platform = platform
        self._follower = follower
        self._clock = clock
        self._random = random
        self._meter = meter
        self._view = FleetView(1, Role.WATCHER)
        self._version = -1
        self._failures = 0
        self._has_read = False

    async def run(self) -> None:
        """Read for ever."""
        await self._receive_first_view()
        planned, plan = self._view, first_read(self._view, self._random)
        while True:
            await asyncio.sleep(plan.delay_s)
            self._receive_waiting()
            step = when_due(planned, self._view, has_document=self._version >= 0)
            planned = self._view
            if step is DueStep.PLAN_AGAIN and not self._has_read:
                plan = first_read(self._view, self._random)
                continue
            if step is DueStep.READ:
                await self._read(plan)
                self._receive_waiting()
            plan = next_read(self._view, self._failures, self._random)

    @singledispatchmethod
    def _handle(self, message: object) -> None:
        raise TypeError(f"unexpected message {type(message).__name__}")

    @_handle.register(FleetViewChanged)
    def _fleet_view(self, message: FleetViewChanged) -> None:
        self._view = message.view

    @_handle.register(DocumentAdopted)
    def _adopted(self, message: DocumentAdopted) -> None:
        self._version = message.order.version

    async def _receive_first_view(self) -> None:
        try:
            async with asyncio.timeout(_FIRST_VIEW_TIMEOUT_S):
                self._handle(await self.mailbox.receive())
        except TimeoutError:
            pass

    def _receive_waiting(self) -> None:
        while (message := self.mailbox.take()) is not None:
            self._handle(message)

    async def _read(self, plan: ReadPlan) -> None:
        started = self._clock.now()
        verdict = await self._request(plan)
        elapsed = self._clock.now() - started
        # An answer that changes nothing and comes at once would repeat without a
        # pause; it counts as a failure, which adds a delay.
        is_progress = verdict is Verdict.ADOPT or (
            verdict is Verdict.SAME and elapsed >= plan.wait_s / 2
        )
        self._failures = 0 if is_progress else self._failures + 1
        if not self._has_read:
            self._has_read = True
            self._follower.post(SourceSettled(Source.PLATFORM))

    async def _request(self, plan: ReadPlan) -> Verdict | None:
        target = f"/v1/config?after={self._version}&wait={plan.wait_s}"
        timeout_s = plan.wait_s + _ANSWER_TIMEOUT_S
        try:
            request = HttpRequest("GET", target)
            response = await fetch(self._platform, request, timeout_s)
        except (OSError, TimeoutError, ResponseError):
            return None
        channel = ControlChannel.PLATFORM
        self._meter.control_message(channel, Direction.SENT, len(target))
        self._meter.control_message(channel, Direction.RECEIVED, len(response.body))
        if response.status == 304:
            return Verdict.SAME
        if response.status != 200:
            return None
        reply: Reply[Verdict | None] = Reply()
        self._follower.post(DocumentOffered(response.body, "platform", reply))
        return await reply.wait()
