"""Task that owns the queue in front of the upstream."""

from __future__ import annotations

import asyncio
from collections import Counter, deque
from dataclasses import replace
from functools import singledispatchmethod
from typing import TYPE_CHECKING, Any

from sardineyard.agent.messages import (
    CallEnded,
    CancelRequest,
    Drain,
    ReadLoad,
    ReadQueues,
    SessionClosed,
    Submit,
)
from sardineyard.agent.observe import MeasuredSink
from sardineyard.agent.runner_call import run_call
from sardineyard.configsync.messages import DocumentAdopted
from sardineyard.core.errors import ErrorKind, RequestError
from sardineyard.core.ids import PriorityName
from sardineyard.core.mailbox import Mailbox
from sardineyard.core.requests import CallFailed, Generation, LoadReport
from sardineyard.telemetry.state import QueueView

if TYPE_CHECKING:
    from sardineyard.core.clock import Clock
    from sardineyard.core.ids import Incarnation, RequestId, UpstreamId
    from sardineyard.core.mailbox import Reply
    from sardineyard.runner import Runner
    from sardineyard.telemetry.metrics import AgentMetrics

_DEFAULT_SLOTS = 32


class Scheduler:
    """Start calls on the upstream as slots become free, the most urgent first."""

    def __init__(
        self,
        upstream: UpstreamId,
        incarnation: Incarnation,
        runner: Runner,
        clock: Clock,
        metrics: AgentMetrics,
    ) -> None:
        self.mailbox: Mailbox[Any] = Mailbox()
        self._upstream = upstream
        self._incarnation = incarnation
        self._runner = runner
        self._clock = clock
        self._metrics = metrics
        self._slots = _DEFAULT_SLOTS
        self._urgency: dict[str, int] = {}
        self._queued: deque[Submit] = deque()
        self._running: dict[RequestId, tuple[Submit, asyncio.Task[None]]] = {}
        self._document_version = 0
        self._drained: Reply[None] | None = None

    @property
    def open_requests(self) -> list[RequestId]:
        """Return the ids of the requests that wait or run."""
        waiting = [submit.request.request_id for submit in self._queued]
        return [*self._running, *waiting]

    async def run(self) -> None:
        """Handle messages for ever."""
        while True:
            self._handle(await self.mailbox.receive())
            self._start_calls()
            if self._drained is not None and not self.open_requests:
                self._drained.send(None)

    @singledispatchmethod
    def _handle(self, message: object) -> None:
        raise TypeError(f"unexpected message {type(message).__name__}")

    @_handle.register(Submit)
    def _submit(self, message: Submit) -> None:
        if self._drained is not None:
            _refuse(message, ErrorKind.DRAINING)
        else:
            priority = message.request.priority
            sink = MeasuredSink(message.sink, priority, self._metrics)
            arrived = self._clock.now()
            self._queued.append(replace(message, sink=sink, arrived=arrived))

    @_handle.register(CallEnded)
    def _call_ended(self, message: CallEnded) -> None:
        self._running.pop(message.request_id, None)

    @_handle.register(CancelRequest)
    def _cancel(self, message: CancelRequest) -> None:
        running = self._running.get(message.request_id)
        if running is not None:
            running[1].cancel()
        self._queued = deque(
            submit
            for submit in self._queued
            if submit.request.request_id != message.request_id
        )

    @_handle.register(SessionClosed)
    def _session_closed(self, message: SessionClosed) -> None:
        for submit, task in self._running.values():
            if submit.session == message.session and _is_cancellable(submit):
                task.cancel()
        self._queued = deque(
            submit
            for submit in self._queued
            if submit.session != message.session or not _is_cancellable(submit)
        )

    @_handle.register(ReadLoad)
    def _read_load(self, message: ReadLoad) -> None:
        message.reply.send(
            LoadReport(
                upstream=self._upstream,
                incarnation=self._incarnation,
                draining=self._drained is not None,
                running=len(self._running),
                queued=len(self._queued),
                slots=self._slots,
                document_version=self._document_version,
            )
        )

    @_handle.register(ReadQueues)
    def _read_queues(self, message: ReadQueues) -> None:
        queued = Counter(submit.request.priority for submit in self._queued)
        running = Counter(
            submit.request.priority for submit, _ in self._running.values()
        )
        names = [
            *self._urgency,
            *(queued.keys() | running.keys()) - self._urgency.keys(),
        ]
        message.reply.send(
            tuple(
                QueueView(
                    priority=PriorityName(name),
                    queued=queued[PriorityName(name)],
                    running=running[PriorityName(name)],
                )
                for name in names
            )
        )

    @_handle.register(DocumentAdopted)
    def _document_adopted(self, message: DocumentAdopted) -> None:
        document = message.document
        self._document_version = document.version
        self._urgency = {
            priority.name: position
            for position, priority in enumerate(document.priorities)
        }
        for upstream in document.upstreams:
            if upstream.id == self._upstream:
                self._slots = upstream.slots

    @_handle.register(Drain)
    def _drain(self, message: Drain) -> None:
        self._drained = message.reply

    def _start_calls(self) -> None:
        while self._queued and len(self._running) < self._slots:
            submit = min(self._queued, key=self._urgency_of)
            self._queued.remove(submit)
            if submit.request.deadline <= self._clock.now():
                _refuse(submit, ErrorKind.DEADLINE_UNREACHABLE)
                continue
            waited = self._clock.now() - submit.arrived
            self._metrics.left_queue(submit.request.priority, waited)
            task = asyncio.get_running_loop().create_task(self._run(submit))
            self._running[submit.request.request_id] = (submit, task)

    def _urgency_of(self, submit: Submit) -> int:
        return self._urgency.get(submit.request.priority, len(self._urgency))

    async def _run(self, submit: Submit) -> None:
        try:
            await run_call(self._runner, submit.request, submit.sink, self._clock)
        finally:
            self.mailbox.post(CallEnded(submit.request.request_id))


def _refuse(submit: Submit, kind: ErrorKind) -> None:
    submit.sink.offer(CallFailed(submit.request.request_id, RequestError(kind)))


def _is_cancellable(submit: Submit) -> bool:
    # A call with a key runs on after its session ended: its answer is kept for
    # the next attempt of the caller.
    request = submit.request
    return isinstance(request, Generation) or request.idempotency_key is None
