"""Commands that check settings and start a daemon."""

from __future__ import annotations

import os
import sys
from typing import TYPE_CHECKING, Any, ClassVar

from cleo.helpers import option
from returns.result import Failure, Success

from sardineyard.cli.base import BaseCommand, read_file
from sardineyard.cli.exits import ExitCode
from sardineyard.settings.gateway import (
    read_gateway_settings,
    read_rebalancer_settings,
)
from sardineyard.settings.processes import read_agent_settings, read_entry_settings

if TYPE_CHECKING:
    from collections.abc import Callable

    from cleo.io.inputs.option import Option
    from returns.result import Result

    from sardineyard.settings.ini import SettingError

_DRAIN = """
SIGTERM starts a graceful shutdown: /readyz turns false, new requests are refused as
not run, open ones finish, and the process ends with status 0. A second SIGTERM, or the
end of drain_timeout_s, ends it at once."""


class DaemonCommand(BaseCommand):
    """Check a settings file, then replace this process with the daemon."""

    options: ClassVar[list[Option]] = [
        option("settings", "s", "INI file with the settings.", flag=False),
        option("check", "c", "Only check the settings and print the result."),
    ]
    module: ClassVar[str]
    # Program of the module, where it has several.
    program: ClassVar[str] = ""

    def handle(self) -> int:
        """Run the command."""
        path = self.option("settings")
        if path is None:
            return self.fail(ExitCode.USAGE, ["--settings FILE is required"])
        match self._errors(path):
            case []:
                pass
            case errors:
                return self.fail(ExitCode.USAGE, errors)
        if self.option("check"):
            self.show(f"{path}: the settings are valid")
            return ExitCode.OK
        # The daemon's image holds no command line library: importing cleo would cost
        # each of them 13 MB.
        program = [self.program] if self.program else []
        self.replace_process(
            [sys.executable, "-m", self.module, *program, "--settings", str(path)]
        )
        return ExitCode.OK

    def replace_process(self, command: list[str]) -> None:
        """Replace the image of this process; does not return."""
        sys.stdout.flush()
        sys.stderr.flush()
        os.execv(command[0], command)

    def read_settings(self, text: str) -> Result[Any, tuple[SettingError, ...]]:
        """Parse the settings of this daemon."""
        raise NotImplementedError

    def _errors(self, path: str) -> list[object]:
        match read_file(path):
            case Failure(reason):
                return [reason]
            case Success(raw):
                return _setting_errors(raw, self.read_settings)
        raise AssertionError("a result is a success or a failure")


class EntryCommand(DaemonCommand):
    """Start the HTTP server for callers."""

    name = "entry"
    description = "Start an entry: the HTTP server for callers."
    help = f"""Checks the settings and starts the daemon in this process.

  <info>sardineyard entry --settings examples/entry.ini --check</info>
{_DRAIN}
"""
    module = "sardineyard.entry"

    def read_settings(self, text: str) -> Result[Any, tuple[SettingError, ...]]:
        """Parse the settings of an entry."""
        return read_entry_settings(text)


class AgentCommand(DaemonCommand):
    """Start the process beside an upstream."""

    name = "agent"
    description = "Start an agent: the only path to the upstream beside it."
    help = f"""Checks the settings and starts the daemon in this process.

  <info>sardineyard agent --settings examples/agent.ini --check</info>
{_DRAIN}
"""
    module = "sardineyard.agent"

    def read_settings(self, text: str) -> Result[Any, tuple[SettingError, ...]]:
        """Parse the settings of an agent."""
        return read_agent_settings(text)


class GatewayCommand(DaemonCommand):
    """Start the process that forwards requests on the prepared platform."""

    name = "gateway"
    description = "Start a gateway: it forwards callers' requests to upstreams."
    help = f"""Checks the settings and starts the daemon in this process.

  <info>sardineyard gateway --settings examples/gateway.ini --check</info>
{_DRAIN}
"""
    module = "sardineyard.platform"
    program = "gateway"

    def read_settings(self, text: str) -> Result[Any, tuple[SettingError, ...]]:
        """Parse the settings of a gateway."""
        return read_gateway_settings(text)


class RebalancerCommand(DaemonCommand):
    """Start the process that levels the expert map of a group."""

    name = "rebalancer"
    description = "Start a rebalancer beside a model runner of a group."
    help = f"""Checks the settings and starts the daemon in this process.

  <info>sardineyard rebalancer --settings examples/rebalancer.ini --check</info>
{_DRAIN}
"""
    module = "sardineyard.platform"
    program = "rebalancer"

    def read_settings(self, text: str) -> Result[Any, tuple[SettingError, ...]]:
        """Parse the settings of a rebalancer."""
        return read_rebalancer_settings(text)


def _setting_errors(
    raw: bytes, parse: Callable[[str], Result[Any, tuple[SettingError, ...]]]
) -> list[object]:
    try:
        text = raw.decode()
    except UnicodeDecodeError as error:
        return [f"the settings are not UTF-8: {error.reason}"]
    return list(parse(text).swap().value_or(()))
