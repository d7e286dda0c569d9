"""Run the commands of the pages as written and look for what the pages leave out.

Each page's `sh` blocks run in one shell, in the order of the page, against a fleet of
real processes; a block that ends with another status than 0 fails the check.
"""

from __future__ import annotations

import asyncio
import os
import re
import sys
import tempfile
from pathlib import Path

from sardineyard.core.errors import ErrorKind
from sardineyard.standins.fleet import TEAM_KEY, Fleet, FleetSpec
from sardineyard.telemetry.gateway_metrics import GatewayMetrics
from sardineyard.telemetry.metrics import AgentMetrics, EntryMetrics
from sardineyard.telemetry.rebalancer_metrics import RebalancerMetrics

_ROOT = Path(__file__).parents[1]
_PAGES = ("docs/api.md", "docs/OPERATIONS.md")
_BLOCK = re.compile(r"^```sh\n(.*?)^```$", re.MULTILINE | re.DOTALL)
_EVENT = re.compile(r'(?:"event": |log_fields\(\s*)"([a-z_]+)"')
_TIMEOUT_S = 120.0


def missing_words() -> list[str]:
    """Return events, metrics and error kinds that the operators' page leaves out."""
    page = (_ROOT / "docs/OPERATIONS.md").read_text()
    words = {kind.value for kind in ErrorKind}
    sources = [
        *(_ROOT / "packages").glob("*/src/**/*.py"),
        *(_ROOT / "platform/src").rglob("*.py"),
    ]
    for path in sources:
        words.update(_EVENT.findall(path.read_text()))
    for metrics in (
        EntryMetrics("-"),
        AgentMetrics("-"),
        GatewayMetrics("-"),
        RebalancerMetrics("-"),
    ):
        text = metrics.render()[1].decode()
        words.update(re.findall(r"^# TYPE (\w+)", text, re.MULTILINE))
    return sorted(word for word in words if f"`{word}`" not in page)


def write_command(folder: Path) -> None:
    """Put the `sardineyard` command into a folder, as an installation does."""
    command = folder / "sardineyard"
    command.write_text(f'#!/bin/sh\nexec {sys.executable} -m sardineyard.cli "$@"\n')
    command.chmod(0o755)


def environment(fleet: Fleet, folder: Path) -> dict[str, str]:
    """Return the variables that the pages use."""
    return {
        **os.environ,
        "PATH": f"{folder}:{os.environ['PATH']}",
        "ENTRY": str(fleet.caller_address()),
        "KEY": TEAM_KEY,
        "ENTRY_ADMIN": str(fleet.ports["entry-1"].admin),
        "AGENT_ADMIN": str(fleet.ports["agent-model-1"].admin),
        "ENTRY_PID": str(fleet.processes["entry-1"].pid),
    }


async def run_page(page: str) -> int:
    """Run the blocks of one page and return the exit status of the shell."""
    blocks = _BLOCK.findall((_ROOT / page).read_text())
    script = "set -eu\n" + "\n".join(blocks)
    with tempfile.TemporaryDirectory(prefix="sardineyard-pages-") as name:
        folder = Path(name)
        write_command(folder)
        async with Fleet(FleetSpec(), folder / "fleet") as fleet:
            shell = await asyncio.create_subprocess_exec(
                "sh", "-xc", script, cwd=_ROOT, env=environment(fleet, folder)
            )
            async with asyncio.timeout(_TIMEOUT_S):
                status = await shell.wait()
    print(f"{page}: {len(blocks)} blocks, status {status}", flush=True)
    return status


async def main() -> int:
    """Check every page and return the exit status."""
    failed = [page for page in _PAGES if await run_page(page) != 0]
    missing = missing_words()
    if missing:
        print("docs/OPERATIONS.md leaves out:", ", ".join(missing))
    return 1 if failed or missing else 0


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
