"""Startup, drain and shutdown of a daemon."""

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
    """Exit codes of the daemons."""

    STOPPED = 0
    FAILED = 1
    BAD_SETTINGS = 2
    # Requests were aborted at the drain deadline or at a second signal.
    REQUESTS_CUT = 3


class Daemon(Protocol):
    """Operations that `run_daemon` needs from a daemon."""

    async def start(self) -> None:
        """Start the tasks and the servers."""

    async def drain(self) -> None:
        """Refuse new requests and return when all open requests have ended."""

    async def close(self) -> list[str]:
        """Stop all tasks and return the ids of the requests that were aborted."""

    async def wait_failed(self) -> None:
        """Wait until a task fails."""


@runtime_checkable
class Reloadable(Protocol):
    """Daemon that can apply changed settings without a restart."""

    def reload(self) -> None:
        """Read the settings again and apply them."""


class _StopSignals:
    """Events that are set by the first and the second stop signal."""

    def __init__(self) -> None:
        self.first = asyncio.Event()
        self.second = asyncio.Event()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._on_signal)

    def _on_signal(self) -> None:
        if self.first.is_set():
            self.second.set()
        self.first.set()


async def run_daemon(daemon: Daemon, clock: Clock, drain_timeout_s: float) -> ExitCode:
    """Run a daemon until a stop signal arrives or a task fails."""
    signals = _StopSignals()
    # The default action of SIGHUP would terminate the process.
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGHUP, _reload, daemon)
    await daemon.start()
    _logger.info("daemon started", extra={"event": "started"})
    if await _wait_first(signals.first.wait(), daemon.wait_failed()) == 1:
        await daemon.close()
        return ExitCode.FAILED
    deadline = deadline_after(clock, drain_timeout_s)
    _logger.info("stop signal received; draining", extra={"event": "draining"})
    try:
        async with asyncio.timeout(remaining(clock, deadline)):
            await _wait_first(daemon.drain(), signals.second.wait())
    except TimeoutError:
        _logger.warning("drain deadline exceeded", extra={"event": "drain_timeout"})
    aborted = await daemon.close()
    if aborted:
        _logger.warning(
            "requests aborted at shutdown",
            extra={"event": "requests_cut", "requests": aborted},
        )
        return ExitCode.REQUESTS_CUT
    _logger.info("stopped", extra={"event": "stopped"})
    return ExitCode.STOPPED


def _reload(daemon: Daemon) -> None:
    can_reload = isinstance(daemon, Reloadable)
    _logger.info(
        "SIGHUP received; settings reload requested",
        extra={"event": "reload", "supported": can_reload},
    )
    if isinstance(daemon, Reloadable):
        daemon.reload()


async def _wait_first(*coroutines: Coroutine[Any, Any, Any]) -> int:
    """Return the index of the first coroutine to end; cancel the others."""
    loop = asyncio.get_running_loop()
    tasks = [loop.create_task(coroutine) for coroutine in coroutines]
    try:
        await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        return next(index for index, task in enumerate(tasks) if task.done())
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
