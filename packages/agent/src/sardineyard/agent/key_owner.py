"""Task that owns the idempotency keys of the upstream."""

from __future__ import annotations

import asyncio
import logging
from dataclasses import dataclass, replace
from functools import partial, singledispatchmethod
from typing import TYPE_CHECKING, Any

from returns.result import Failure, Success

from sardineyard.agent.key_messages import (
    AskStart,
    AskSurrender,
    DrainKeys,
    KeyedCall,
    KeyedEvent,
    LeaseAnswered,
    PreviousAnswered,
)
from sardineyard.agent.messages import Submit
from sardineyard.agent.surrender import ask_previous_owners
from sardineyard.configsync.messages import DocumentAdopted
from sardineyard.core.address import parse_address
from sardineyard.core.errors import ErrorKind, Outcome, RequestError
from sardineyard.core.ids import Incarnation, RequestId
from sardineyard.core.mailbox import Mailbox, Reply
from sardineyard.core.requests import CallFailed, ServiceAnswer
from sardineyard.idempotency.keys import ScopedKey, parse_key
from sardineyard.idempotency.lease import AddressLease
from sardineyard.idempotency.messages import (
    AskPrevious,
    Attempt,
    Finish,
    Join,
    Refuse,
    Replay,
    Run,
    StoredAnswer,
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

_logger = logging.getLogger(__name__)


@dataclass(slots=True)
class _OpenCall:
    """Hold the call of one ticket and everybody who waits for its end."""

    call: ServiceCall
    attempt: Attempt
    session: SessionId
    waiting: list[tuple[RequestId, CallSink]]
    started: bool = False


@dataclass(frozen=True, slots=True)
class _KeySink:
    """Send the events of a call to the task that owns its key."""

    ticket: Ticket
    mailbox: Mailbox[Any]

    def offer(self, message: CallEvent) -> bool:
        """Take an event and return whether there was room for it."""
        return self.mailbox.offer(KeyedEvent(self.ticket, message))


class KeyOwner:
    """Own the key table, and connect it to the scheduler and to other owners."""

    def __init__(
        self,
        scheduler: Mailbox[Any],
        upstream: UpstreamId,
        incarnation: Incarnation,
        clock: Clock,
    ) -> None:
        self.mailbox: Mailbox[Any] = Mailbox()
        self._scheduler = scheduler
        self._upstream = upstream
        self._table = KeyTable(clock, upstream, AddressLease(clock, incarnation))
        self._open: dict[Ticket, _OpenCall] = {}
        self._asking: set[asyncio.Task[None]] = set()
        self._drained: Reply[None] | None = None
        self._lease_change: LeaseChange | None = None
        self._addresses: dict[UpstreamId, Address] | None = None

    @property
    def accepts_new_keys(self) -> bool:
        """Return whether the lease is held and the floor has passed."""
        return self._table.accepts_new_keys

    @property
    def lease_held(self) -> bool:
        """Return whether keyed calls may be accepted now."""
        return self._table.lease_held

    @property
    def floor(self) -> WallTime:
        """Return the creation time up to which unknown timed keys are refused."""
        return self._table.floor

    @property
    def key_count(self) -> int:
        """Return the number of keys in memory."""
        return self._table.key_count

    async def run(self) -> None:
        """Handle messages for ever."""
        try:
            while True:
                self._handle(await self.mailbox.receive())
                if self._drained is not None and not self._open:
                    self._drained.send(None)
        finally:
            for task in self._asking:
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
        ownership = Ownership.of(document.services)
        self._table.follow(ownership, limits, document.version)
        self._addresses = {
            upstream.id: parse_address(upstream.agent_address)
            for upstream in document.upstreams
        }

    @_handle.register(LeaseAnswered)
    def _lease_answered(self, message: LeaseAnswered) -> None:
        # Without a document the clock skew bound, and so the floor, is not known.
        if self._addresses is None:
            return
        change = self._table.confirm_lease(message.renewal, message.answered)
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
        waiting = (call.request_id, message.sink)
        if isinstance(decision, Run | AskPrevious):
            opened = _OpenCall(call, attempt, message.session, [waiting])
            self._open[decision.ticket] = opened
        self._carry_out(decision, waiting)

    @_handle.register(PreviousAnswered)
    def _previous_answered(self, message: PreviousAnswered) -> None:
        decision = self._table.resolve(message.ticket, message.answers)
        if isinstance(decision, Run):
            self._carry_out(decision, None)
            return
        for waiting in self._open.pop(message.ticket).waiting:
            self._carry_out(decision, waiting)

    @_handle.register(AskStart)
    def _ask_start(self, message: AskStart) -> None:
        opened = self._open.get(message.ticket)
        if opened is None:
            message.reply.send(RequestError(ErrorKind.KEY_UNCERTAIN))
            return
        decision = self._table.start(message.ticket, opened.attempt)
        opened.started = isinstance(decision, Run)
        refused = decision.error if isinstance(decision, Refuse) else None
        message.reply.send(refused)

    @_handle.register(KeyedEvent)
    def _keyed_event(self, message: KeyedEvent) -> None:
        opened = self._open.pop(message.ticket, None)
        if opened is None:
            return
        event = message.event
        if isinstance(event, ServiceAnswer):
            answer = StoredAnswer(event.status, event.content_type, event.body)
            self._table.finish(Finish(message.ticket, Outcome.RAN, answer))
        elif isinstance(event, CallFailed):
            event = event if opened.started else _not_started(event)
            self._table.finish(Finish(message.ticket, event.error.outcome))
        for request_id, sink in opened.waiting:
            sink.offer(_addressed(event, request_id))

    @_handle.register(AskSurrender)
    def _ask_surrender(self, message: AskSurrender) -> None:
        message.reply.send(self._table.surrender(message.question))

    @_handle.register(DrainKeys)
    def _drain(self, message: DrainKeys) -> None:
        self._drained = message.reply

    @singledispatchmethod
    def _carry_out(self, decision: object, waiting: Any) -> None:
        raise TypeError(f"unexpected decision {type(decision).__name__}")

    @_carry_out.register(Run)
    def _run(self, decision: Run, waiting: Any) -> None:
        opened = self._open[decision.ticket]
        # The run has an id of its own, because a caller that leaves must not
        # cancel the call for others that joined it.
        request_id = RequestId(f"{opened.call.request_id}.run")
        call = replace(opened.call, request_id=request_id)
        sink = _KeySink(decision.ticket, self.mailbox)
        permit = partial(self._permit, decision.ticket)
        self._scheduler.post(Submit(call, sink, opened.session, permit=permit))

    @_carry_out.register(AskPrevious)
    def _ask_previous(self, decision: AskPrevious, waiting: Any) -> None:
        addresses = [(self._addresses or {}).get(owner) for owner in decision.owners]
        task = asyncio.get_running_loop().create_task(
            ask_previous_owners(decision, addresses, self._upstream, self.mailbox)
        )
        self._asking.add(task)
        task.add_done_callback(self._asking.discard)

    @_carry_out.register(Join)
    def _join(self, decision: Join, waiting: tuple[RequestId, CallSink]) -> None:
        self._open[decision.ticket].waiting.append(waiting)

    @_carry_out.register(Replay)
    def _replay(self, decision: Replay, waiting: tuple[RequestId, CallSink]) -> None:
        request_id, sink = waiting
        kept = decision.answer
        sink.offer(
            ServiceAnswer(
                request_id, kept.status, kept.content_type, kept.body, replayed=True
            )
        )

    @_carry_out.register(Refuse)
    def _refuse(self, decision: Refuse, waiting: tuple[RequestId, CallSink]) -> None:
        request_id, sink = waiting
        sink.offer(CallFailed(request_id, decision.error))

    async def _permit(self, ticket: Ticket) -> RequestError | None:
        reply: Reply[RequestError | None] = Reply()
        self.mailbox.post(AskStart(ticket, reply))
        return await reply.wait()


def _addressed(event: CallEvent, request_id: RequestId) -> CallEvent:
    assert isinstance(event, ServiceAnswer | CallFailed)
    return replace(event, request_id=request_id)


def _not_started(event: CallFailed) -> CallFailed:
    """Return the failure of a call that was never permitted to start."""
    if event.error.outcome is Outcome.NOT_RUN:
        return event
    kind = ErrorKind.DEADLINE_UNREACHABLE
    if event.error.kind is not ErrorKind.DEADLINE_EXCEEDED:
        kind = ErrorKind.OVERLOADED
    return replace(event, error=RequestError(kind, event.error.kind.value))
