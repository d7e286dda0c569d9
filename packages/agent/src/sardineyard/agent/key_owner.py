"""Task that owns the idempotency keys of the upstream."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from functools import singledispatchmethod
from typing import TYPE_CHECKING, Any

from sardineyard.agent.messages import Submit
from sardineyard.core.mailbox import Mailbox
from sardineyard.core.requests import CallFailed, ServiceAnswer

if TYPE_CHECKING:
    from sardineyard.agent.messages import CallSink, SessionId
    from sardineyard.core.ids import RequestId
    from sardineyard.core.requests import CallEvent, ServiceCall


@dataclass(frozen=True, slots=True)
class KeyedCall:
    """Ask to run a call with a key at most once."""

    call: ServiceCall
    sink: CallSink
    session: SessionId


@dataclass(frozen=True, slots=True)
class KeyedEvent:
    """Carry an event of the call that runs for a key."""

    key: str
    event: CallEvent


@dataclass(slots=True)
class _Entry:
    waiting: list[tuple[RequestId, CallSink]] = field(default_factory=list)
    result: CallEvent | None = None


@dataclass(frozen=True, slots=True)
class _KeySink:
    """Send the events of a call to the task that owns its key."""

    key: str
    mailbox: Mailbox[Any]

    def offer(self, message: CallEvent) -> bool:
        """Take an event and return whether there was room for it."""
        return self.mailbox.offer(KeyedEvent(self.key, message))


class KeyOwner:
    """Let each key run once and give every attempt the same answer."""

    def __init__(self, scheduler: Mailbox[Any]) -> None:
        self.mailbox: Mailbox[Any] = Mailbox()
        self._scheduler = scheduler
        self._entries: dict[str, _Entry] = {}

    async def run(self) -> None:
        """Handle messages for ever."""
        while True:
            self._handle(await self.mailbox.receive())

    @singledispatchmethod
    def _handle(self, message: object) -> None:
        raise TypeError(f"unexpected message {type(message).__name__}")

    @_handle.register(KeyedCall)
    def _keyed_call(self, message: KeyedCall) -> None:
        call = message.call
        key = f"{call.team}/{call.service}/{call.idempotency_key}"
        entry = self._entries.get(key)
        if entry is None:
            entry = self._entries[key] = _Entry()
            sink = _KeySink(key, self.mailbox)
            self._scheduler.post(Submit(call, sink, message.session))
        if entry.result is None:
            entry.waiting.append((call.request_id, message.sink))
        else:
            message.sink.offer(_addressed(entry.result, call.request_id, replayed=True))

    @_handle.register(KeyedEvent)
    def _keyed_event(self, message: KeyedEvent) -> None:
        entry = self._entries[message.key]
        entry.result = message.event
        for request_id, sink in entry.waiting:
            sink.offer(_addressed(message.event, request_id, replayed=False))
        entry.waiting.clear()


def _addressed(event: CallEvent, request_id: RequestId, *, replayed: bool) -> CallEvent:
    if isinstance(event, ServiceAnswer):
        return replace(event, request_id=request_id, replayed=replayed)
    assert isinstance(event, CallFailed)
    return replace(event, request_id=request_id)
