"""Command that runs the console."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import TYPE_CHECKING, ClassVar

from cleo.helpers import option
from returns.result import Failure, Success

from sardineyard.cli.base import BaseCommand
from sardineyard.cli.documents import read_document
from sardineyard.cli.exits import ExitCode
from sardineyard.console.server import serve
from sardineyard.core.address import parse_address

if TYPE_CHECKING:
    from cleo.io.inputs.option import Option


class ConsoleCommand(BaseCommand):
    """Command that serves the console: forms that edit a document."""

    name = "console"
    description = "Serve the operators' forms on a local address."
    help = """Reads a document, serves forms that change it, and gives out one valid
document whose version is greater by one: as a download, or written to a file.

  <info>sardineyard console --document now.json --output next.json</info>

The forms ask for no password: whoever reaches the address may use them. Keep it on a
loopback address and reach it from elsewhere through a secure tunnel.
"""
    options: ClassVar[list[Option]] = [
        option("document", "d", "Document to start from.", flag=False),
        option("output", "o", "File to which the result may be written.", flag=False),
        option(
            "address",
            "a",
            "IP address and port to listen on; port 0 takes a free one.",
            flag=False,
            default="127.0.0.1:0",
        ),
    ]

    def handle(self) -> int:
        """Run the command."""
        if self.option("document") is None:
            return self.fail(ExitCode.USAGE, ["--document FILE is required"])
        try:
            address = parse_address(self.option("address"))
        except ValueError as error:
            return self.fail(ExitCode.USAGE, [f"not an address: {error}"])
        output = self.option("output")
        match read_document(self.option("document")):
            case Success(document):
                path = None if output is None else Path(output)
                asyncio.run(serve(address, document, path, self.print_line))
                return ExitCode.OK
            case Failure(lines):
                return self.fail(ExitCode.INVALID_DOCUMENT, lines)
        raise AssertionError("a result is a success or a failure")
