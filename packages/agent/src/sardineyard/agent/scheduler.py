"""Task that owns the admission queue of the upstream and starts its calls."""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import dataclass, replace
from functools import partial, singledispatchmethod
from typing import TYPE_CHECKING, Any

from sardineyard.admission.model import QueueLimits, Refused
from sardineyard.admission.queue import AdmissionQueue
from sardineyard.agent.call_metrics import MetricsSink
from sardineyard.agent.messages import (
    CallEnded,
    CancelRequest,
    Drain,
    ExpiryDue,
    ReadLoad,
    ReadQueues,
    SessionClosed,
    Submit,
)
from sardineyard.agent.progress import CallProgress, to_priority_rules, to_work
from sardineyard.agent.runner_call import run_call
from sardineyard.configsync.messages import DocumentAdopted
from sardineyard.core.clock import NO_DEADLINE
from sardineyard.core.errors import ErrorKind, RequestError
from sardineyard.core.mailbox import Mailbox
from sardineyard.core.requests import CallFailed, Generation, LoadReport
from sardineyard.telemetry.state import QueueView

if TYPE_CHECKING:
    from sardineyard.admission.policies import Policy as AdmissionPolicy
    from sardineyard.core.clock import Clock
    from sardineyard.core.ids import (
        Incarnation,
        PriorityName,
        RequestId,
        UpstreamId,
    )
    from sardineyard.core.mailbox import Reply
    from sardineyard.runner import Runner
    from sardineyard.telemetry.metrics import AgentMetrics


@dataclass(frozen=True, slots=True)
class _RunningCall:
    """Call that occupies a slot of the upstream."""

    submit: Submit
    task: asyncio.Task[None]
    progress: CallProgress


class Scheduler:
    """Queue requests and run them in the slots of the upstream."""

    def __init__(
        self,
        upstream: UpstreamId,
        incarnation: Incarnation,
        runner: Runner,
        clock: Clock,
        metrics: AgentMetrics,
        policy: AdmissionPolicy | None = None,
    ) -> None:
        self.mailbox: Mailbox[Any] = Mailbox()
        self._upstream = upstream
        self._incarnation = incarnation
        self._runner = runner
        self._clock = clock
        self._metrics = metrics
        self._queue = AdmissionQueue([], {}, clock, QueueLimits(), policy)
        self._priorities: list[PriorityName] = []
        self._queued: dict[RequestId, Submit] = {}
        self._running: dict[RequestId, _RunningCall] = {}
        self._document_version = 0
        self._drain_reply: Reply[None] | None = None
        self._expiry_timer: asyncio.TimerHandle | None = None

    @property
    def open_requests(self) -> list[RequestId]:
        """Return the ids of the running and the queued requests."""
        return [*self._running, *self._queued]

    async def run(self) -> None:
        """Handle messages until cancelled."""
        while True:
            self._handle(await self.mailbox.receive())
            self._refuse_expired()
            self._start_calls()
            self._schedule_expiry()
            if self._drain_reply is not None and not self.open_requests:
                self._drain_reply.send(None)

    @singledispatchmethod
    def _handle(self, message: object) -> None:
        raise TypeError(f"unexpected message {type(message).__name__}")

    @_handle.register(Submit)
    def _enqueue(self, message: Submit) -> None:
        if self._drain_reply is not None:
            _refuse(message, ErrorKind.DRAINING)
            return
        request = message.request
        decision = self._queue.offer(to_work(request))
        sink = MetricsSink(message.sink, request.priority, self._metrics)
        submit = replace(message, sink=sink, arrived=self._clock.now())
        if isinstance(decision, Refused):
            _refuse(submit, decision.kind)
        else:
            self._queued[request.request_id] = submit

    @_handle.register(ExpiryDue)
    def _expiry_due(self, message: ExpiryDue) -> None:
        """Do nothing: the main loop refuses expired work after every message."""

    @_handle.register(CallEnded)
    def _call_ended(self, message: CallEnded) -> None:
        call = self._running.pop(message.request_id, None)
        if call is not None:
            progress = call.progress
            self._queue.finish(
                message.request_id,
                progress.tokens,
                complete=progress.complete,
                first_token_s=progress.first_token_s,
            )

    @_handle.register(CancelRequest)
    def _cancel(self, message: CancelRequest) -> None:
        call = self._running.get(message.request_id)
        if call is not None:
            call.task.cancel()
        self._remove_queued(message.request_id)

    @_handle.register(SessionClosed)
    def _session_closed(self, message: SessionClosed) -> None:
        for call in self._running.values():
            submit = call.submit
            if submit.session == message.session and _is_cancellable(submit):
                call.task.cancel()
        for request_id, submit in list(self._queued.items()):
            if submit.session == message.session and _is_cancellable(submit):
                self._remove_queued(request_id)

    @_handle.register(ReadLoad)
    def _read_load(self, message: ReadLoad) -> None:
        message.reply.send(
            LoadReport(
                upstream=self._upstream,
                incarnation=self._incarnation,
                draining=self._drain_reply is not None,
                running=len(self._running),
                queued=len(self._queued),
                slots=self._queue.slots,
                document_version=self._document_version,
                expected_wait_s=self._queue.expected_waits(),
            )
        )

    @_handle.register(ReadQueues)
    def _read_queues(self, message: ReadQueues) -> None:
        queued = Counter(submit.request.priority for submit in self._queued.values())
        running = Counter(
            call.submit.request.priority for call in self._running.values()
        )
        names = [
            *self._priorities,
            *(queued.keys() | running.keys()) - set(self._priorities),
        ]
        message.reply.send(
            tuple(
                QueueView(priority=name, queued=queued[name], running=running[name])
                for name in names
            )
        )

    @_handle.register(DocumentAdopted)
    def _document_adopted(self, message: DocumentAdopted) -> None:
        document = message.document
        self._document_version = document.version
        self._priorities = [priority.name for priority in document.priorities]
        slots = self._queue.slots
        for upstream in document.upstreams:
            if upstream.id == self._upstream:
                slots = upstream.slots
        weights = {team.id: team.weight for team in document.teams}
        limits = QueueLimits(slots=slots)
        self._queue.configure(to_priority_rules(document), weights, limits)

    @_handle.register(Drain)
    def _drain(self, message: Drain) -> None:
        self._drain_reply = message.reply

    def _start_calls(self) -> None:
        while (started := self._queue.start_next()) is not None:
            request_id = started.work.request_id
            submit = self._queued.pop(request_id)
            now = self._clock.now()
            self._metrics.record_queue_time(
                submit.request.priority, now - submit.arrived
            )
            progress = CallProgress(submit.sink, self._clock, now)
            task = asyncio.get_running_loop().create_task(
                run_call(
                    self._runner, submit.request, progress, self._clock, submit.permit
                )
            )
            # A done callback, unlike a finally block in the coroutine, also runs if the
            # task is cancelled before it starts.
            task.add_done_callback(partial(self._task_done, request_id))
            self._running[request_id] = _RunningCall(submit, task, progress)

    def _task_done(self, request_id: RequestId, task: asyncio.Task[None]) -> None:
        self.mailbox.post(CallEnded(request_id))

    def _refuse_expired(self) -> None:
        for expired in self._queue.expire():
            submit = self._queued.pop(expired.work.request_id)
            _refuse(submit, expired.kind)

    def _schedule_expiry(self) -> None:
        if self._expiry_timer is not None:
            self._expiry_timer.cancel()
            self._expiry_timer = None
        due = self._queue.next_expiry
        if due is not None and due < NO_DEADLINE:
            delay = max(0.0, due - self._clock.now())
            loop = asyncio.get_running_loop()
            self._expiry_timer = loop.call_later(delay, self.mailbox.offer, ExpiryDue())

    def _remove_queued(self, request_id: RequestId) -> None:
        if self._queue.cancel(request_id) is not None:
            del self._queued[request_id]


def _refuse(submit: Submit, kind: ErrorKind) -> None:
    submit.sink.offer(CallFailed(submit.request.request_id, RequestError(kind)))


def _is_cancellable(submit: Submit) -> bool:
    # A call with an idempotency key continues after its session has ended, because
    # its response is stored for the next attempt of the caller.
    request = submit.request
    return isinstance(request, Generation) or request.idempotency_key is None
