"""Tests of the signals that a daemon gets."""

from __future__ import annotations

import asyncio
import os
import signal

from sardineyard.core.clock import SystemClock
from sardineyard.daemon.lifecycle import ExitCode, run_daemon


class PlainDaemon:
    """Do nothing until stopped."""

    async def start(self) -> None:
        """Start."""

    async def drain(self) -> None:
        """Return at once."""

    async def close(self) -> list[str]:
        """Cut nothing."""
        return []

    async def wait_failed(self) -> None:
        """Wait for ever."""
        await asyncio.Event().wait()


class ReloadingDaemon(PlainDaemon):
    """Count the reloads."""

    def __init__(self) -> None:
        self.reloads = 0

    def reload(self) -> None:
        """Count one reload."""
        self.reloads += 1


def run_with_signals(daemon: PlainDaemon, *numbers: signal.Signals) -> ExitCode:
    """Run a daemon that gets signals one after the other."""

    async def play() -> ExitCode:
        running = asyncio.ensure_future(run_daemon(daemon, SystemClock(), 1.0))
        for number in numbers:
            await asyncio.sleep(0.05)
            os.kill(os.getpid(), number)
        return await running

    return asyncio.run(play())


def test_changed_settings_are_read_without_an_end() -> None:
    """Guards against a process that SIGHUP ends."""
    daemon = ReloadingDaemon()
    hup, term = signal.SIGHUP, signal.SIGTERM
    assert run_with_signals(daemon, hup, hup, term) is ExitCode.STOPPED
    assert daemon.reloads == 2


def test_a_daemon_without_reload_goes_on() -> None:
    """Guards against a signal that ends a daemon which cannot use it."""
    signals = (signal.SIGHUP, signal.SIGTERM)
    assert run_with_signals(PlainDaemon(), *signals) is ExitCode.STOPPED
