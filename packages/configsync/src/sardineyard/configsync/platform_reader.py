"""Task that reads the configuration document from the platform."""

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
    DueAction,
    FleetView,
    Role,
    action_when_due,
    plan_first_read,
    plan_next_read,
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

# Time allowed for a response in addition to the requested long-poll time.
_RESPONSE_TIMEOUT_S = 2.0
# Max wait for the fleet size from peers; the first read is then planned without it.
_FIRST_VIEW_TIMEOUT_S = 1.0


class PlatformReader:
    """Reads the platform at a rate that keeps the whole fleet within its budget."""

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
        """Read the platform until cancelled."""
        await self._receive_first_view()
        planned_view, plan = self._view, plan_first_read(self._view, self._random)
        while True:
            await asyncio.sleep(plan.delay_s)
            self._handle_pending()
            action = action_when_due(
                planned_view, self._view, has_document=self._version >= 0
            )
            planned_view = self._view
            if action is DueAction.REPLAN and not self._has_read:
                plan = plan_first_read(self._view, self._random)
                continue
            if action is DueAction.READ:
                await self._read(plan)
                self._handle_pending()
            plan = plan_next_read(self._view, self._failures, self._random)

    @singledispatchmethod
    def _handle(self, message: object) -> None:
        raise TypeError(f"unexpected message {type(message).__name__}")

    @_handle.register(FleetViewChanged)
    def _fleet_view_changed(self, message: FleetViewChanged) -> None:
        self._view = message.view

    @_handle.register(DocumentAdopted)
    def _document_adopted(self, message: DocumentAdopted) -> None:
        self._version = message.order.version

    async def _receive_first_view(self) -> None:
        try:
            async with asyncio.timeout(_FIRST_VIEW_TIMEOUT_S):
                self._handle(await self.mailbox.receive())
        except TimeoutError:
            pass

    def _handle_pending(self) -> None:
        while (message := self.mailbox.receive_nowait()) is not None:
            self._handle(message)

    async def _read(self, plan: ReadPlan) -> None:
        started = self._clock.now()
        verdict = await self._request_document(plan)
        elapsed = self._clock.now() - started
        # An immediate response without a new document counts as a failure: the
        # resulting backoff prevents a tight loop of reads.
        is_progress = verdict is Verdict.ADOPT or (
            verdict is Verdict.SAME and elapsed >= plan.long_poll_s / 2
        )
        self._failures = 0 if is_progress else self._failures + 1
        if not self._has_read:
            self._has_read = True
            self._follower.post(SourceSettled(Source.PLATFORM))

    async def _request_document(self, plan: ReadPlan) -> Verdict | None:
        target = f"/v1/config?after={self._version}&wait={plan.long_poll_s}"
        timeout_s = plan.long_poll_s + _RESPONSE_TIMEOUT_S
        try:
            request = HttpRequest("GET", target)
            response = await fetch(self._platform, request, timeout_s)
        except (OSError, TimeoutError, ResponseError):
            return None
        channel = ControlChannel.PLATFORM
        self._meter.count_control_message(channel, Direction.SENT, len(target))
        self._meter.count_control_message(
            channel, Direction.RECEIVED, len(response.body)
        )
        if response.status == 304:
            return Verdict.SAME
        if response.status != 200:
            return None
        reply: Reply[Verdict | None] = Reply()
        self._follower.post(DocumentOffered(response.body, "platform", reply))
        return await reply.wait()
