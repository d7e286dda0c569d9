"""Start, planned stop and exit of a daemon."""

from __future__ import annotations

import asyncio
import logging
import signal
from enum import IntEnum, unique
from typing import TYPE_CHECKING, Any, Protocol, runtime_checkable

from sardineyard.core.clock import deadline_after, remaining

if TYPE_CHECKING:
    from collections.abc import Coroutine

    from sardineyard.core.clock import Clock

_logger = logging.getLogger(__name__)


@unique
class ExitCode(IntEnum):
    """Name the exit codes of the daemons."""

    STOPPED = 0
    FAILED = 1
    BAD_SETTINGS = 2
    # The drain deadline or a second signal cut requests short.
    CUT = 3


class Daemon(Protocol):
    """Describe what the lifecycle needs from a daemon."""

    async def start(self) -> None:
        """Start the tasks and listen."""

    async def drain(self) -> None:
        """Refuse new work and return when the open work has ended."""

    async def close(self) -> list[str]:
        """End all tasks and return the ids of the requests that were cut."""

    async def wait_failed(self) -> None:
        """Return when a task has failed."""


@runtime_checkable
class Reloadable(Protocol):
    """Describe a daemon that can adopt changed settings while it runs."""

    def reload(self) -> None:
        """Read the settings again."""


class _StopSignals:
    """Count the stop signals that arrive."""

    def __init__(self) -> None:
        self.first = asyncio.Event()
        self.second = asyncio.Event()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._received)

    def _received(self) -> None:
        if self.first.is_set():
            self.second.set()
        self.first.set()


async def run_daemon(daemon: Daemon, clock: Clock, drain_timeout_s: float) -> ExitCode:
    """Run a daemon until it is told to stop or a task fails."""
    signals = _StopSignals()
    # Without a handler the signal would end the process.
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGHUP, _reload, daemon)
    await daemon.start()
    _logger.info("ready for work", extra={"event": "started"})
    if await _first_of(signals.first.wait(), daemon.wait_failed()) == 1:
        await daemon.close()
        return ExitCode.FAILED
    deadline = deadline_after(clock, drain_timeout_s)
    _logger.info("stop requested, draining", extra={"event": "draining"})
    try:
        async with asyncio.timeout(remaining(clock, deadline)):
            await _first_of(daemon.drain(), signals.second.wait())
    except TimeoutError:
        _logger.warning("the drain deadline passed", extra={"event": "drain_timeout"})
    cut = await daemon.close()
    if cut:
        _logger.warning(
            "requests were cut short",
            extra={"event": "requests_cut", "requests": cut},
        )
        return ExitCode.CUT
    _logger.info("stopped", extra={"event": "stopped"})
    return ExitCode.STOPPED


def _reload(daemon: Daemon) -> None:
    can_reload = isinstance(daemon, Reloadable)
    _logger.info(
        "told to read the settings again",
        extra={"event": "reload", "supported": can_reload},
    )
    if isinstance(daemon, Reloadable):
        daemon.reload()


async def _first_of(*coroutines: Coroutine[Any, Any, Any]) -> int:
    """Wait for the first of several coroutines and return its index."""
    loop = asyncio.get_running_loop()
    tasks = [loop.create_task(coroutine) for coroutine in coroutines]
    try:
        await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        return next(index for index, task in enumerate(tasks) if task.done())
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
