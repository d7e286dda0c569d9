"""Command-line application with all commands."""

from __future__ import annotations

from importlib.metadata import version
from typing import TYPE_CHECKING

from cleo.application import Application
from cleo.exceptions import CleoError
from cleo.io.outputs.output import Type

from sardineyard.cli.config import ConfigCheck, ConfigDiff, ConfigShow
from sardineyard.cli.console import ConsoleCommand
from sardineyard.cli.daemons import (
    AgentCommand,
    EntryCommand,
    GatewayCommand,
    RebalancerCommand,
)
from sardineyard.cli.demo import DemoCommand
from sardineyard.cli.exits import ExitCode
from sardineyard.cli.explain import ExplainCommand
from sardineyard.cli.play import PlayCommand
from sardineyard.cli.state import StateCommand

if TYPE_CHECKING:
    from cleo.io.inputs.input import Input
    from cleo.io.outputs.output import Output

_COMMANDS = (
    EntryCommand,
    AgentCommand,
    GatewayCommand,
    RebalancerCommand,
    ConsoleCommand,
    ConfigCheck,
    ConfigDiff,
    ConfigShow,
    StateCommand,
    ExplainCommand,
    PlayCommand,
    DemoCommand,
)


class CommandLine(Application):
    """Command-line application that maps each error to an exit code."""

    def __init__(self) -> None:
        super().__init__("sardineyard", version("sardineyard-cli"))
        self.set_display_name("sardineyard")
        self.auto_exits(False)
        self.catch_exceptions(False)
        for command in _COMMANDS:
            self.add(command())

    def run(
        self,
        input: Input | None = None,
        output: Output | None = None,
        error_output: Output | None = None,
    ) -> int:
        """Run the command that the input names and return its exit code."""
        try:
            return super().run(input, output, error_output)
        except CleoError as error:
            code, text = ExitCode.USAGE, str(error)
        except Exception as error:
            code, text = ExitCode.FAILED, f"{type(error).__name__}: {error}"
        errors = self.create_io(input, output, error_output).error_output
        errors.write_line(text, type=Type.RAW)
        return code
