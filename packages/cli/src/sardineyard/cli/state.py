"""Command that prints the state dump of a running process."""

from __future__ import annotations

import asyncio
from functools import singledispatch
from typing import TYPE_CHECKING, Any, ClassVar

import msgspec
from cleo.helpers import argument, option
from returns.result import Failure, Success

from sardineyard.cli.base import BaseCommand
from sardineyard.cli.exits import ExitCode
from sardineyard.cli.tables import Table, format_table
from sardineyard.core.address import parse_address
from sardineyard.httpio.client import ResponseError, fetch
from sardineyard.httpio.messages import HttpRequest
from sardineyard.telemetry.state import AgentDump, EntryDump, decode_dump

if TYPE_CHECKING:
    from cleo.io.inputs.argument import Argument
    from cleo.io.inputs.option import Option
    from returns.result import Result

    from sardineyard.core.address import Address
    from sardineyard.telemetry.state import ProcessDump

_TIMEOUT_S = 5.0
_HTTP_OK = 200


class StateCommand(BaseCommand):
    """Command that prints the state dump of a process."""

    name = "state"
    description = "Print the state dump of a running process."
    help = """Reads /state from the admin address of an entry or an agent.

  <info>sardineyard state 127.0.0.1:9101</info>          as JSON
  <info>sardineyard state 127.0.0.1:9101 --table</info>  as tables

The dump never holds a team's key or its hash.
"""
    arguments: ClassVar[list[Argument]] = [
        argument("address", "Admin address of the process: IP address and port.")
    ]
    options: ClassVar[list[Option]] = [
        option("table", "t", "Print tables instead of JSON.")
    ]

    def handle(self) -> int:
        """Run the command."""
        try:
            address = parse_address(self.argument("address"))
        except ValueError as error:
            return self.fail(ExitCode.USAGE, [f"not an address: {error}"])
        match asyncio.run(fetch_dump(address)):
            case Success(raw):
                return self._print_dump(raw)
            case Failure(reason):
                return self.fail(ExitCode.UNREACHABLE, [f"{address}: {reason}"])
        raise AssertionError("a result is a success or a failure")

    def _print_dump(self, raw: bytes) -> int:
        if not self.option("table"):
            self.print_line(msgspec.json.format(raw, indent=2).decode())
            return ExitCode.OK
        try:
            dump = decode_dump(raw)
        except msgspec.DecodeError as error:
            return self.fail(ExitCode.UNREACHABLE, [f"not a state dump: {error}"])
        for table in dump_tables(dump):
            self.print_line(format_table(table))
            self.print_line("")
        return ExitCode.OK


async def fetch_dump(address: Address) -> Result[bytes, str]:
    """Return the state dump from an admin address, or the reason of the failure."""
    try:
        response = await fetch(address, HttpRequest("GET", "/state"), _TIMEOUT_S)
    except TimeoutError:
        return Failure(f"no response within {_TIMEOUT_S:g} s")
    except (OSError, ResponseError) as error:
        return Failure(str(error))
    if response.status != _HTTP_OK:
        return Failure(f"status {response.status} for /state")
    return Success(response.body)


@singledispatch
def dump_tables(dump: Any) -> list[Table]:
    """Return the tables of a state dump; the first describes the process."""
    raise TypeError(f"no tables for {type(dump).__name__}")


@dump_tables.register(EntryDump)
def _(dump: EntryDump) -> list[Table]:
    return [
        _process_table(dump, []),
        _struct_table("upstreams", dump.upstreams),
        *_common_tables(dump),
    ]


@dump_tables.register(AgentDump)
def _(dump: AgentDump) -> list[Table]:
    role_rows = [
        ("upstream", dump.upstream),
        ("slots", dump.slots),
        ("running", dump.running),
        ("queued", dump.queued),
        ("lease held", dump.lease_held),
        ("idempotency keys", dump.idempotency_keys),
    ]
    return [
        _process_table(dump, role_rows),
        _struct_table("queues", dump.queues),
        _struct_table("groups", dump.groups),
        *_common_tables(dump),
    ]


def _process_table(dump: ProcessDump, role_rows: list[tuple[str, Any]]) -> Table:
    document = dump.document
    rows = [
        ("process", dump.process),
        ("incarnation", dump.incarnation),
        ("failure domain", dump.failure_domain),
        ("state", dump.state),
        ("uptime", f"{dump.uptime_s:.1f} s"),
        ("document", "none" if document is None else f"version {document.version}"),
        *role_rows,
    ]
    return Table("process", ("field", "value"), rows)


def _common_tables(dump: ProcessDump) -> list[Table]:
    return [
        _struct_table("teams", dump.teams),
        _struct_table("open requests", dump.requests),
        *([_struct_table("configuration", (dump.config,))] if dump.config else []),
    ]


def _struct_table(title: str, items: tuple[msgspec.Struct, ...]) -> Table:
    if not items:
        return Table(title, (), [])
    names = items[0].__struct_fields__
    return Table(title, names, [tuple(getattr(i, n) for n in names) for i in items])
