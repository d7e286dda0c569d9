"""Child processes of demo, tests and benchmarks."""

from __future__ import annotations

import asyncio
import signal
import socket
import sys
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pathlib import Path

_STOP_TIMEOUT_S = 10.0


def free_port() -> int:
    """Return a port on loopback that no process listens on now."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


class ChildProcess:
    """Own one child process that runs a Python module."""

    def __init__(self, name: str, module: str, arguments: list[str], log: Path) -> None:
        self.name = name
        self._module = module
        self._arguments = arguments
        self._log = log
        self._process: asyncio.subprocess.Process | None = None

    @property
    def pid(self) -> int:
        """Return the process id."""
        assert self._process is not None
        return self._process.pid

    @property
    def exit_code(self) -> int | None:
        """Return the exit code, or None while the process runs."""
        return self._process.returncode if self._process else None

    @property
    def is_running(self) -> bool:
        """Return whether the process was started and has not ended."""
        return self._process is not None and self._process.returncode is None

    async def start(self) -> None:
        """Start the process; its output is appended to the log file."""
        with self._log.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                self._module,
                *self._arguments,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.is_running:
            assert self._process is not None
            self._process.send_signal(number)

    def kill(self) -> None:
        """End the process at once."""
        self.send_signal(signal.SIGKILL)

    def freeze(self) -> None:
        """Stop the process without ending it."""
        self.send_signal(signal.SIGSTOP)

    def thaw(self) -> None:
        """Let a stopped process go on."""
        self.send_signal(signal.SIGCONT)

    async def wait(self) -> int:
        """Wait for the end of the process and return its exit code."""
        assert self._process is not None
        return await self._process.wait()

    async def stop(self) -> int:
        """Ask the process to stop, end it after a time, and return its exit code."""
        if not self.is_running:
            return self.exit_code or 0
        self.thaw()
        self.send_signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(_STOP_TIMEOUT_S):
                return await self.wait()
        except TimeoutError:
            self.kill()
            return await self.wait()

    def log_text(self) -> str:
        """Return what the process has written so far."""
        return self._log.read_text() if self._log.exists() else ""
