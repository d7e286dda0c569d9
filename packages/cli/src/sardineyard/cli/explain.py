"""Command that tells the story of one request from the logs of several processes."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, ClassVar

import msgspec
from cleo.helpers import argument
from returns.result import Failure, Success

from sardineyard.cli.base import BaseCommand, read_file
from sardineyard.cli.exits import ExitCode

if TYPE_CHECKING:
    from collections.abc import Iterator

    from cleo.io.inputs.argument import Argument

_HIDDEN = frozenset(
    {"time", "process", "event", "request_id", "level", "logger", "message"}
)


class ExplainCommand(BaseCommand):
    """Print the decisions on one request in the order of their time."""

    name = "explain"
    description = "Tell from logs what became of one request, and why."
    help = """Reads logs of any number of processes and prints the lines of one request.

  <info>sardineyard explain 9c41d07be2a35f68 gateway-1.log gateway-2.log</info>

Ends with status 5 when no log has a line of the request.
"""
    arguments: ClassVar[list[Argument]] = [
        argument("request", "Id of the request."),
        argument("logs", "Files with JSON lines.", multiple=True),
    ]

    def handle(self) -> int:
        """Run the command."""
        wanted = self.argument("request")
        lines: list[dict[str, Any]] = []
        for path in self.argument("logs"):
            match read_file(path):
                case Success(raw):
                    lines.extend(lines_of(raw, wanted))
                case Failure(reason):
                    return self.fail(ExitCode.USAGE, [reason])
        if not lines:
            return self.fail(ExitCode.UNREACHABLE, [f"no line of request {wanted}"])
        for line in sorted(lines, key=lambda line: str(line.get("time", ""))):
            self.show(describe(line))
        return ExitCode.OK


def lines_of(raw: bytes, request: str) -> Iterator[dict[str, Any]]:
    """Yield the lines of one request; what is no JSON object is passed over."""
    for text in raw.splitlines():
        if request.encode() not in text:
            continue
        # Other programs may write in front of the line, such as a time stamp.
        start = text.find(b"{")
        try:
            line = msgspec.json.decode(text[start:]) if start >= 0 else None
        except msgspec.DecodeError:
            continue
        if isinstance(line, dict) and line.get("request_id") == request:
            yield line


def describe(line: dict[str, Any]) -> str:
    """Return one line of the story."""
    details = ", ".join(
        f"{name} {value}"
        for name, value in line.items()
        if name not in _HIDDEN and value not in (None, "")
    )
    return f"{line.get('time')} {line.get('process')} {line.get('event')}: {details}"
