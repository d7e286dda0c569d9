"""Command that runs emulated days."""

from __future__ import annotations

from typing import TYPE_CHECKING, ClassVar

from cleo.helpers import argument, option
from returns.result import Failure, Success

from sardineyard.cli.base import BaseCommand, read_file
from sardineyard.cli.exits import ExitCode
from sardineyard.emulator.days import DayError, read_day
from sardineyard.emulator.play import Emulation
from sardineyard.emulator.tables import table_lines

if TYPE_CHECKING:
    from cleo.io.inputs.argument import Argument
    from cleo.io.inputs.option import Option


class PlayCommand(BaseCommand):
    """Command that emulates days and prints service quality and skew over time."""

    name = "play"
    description = "Play days of a lock-step group on the emulator."
    help = """A day is an INI file; the project has some in <info>examples/days</info>.

  <info>sardineyard play examples/days/calm.ini --seed 3</info>

Slots, limits and expert maps are computed by the code of the daemons; the group, its
callers and the time are emulated. The same seed plays the same day.
"""
    arguments: ClassVar[list[Argument]] = [
        argument("days", "Files with days.", multiple=True),
    ]
    options: ClassVar[list[Option]] = [
        option("seed", None, "Seed of the random numbers.", flag=False, default="1"),
        option("static-map", None, "Keep the first map, as a baseline."),
    ]

    def handle(self) -> int:
        """Run the command."""
        seed = str(self.option("seed"))
        if not seed.isdigit():
            return self.fail(ExitCode.USAGE, [f"--seed: {seed!r} is not a number"])
        for path in self.argument("days"):
            match read_file(path):
                case Success(raw):
                    try:
                        day = read_day(raw.decode())
                    except (DayError, UnicodeDecodeError) as error:
                        errors = str(error).splitlines()
                        return self.fail(
                            ExitCode.USAGE, [f"{path}: {message}" for message in errors]
                        )
                case Failure(reason):
                    return self.fail(ExitCode.USAGE, [reason])
            self.print_line(f"{path}, seed {seed}")
            rebalancing_enabled = not self.option("static-map")
            emulation_result = Emulation(
                day, int(seed), rebalancing_enabled=rebalancing_enabled
            ).run()
            for line in table_lines(emulation_result):
                self.print_line(line)
        return ExitCode.OK
