"""Commands that check, compare and print documents."""

from __future__ import annotations

from typing import TYPE_CHECKING, ClassVar

from cleo.helpers import argument
from returns.result import Failure, Success

from sardineyard.cli.base import BaseCommand
from sardineyard.cli.documents import read_document, redacted_json
from sardineyard.cli.exits import ExitCode
from sardineyard.console.changes import format_change
from sardineyard.document.diff import diff

if TYPE_CHECKING:
    from cleo.io.inputs.argument import Argument


class ConfigCheck(BaseCommand):
    """Command that validates documents and lists every violation."""

    name = "config check"
    description = "Check documents and list every violation."
    help = """Prints path, reason and value of each violation.

  <info>sardineyard config check examples/lookups-first.json</info>
"""
    arguments: ClassVar[list[Argument]] = [
        argument("file", "Document to check.", multiple=True)
    ]

    def handle(self) -> int:
        """Run the command."""
        code = ExitCode.OK
        for path in self.argument("file"):
            match read_document(path):
                case Success(document):
                    self.print_line(f"{path}: version {document.version} is valid")
                case Failure(lines):
                    code = ExitCode.INVALID_DOCUMENT
                    self.fail(code, lines)
        return code


class ConfigDiff(BaseCommand):
    """Command that lists the differences between two documents."""

    name = "config diff"
    description = "List what changes from one document to another."
    help = """Prints one line for each change: + added, - removed, ~ changed.

  <info>sardineyard config diff old.json new.json</info>

The status is 0 when nothing differs and 6 when something does.
"""
    arguments: ClassVar[list[Argument]] = [
        argument("old", "Earlier document."),
        argument("new", "Later document."),
    ]

    def handle(self) -> int:
        """Run the command."""
        old = read_document(self.argument("old"))
        new = read_document(self.argument("new"))
        match old, new:
            case Success(before), Success(after):
                changes = diff(before, after)
                for change in changes:
                    self.print_line(format_change(change))
                return ExitCode.DIFFERENT if changes else ExitCode.OK
            case _:
                lines = [*old.swap().value_or(()), *new.swap().value_or(())]
                return self.fail(ExitCode.INVALID_DOCUMENT, lines)


class ConfigShow(BaseCommand):
    """Command that prints a document with all defaults and truncated key hashes."""

    name = "config show"
    description = "Print a document with every default filled in."
    help = """Prints JSON. The hashes of team keys are cut, so the output may be shared,
but it is not a document that the fleet accepts.

  <info>sardineyard config show examples/lookups-first.json</info>
"""
    arguments: ClassVar[list[Argument]] = [argument("file", "Document to print.")]

    def handle(self) -> int:
        """Run the command."""
        match read_document(self.argument("file")):
            case Success(document):
                self.print_line(redacted_json(document).decode())
                return ExitCode.OK
            case Failure(lines):
                return self.fail(ExitCode.INVALID_DOCUMENT, lines)
        raise AssertionError("a result is a success or a failure")
