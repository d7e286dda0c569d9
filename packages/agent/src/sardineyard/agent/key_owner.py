"""Task that owns the idempotency keys of the upstream.

It runs the call of each key at most once and gives its result to every attempt.
"""

from __future__ import annotations

import asyncio
import logging
from dataclasses import dataclass, replace
from functools import partial, singledispatchmethod
from typing import TYPE_CHECKING, Any

from returns.result import Failure, Success

from sardineyard.agent.key_messages import (
    CheckStart,
    DialBackCompleted,
    DrainKeys,
    KeyedCall,
    KeyedEvent,
    PreviousOwnersReplied,
    RequestSurrender,
)
from sardineyard.agent.messages import Submit
from sardineyard.agent.surrender import query_previous_owners
from sardineyard.configsync.messages import DocumentAdopted
from sardineyard.core.address import parse_address
from sardineyard.core.errors import ErrorKind, Outcome, RequestError
from sardineyard.core.ids import Incarnation, RequestId
from sardineyard.core.mailbox import Mailbox, Reply
from sardineyard.core.requests import CallFailed, ServiceResponse
from sardineyard.idempotency.keys import ScopedKey, parse_key
from sardineyard.idempotency.lease import AddressLease
from sardineyard.idempotency.messages import (
    Attempt,
    Finish,
    Join,
    QueryPreviousOwners,
    Refuse,
    Replay,
    Run,
    StoredResponse,
)
from sardineyard.idempotency.ownership import Ownership
from sardineyard.idempotency.table import KeyLimits, KeyTable

if TYPE_CHECKING:
    from sardineyard.agent.messages import CallSink, SessionId
    from sardineyard.core.address import Address
    from sardineyard.core.clock import Clock, WallTime
    from sardineyard.core.ids import UpstreamId
    from sardineyard.core.requests import CallEvent, ServiceCall
    from sardineyard.idempotency.lease import LeaseChange
    from sardineyard.idempotency.messages import Ticket
    from sardineyard.wire.dialer import Dialer

_logger = logging.getLogger(__name__)


@dataclass(slots=True)
class _OpenCall:
    """Call that runs under a ticket, with the attempts that wait for its result."""

    call: ServiceCall
    attempt: Attempt
    session: SessionId
    waiters: list[tuple[RequestId, CallSink]]
    started: bool = False


@dataclass(frozen=True, slots=True)
class _KeySink:
    """Sink that posts the events of a call to the task that owns its key."""

    ticket: Ticket
    mailbox: Mailbox[Any]

    def offer(self, message: CallEvent) -> bool:
        """Post an event; return False if the mailbox is full."""
        return self.mailbox.offer(KeyedEvent(self.ticket, message))


class KeyOwner:
    """Apply the decisions of the key table: run, join, replay or refuse an attempt."""

    def __init__(
        self,
        scheduler: Mailbox[Any],
        upstream: UpstreamId,
        incarnation: Incarnation,
        clock: Clock,
        dialer: Dialer,
    ) -> None:
        self._dialer = dialer
        self.mailbox: Mailbox[Any] = Mailbox()
        self._scheduler = scheduler
        self._upstream = upstream
        self._table = KeyTable(clock, upstream, AddressLease(clock, incarnation))
        self._open_calls: dict[Ticket, _OpenCall] = {}
        self._owner_queries: set[asyncio.Task[None]] = set()
        self._drain_reply: Reply[None] | None = None
        self._lease_change: LeaseChange | None = None
        self._addresses: dict[UpstreamId, Address] | None = None

    @property
    def accepts_new_keys(self) -> bool:
        """Return whether the lease is held and the history cutoff is in the past."""
        return self._table.accepts_new_keys

    @property
    def lease_held(self) -> bool:
        """Return whether the address lease is held, which keyed calls require."""
        return self._table.lease_held

    @property
    def history_cutoff(self) -> WallTime:
        """Return the history cutoff, in seconds since 1970.

        Timed keys created at or before it that are not in memory are refused, because
        their calls may have run.
        """
        return self._table.history_cutoff

    @property
    def key_count(self) -> int:
        """Return the number of keys in memory."""
        return self._table.key_count

    async def run(self) -> None:
        """Handle messages until cancelled."""
        try:
            while True:
                self._handle(await self.mailbox.receive())
                if self._drain_reply is not None and not self._open_calls:
                    self._drain_reply.send(None)
        finally:
            for task in self._owner_queries:
                task.cancel()

    @singledispatchmethod
    def _handle(self, message: object) -> None:
        raise TypeError(f"unexpected message {type(message).__name__}")

    @_handle.register(DocumentAdopted)
    def _document_adopted(self, message: DocumentAdopted) -> None:
        document = message.document
        limits = KeyLimits(
            document.limits.max_clock_skew_s, document.limits.untimed_key_window_s
        )
        ownership = Ownership.from_services(document.services)
        self._table.configure(ownership, limits, document.version)
        self._addresses = {
            upstream.id: parse_address(upstream.agent_address)
            for upstream in document.upstreams
        }

    @_handle.register(DialBackCompleted)
    def _dial_back_completed(self, message: DialBackCompleted) -> None:
        # The history cutoff depends on the clock skew bound, which the document sets.
        if self._addresses is None:
            return
        change = self._table.confirm_lease(message.renewal, message.reached_incarnation)
        if change is not self._lease_change:
            self._lease_change = change
            _logger.info(
                "address lease changed",
                extra={"event": "lease_changed", "change": change.value},
            )

    @_handle.register(KeyedCall)
    def _keyed_call(self, message: KeyedCall) -> None:
        call = message.call
        match parse_key(call.idempotency_key or ""):
            case Success(key):
                scoped = ScopedKey(call.team, call.service, key)
            case Failure(error):
                message.sink.offer(CallFailed(call.request_id, error))
                return
        incarnation = call.incarnation or Incarnation(0)
        attempt = Attempt(scoped, call.fingerprint, call.deadline, incarnation)
        decision = self._table.admit(attempt)
        waiter = (call.request_id, message.sink)
        if isinstance(decision, Run | QueryPreviousOwners):
            open_call = _OpenCall(call, attempt, message.session, [waiter])
            self._open_calls[decision.ticket] = open_call
        self._apply(decision, waiter)

    @_handle.register(PreviousOwnersReplied)
    def _previous_owners_replied(self, message: PreviousOwnersReplied) -> None:
        decision = self._table.resolve(message.ticket, message.replies)
        if isinstance(decision, Run):
            self._apply(decision, None)
            return
        for waiter in self._open_calls.pop(message.ticket).waiters:
            self._apply(decision, waiter)

    @_handle.register(CheckStart)
    def _check_start(self, message: CheckStart) -> None:
        open_call = self._open_calls.get(message.ticket)
        if open_call is None:
            message.reply.send(RequestError(ErrorKind.KEY_UNCERTAIN))
            return
        decision = self._table.start(message.ticket, open_call.attempt)
        open_call.started = isinstance(decision, Run)
        error = decision.error if isinstance(decision, Refuse) else None
        message.reply.send(error)

    @_handle.register(KeyedEvent)
    def _keyed_event(self, message: KeyedEvent) -> None:
        open_call = self._open_calls.pop(message.ticket, None)
        if open_call is None:
            return
        event = message.event
        if isinstance(event, ServiceResponse):
            response = StoredResponse(event.status, event.content_type, event.body)
            self._table.finish(Finish(message.ticket, Outcome.RAN, response))
        elif isinstance(event, CallFailed):
            event = event if open_call.started else _failure_before_start(event)
            self._table.finish(Finish(message.ticket, event.error.outcome))
        for request_id, sink in open_call.waiters:
            sink.offer(_with_request_id(event, request_id))

    @_handle.register(RequestSurrender)
    def _request_surrender(self, message: RequestSurrender) -> None:
        message.reply.send(self._table.surrender(message.query))

    @_handle.register(DrainKeys)
    def _drain(self, message: DrainKeys) -> None:
        self._drain_reply = message.reply

    @singledispatchmethod
    def _apply(self, decision: object, waiter: Any) -> None:
        raise TypeError(f"unexpected decision {type(decision).__name__}")

    @_apply.register(Run)
    def _run(self, decision: Run, waiter: Any) -> None:
        open_call = self._open_calls[decision.ticket]
        # The run has its own request id, so that an attempt that is cancelled does not
        # cancel the call for other attempts that joined it.
        request_id = RequestId(f"{open_call.call.request_id}.run")
        call = replace(open_call.call, request_id=request_id)
        sink = _KeySink(decision.ticket, self.mailbox)
        permit = partial(self._permit, decision.ticket)
        self._scheduler.post(Submit(call, sink, open_call.session, permit=permit))

    @_apply.register(QueryPreviousOwners)
    def _query_previous(self, decision: QueryPreviousOwners, waiter: Any) -> None:
        addresses = [(self._addresses or {}).get(owner) for owner in decision.owners]
        task = asyncio.get_running_loop().create_task(
            query_previous_owners(
                decision, addresses, self._upstream, self.mailbox, self._dialer
            )
        )
        self._owner_queries.add(task)
        task.add_done_callback(self._owner_queries.discard)

    @_apply.register(Join)
    def _join(self, decision: Join, waiter: tuple[RequestId, CallSink]) -> None:
        self._open_calls[decision.ticket].waiters.append(waiter)

    @_apply.register(Replay)
    def _replay(self, decision: Replay, waiter: tuple[RequestId, CallSink]) -> None:
        request_id, sink = waiter
        stored = decision.answer
        sink.offer(
            ServiceResponse(
                request_id,
                stored.status,
                stored.content_type,
                stored.body,
                replayed=True,
            )
        )

    @_apply.register(Refuse)
    def _refuse(self, decision: Refuse, waiter: tuple[RequestId, CallSink]) -> None:
        request_id, sink = waiter
        sink.offer(CallFailed(request_id, decision.error))

    async def _permit(self, ticket: Ticket) -> RequestError | None:
        reply: Reply[RequestError | None] = Reply()
        self.mailbox.post(CheckStart(ticket, reply))
        return await reply.wait()


def _with_request_id(event: CallEvent, request_id: RequestId) -> CallEvent:
    assert isinstance(event, ServiceResponse | CallFailed)
    return replace(event, request_id=request_id)


def _failure_before_start(event: CallFailed) -> CallFailed:
    """Convert a failure to one with the outcome `not_run`.

    The call never passed the final check, so none of it reached the upstream.
    """
    if event.error.outcome is Outcome.NOT_RUN:
        return event
    kind = ErrorKind.DEADLINE_UNREACHABLE
    if event.error.kind is not ErrorKind.DEADLINE_EXCEEDED:
        kind = ErrorKind.OVERLOADED
    return replace(event, error=RequestError(kind, event.error.kind.value))
