"""Supervision of the asyncio tasks of one process."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Coroutine

_logger = logging.getLogger(__name__)


class TaskSet:
    """Set of named tasks that reports the failure of any of them."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[None]] = set()
        self._failed = asyncio.Event()

    @property
    def names(self) -> list[str]:
        """Return the names of the running tasks."""
        return sorted(task.get_name() for task in self._tasks)

    def start(self, name: str, coroutine: Coroutine[Any, Any, None]) -> None:
        """Start a task; if it fails, `wait_failed` returns and the process stops."""
        task = asyncio.get_running_loop().create_task(coroutine, name=name)
        self._tasks.add(task)
        task.add_done_callback(self._on_done)

    async def wait_failed(self) -> None:
        """Wait until a task has failed."""
        await self._failed.wait()

    async def cancel_all(self) -> None:
        """Cancel the running tasks and wait until they have ended."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _on_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if task.cancelled():
            return
        error = task.exception()
        if error is not None:
            _logger.error(
                "task failed",
                extra={"event": "task_failed", "task": task.get_name()},
                exc_info=error,
            )
            self._failed.set()
