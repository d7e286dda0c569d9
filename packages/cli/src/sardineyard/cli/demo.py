"""Command that runs the whole system on one machine with stand-ins."""

from __future__ import annotations

import os
import sys
from importlib.util import find_spec
from typing import TYPE_CHECKING, ClassVar

from cleo.helpers import option

from sardineyard.cli.base import BaseCommand
from sardineyard.cli.exits import ExitCode

if TYPE_CHECKING:
    from cleo.io.inputs.option import Option

_DEMO_MODULE = "sardineyard.standins"


class DemoCommand(BaseCommand):
    """Command that starts all processes on loopback addresses and sends requests."""

    name = "demo"
    description = "Start every process, send a completion and a booking, and stop."
    help = """Starts stand-ins of the platform, of a model runner and of a booking
service with their agents and an entry, all on loopback addresses, sends requests
through them and stops them. It needs the package <info>sardineyard-standins</info>.
"""
    options: ClassVar[list[Option]] = [
        option("keep", "k", "Stay up until Ctrl-C, and print a request to try.")
    ]

    def handle(self) -> int:
        """Run the command."""
        if find_spec(_DEMO_MODULE) is None:
            return self.fail(
                ExitCode.FAILED, ["the demo needs the package sardineyard-standins"]
            )
        sys.stdout.flush()
        keep = ["--keep"] if self.option("keep") else []
        os.execv(sys.executable, [sys.executable, "-m", _DEMO_MODULE, *keep])
        return ExitCode.OK
