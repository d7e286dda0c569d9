"""Commands that validate a settings file and start a daemon."""

from __future__ import annotations

import os
import sys
from typing import TYPE_CHECKING, Any, ClassVar, Protocol

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
    from cleo.io.inputs.option import Option
    from returns.result import Result

    from sardineyard.settings.ini import SettingError

_SHUTDOWN_HELP = """
SIGTERM starts a graceful shutdown: /readyz turns false, new requests are refused as
not run, open ones finish, and the process ends with status 0. A second SIGTERM, or the
end of drain_timeout_s, ends it at once."""


def _daemon_help(name: str) -> str:
    return f"""Checks the settings and starts the daemon in this process.

  <info>sardineyard {name} --settings examples/{name}.ini --check</info>
{_SHUTDOWN_HELP}
"""


class SettingsReader(Protocol):
    """Function that parses the settings of one daemon."""

    def __call__(self, text: str) -> Result[Any, tuple[SettingError, ...]]:
        """Return the parsed settings, or all errors."""


class DaemonCommand(BaseCommand):
    """Base of commands that validate settings and then exec a daemon."""

    options: ClassVar[list[Option]] = [
        option("settings", "s", "INI file with the settings.", flag=False),
        option("check", "c", "Only check the settings and print the result."),
    ]
    module: ClassVar[str]
    read_settings: ClassVar[SettingsReader]
    # First argument of the module, if it has several programs.
    program: ClassVar[str] = ""

    def handle(self) -> int:
        """Run the command."""
        path = self.option("settings")
        if path is None:
            return self.fail(ExitCode.USAGE, ["--settings FILE is required"])
        match self._settings_errors(path):
            case []:
                pass
            case errors:
                return self.fail(ExitCode.USAGE, errors)
        if self.option("check"):
            self.print_line(f"{path}: the settings are valid")
            return ExitCode.OK
        # The daemon runs in a fresh interpreter without cleo, whose import would cost
        # 13 MB of memory in each daemon.
        program = [self.program] if self.program else []
        self.replace_process(
            [sys.executable, "-m", self.module, *program, "--settings", str(path)]
        )
        return ExitCode.OK

    def replace_process(self, command: list[str]) -> None:
        """Execute a command in place of this process; does not return."""
        sys.stdout.flush()
        sys.stderr.flush()
        os.execv(command[0], command)

    def _settings_errors(self, path: str) -> list[object]:
        match read_file(path):
            case Failure(reason):
                return [reason]
            case Success(raw):
                return _parse_errors(raw, self.read_settings)
        raise AssertionError("a result is a success or a failure")


class EntryCommand(DaemonCommand):
    """Command that starts an entry."""

    name = "entry"
    description = "Start an entry: the HTTP server for callers."
    help = _daemon_help("entry")
    module = "sardineyard.entry"
    read_settings = staticmethod(read_entry_settings)


class AgentCommand(DaemonCommand):
    """Command that starts an agent."""

    name = "agent"
    description = "Start an agent: the only path to the upstream beside it."
    help = _daemon_help("agent")
    module = "sardineyard.agent"
    read_settings = staticmethod(read_agent_settings)


class GatewayCommand(DaemonCommand):
    """Command that starts a gateway."""

    name = "gateway"
    description = "Start a gateway: it forwards callers' requests to upstreams."
    help = _daemon_help("gateway")
    module = "sardineyard.platform"
    program = "gateway"
    read_settings = staticmethod(read_gateway_settings)


class RebalancerCommand(DaemonCommand):
    """Command that starts a rebalancer."""

    name = "rebalancer"
    description = "Start a rebalancer beside a model runner of a group."
    help = _daemon_help("rebalancer")
    module = "sardineyard.platform"
    program = "rebalancer"
    read_settings = staticmethod(read_rebalancer_settings)


def _parse_errors(raw: bytes, parse: SettingsReader) -> list[object]:
    try:
        text = raw.decode()
    except UnicodeDecodeError as error:
        return [f"the settings are not UTF-8: {error.reason}"]
    return list(parse(text).swap().value_or(()))
