"""Command that collects the log records of one request from several processes."""

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

_OMITTED_FIELDS = frozenset(
    {"time", "process", "event", "request_id", "level", "logger", "message"}
)


class ExplainCommand(BaseCommand):
    """Command that prints the log records of one request in order of time."""

    name = "explain"
    description = "Show from logs what happened to one request, and why."
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
        request_id = self.argument("request")
        records: list[dict[str, Any]] = []
        for path in self.argument("logs"):
            match read_file(path):
                case Success(raw):
                    records.extend(request_records(raw, request_id))
                case Failure(reason):
                    return self.fail(ExitCode.USAGE, [reason])
        if not records:
            return self.fail(ExitCode.UNREACHABLE, [f"no line of request {request_id}"])
        for record in sorted(records, key=lambda record: str(record.get("time", ""))):
            self.print_line(format_record(record))
        return ExitCode.OK


def request_records(raw: bytes, request_id: str) -> Iterator[dict[str, Any]]:
    """Yield the log records of one request; skip lines without a JSON object."""
    for text in raw.splitlines():
        if request_id.encode() not in text:
            continue
        # Log collectors may prepend text to a line, such as a timestamp.
        start = text.find(b"{")
        try:
            record = msgspec.json.decode(text[start:]) if start >= 0 else None
        except msgspec.DecodeError:
            continue
        if isinstance(record, dict) and record.get("request_id") == request_id:
            yield record


def format_record(record: dict[str, Any]) -> str:
    """Return a log record as a line of text."""
    details = ", ".join(
        f"{name} {value}"
        for name, value in record.items()
        if name not in _OMITTED_FIELDS and value not in (None, "")
    )
    return (
        f"{record.get('time')} {record.get('process')} {record.get('event')}: {details}"
    )
