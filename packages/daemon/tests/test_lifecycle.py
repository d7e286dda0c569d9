"""Tests of signal handling in the life cycle of a daemon."""

from __future__ import annotations

import asyncio
import os
import signal

from sardineyard.core.clock import SystemClock
from sardineyard.daemon.lifecycle import ExitCode, run_daemon


class IdleDaemon:
    """Daemon without work, which drains immediately."""

    async def start(self) -> None:
        """Start."""

    async def drain(self) -> None:
        """Return immediately."""

    async def close(self) -> list[str]:
        """Abort no requests."""
        return []

    async def wait_failed(self) -> None:
        """Never return: no task fails."""
        await asyncio.Event().wait()


class ReloadingDaemon(IdleDaemon):
    """Daemon that counts its reloads."""

    def __init__(self) -> None:
        self.reloads = 0

    def reload(self) -> None:
        """Count one reload."""
        self.reloads += 1


def run_with_signals(daemon: IdleDaemon, *numbers: signal.Signals) -> ExitCode:
    """Run a daemon and send it signals at intervals."""

    async def main() -> ExitCode:
        running = asyncio.ensure_future(run_daemon(daemon, SystemClock(), 1.0))
        for number in numbers:
            await asyncio.sleep(0.05)
            os.kill(os.getpid(), number)
        return await running

    return asyncio.run(main())


def test_sighup_reloads_the_settings() -> None:
    """Guards against a SIGHUP that terminates the process."""
    daemon = ReloadingDaemon()
    hup, term = signal.SIGHUP, signal.SIGTERM
    assert run_with_signals(daemon, hup, hup, term) is ExitCode.STOPPED
    assert daemon.reloads == 2


def test_sighup_is_ignored_without_reload() -> None:
    """Guards against a SIGHUP that terminates a daemon without `reload`."""
    signals = (signal.SIGHUP, signal.SIGTERM)
    assert run_with_signals(IdleDaemon(), *signals) is ExitCode.STOPPED
