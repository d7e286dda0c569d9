"""Typed queues for the messages between the tasks of a process."""

from __future__ import annotations

import asyncio
from typing import Generic, TypeVar

Message = TypeVar("Message")
Value = TypeVar("Value")

DEFAULT_CAPACITY = 10_000


class MailboxFullError(Exception):
    """The mailbox is full and did not accept the message."""


class Mailbox(Generic[Message]):
    """Bounded queue of the messages to one task."""

    def __init__(self, capacity: int = DEFAULT_CAPACITY) -> None:
        self._queue: asyncio.Queue[Message] = asyncio.Queue(capacity)

    @property
    def depth(self) -> int:
        """Return the number of queued messages."""
        return self._queue.qsize()

    def post(self, message: Message) -> None:
        """Add a message; raise MailboxFullError if the mailbox is full."""
        try:
            self._queue.put_nowait(message)
        except asyncio.QueueFull:
            raise MailboxFullError from None

    def offer(self, message: Message) -> bool:
        """Add a message unless the mailbox is full; return whether it was added."""
        try:
            self._queue.put_nowait(message)
        except asyncio.QueueFull:
            return False
        return True

    async def receive(self) -> Message:
        """Wait for the next message and remove it."""
        return await self._queue.get()

    def receive_nowait(self) -> Message | None:
        """Remove and return the next message, or return None if there is none."""
        try:
            return self._queue.get_nowait()
        except asyncio.QueueEmpty:
            return None


class Reply(Generic[Value]):
    """One-shot channel for the reply to a request message."""

    def __init__(self) -> None:
        self._future: asyncio.Future[Value] = asyncio.get_running_loop().create_future()

    @property
    def done(self) -> bool:
        """Return whether the reply was sent or the requester no longer waits."""
        return self._future.done()

    def send(self, value: Value) -> None:
        """Send the reply; do nothing if the requester no longer waits."""
        if not self._future.done():
            self._future.set_result(value)

    async def wait(self) -> Value:
        """Wait for the reply."""
        return await self._future
