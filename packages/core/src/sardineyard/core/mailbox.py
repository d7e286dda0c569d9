"""Typed queues through which tasks talk to each other."""

from __future__ import annotations

import asyncio
from typing import Generic, TypeVar

Message = TypeVar("Message")
Value = TypeVar("Value")

DEFAULT_CAPACITY = 10_000


class MailboxFullError(Exception):
    """Report that a mailbox refused a message because it is full."""


class Mailbox(Generic[Message]):
    """Hold the messages for one task, up to a capacity."""

    def __init__(self, capacity: int = DEFAULT_CAPACITY) -> None:
        self._queue: asyncio.Queue[Message] = asyncio.Queue(capacity)

    @property
    def depth(self) -> int:
        """Return the number of messages that wait."""
        return self._queue.qsize()

    def post(self, message: Message) -> None:
        """Add a message; raise MailboxFullError when the mailbox is full."""
        try:
            self._queue.put_nowait(message)
        except asyncio.QueueFull:
            raise MailboxFullError from None

    def offer(self, message: Message) -> bool:
        """Add a message and return whether there was room for it."""
        try:
            self._queue.put_nowait(message)
        except asyncio.QueueFull:
            return False
        return True

    async def receive(self) -> Message:
        """Wait for the next message."""
        return await self._queue.get()

    def take(self) -> Message | None:
        """Return a waiting message, or None without waiting."""
        try:
            return self._queue.get_nowait()
        except asyncio.QueueEmpty:
            return None


class Reply(Generic[Value]):
    """Carry the answer of one request message back to its sender."""

    def __init__(self) -> None:
        self._future: asyncio.Future[Value] = asyncio.get_running_loop().create_future()

    @property
    def done(self) -> bool:
        """Return whether the answer was given or its sender no longer waits."""
        return self._future.done()

    def send(self, value: Value) -> None:
        """Give the answer; a sender that no longer waits is ignored."""
        if not self._future.done():
            self._future.set_result(value)

    async def wait(self) -> Value:
        """Wait for the answer."""
        return await self._future
