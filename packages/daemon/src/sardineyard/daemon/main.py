"""Main function of the daemons: arguments, settings, logs and event loop."""

from __future__ import annotations

import argparse
import asyncio
import sys
from pathlib import Path
from typing import TYPE_CHECKING, TypeVar

from returns.result import Failure, Success

from sardineyard.core.clock import SystemClock
from sardineyard.daemon.lifecycle import ExitCode, run_daemon
from sardineyard.settings.processes import ProcessSettings
from sardineyard.telemetry.logs import configure_logs

if TYPE_CHECKING:
    from collections.abc import Callable

    from returns.result import Result

    from sardineyard.core.clock import Clock
    from sardineyard.daemon.lifecycle import Daemon
    from sardineyard.settings.ini import SettingError

Settings = TypeVar("Settings", bound=ProcessSettings)


def run_main(
    role: str,
    read: Callable[[str], Result[Settings, tuple[SettingError, ...]]],
    build: Callable[[Settings, Clock], Daemon],
) -> ExitCode:
    """Read the settings and run the daemon, or only check them with `--check`."""
    parser = argparse.ArgumentParser(prog=f"sardineyard {role}")
    parser.add_argument("--settings", type=Path, required=True, metavar="FILE")
    parser.add_argument(
        "--check", action="store_true", help="check the settings and stop"
    )
    arguments = parser.parse_args()
    try:
        text = arguments.settings.read_text()
    except OSError as error:
        print(f"cannot read {arguments.settings}: {error.strerror}", file=sys.stderr)
        return ExitCode.BAD_SETTINGS
    match read(text):
        case Success(settings):
            if arguments.check:
                print(f"{arguments.settings}: valid")
                return ExitCode.STOPPED
            return _run(settings, build)
        case Failure(errors):
            for problem in errors:
                print(f"{arguments.settings}: {problem}", file=sys.stderr)
    return ExitCode.BAD_SETTINGS


def _run(settings: Settings, build: Callable[[Settings, Clock], Daemon]) -> ExitCode:
    configure_logs(settings.process, settings.log_level)

    async def run() -> ExitCode:
        clock = SystemClock()
        return await run_daemon(build(settings, clock), clock, settings.drain_timeout_s)

    return asyncio.run(run())
