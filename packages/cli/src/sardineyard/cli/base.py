"""What all commands share."""

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
    """Print text as it is, and errors to standard error."""

    def show(self, text: str) -> None:
        """Print one line.

        The text may come from a document or a process, so nothing in it is taken
        for markup.
        """
        self.io.write_line(text, type=Type.RAW)

    def fail(self, code: ExitCode, lines: Iterable[object]) -> int:
        """Print errors, one on each line, and return the exit code."""
        for line in lines:
            self.io.error_output.write_line(str(line), type=Type.RAW)
        return code


def read_file(path: str) -> Result[bytes, str]:
    """Return the bytes of a file, or why they cannot be read."""
    try:
        return Success(Path(path).read_bytes())
    except OSError as error:
        return Failure(f"{path}: {error.strerror or error}")
