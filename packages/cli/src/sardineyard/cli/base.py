"""Base class of the commands and reading of files."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

from cleo.commands.command import Command
from cleo.io.outputs.output import Type
from returns.result import Failure, Success

if TYPE_CHECKING:
    from collections.abc import Iterable

    from returns.result import Result

    from sardineyard.cli.exits import ExitCode


class BaseCommand(Command):
    """Base of all commands: prints text without interpreting markup."""

    def print_line(self, text: str) -> None:
        """Print one line.

        The text may come from a document or a process, so it is written raw: cleo
        must not interpret markup in it.
        """
        self.io.write_line(text, type=Type.RAW)

    def fail(self, code: ExitCode, lines: Iterable[object]) -> int:
        """Print errors to standard error, one per line, and return the exit code."""
        for line in lines:
            self.io.error_output.write_line(str(line), type=Type.RAW)
        return code


def read_file(path: str) -> Result[bytes, str]:
    """Return the content of a file, or the reason why it cannot be read."""
    try:
        return Success(Path(path).read_bytes())
    except OSError as error:
        return Failure(f"{path}: {error.strerror or error}")
