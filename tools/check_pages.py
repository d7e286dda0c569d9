"""Run the commands of the documentation pages and find names they do not document.

The `sh` blocks of a page run in one shell, in their order, against a fleet of real
processes. The check fails if a command exits with a status other than 0 or if a name
is missing.
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
_SHELL_BLOCK = re.compile(r"^```sh\n(.*?)^```$", re.MULTILINE | re.DOTALL)
_LOG_EVENT = re.compile(r'(?:"event": |log_fields\(\s*)"([a-z_]+)"')
_TIMEOUT_S = 120.0


def undocumented_names() -> list[str]:
    """Return log events, metrics and error kinds missing from the operators' page."""
    page = (_ROOT / "docs/OPERATIONS.md").read_text()
    names = {kind.value for kind in ErrorKind}
    sources = [
        *(_ROOT / "packages").glob("*/src/**/*.py"),
        *(_ROOT / "platform/src").rglob("*.py"),
    ]
    for path in sources:
        names.update(_LOG_EVENT.findall(path.read_text()))
    for metrics in (
        EntryMetrics("-"),
        AgentMetrics("-"),
        GatewayMetrics("-"),
        RebalancerMetrics("-"),
    ):
        text = metrics.render()[1].decode()
        names.update(re.findall(r"^# TYPE (\w+)", text, re.MULTILINE))
    return sorted(name for name in names if f"`{name}`" not in page)


def write_launcher(folder: Path) -> None:
    """Write an executable `sardineyard` launcher, as an installation would."""
    command = folder / "sardineyard"
    command.write_text(f'#!/bin/sh\nexec {sys.executable} -m sardineyard.cli "$@"\n')
    command.chmod(0o755)


def page_environment(fleet: Fleet, folder: Path) -> dict[str, str]:
    """Return the environment variables that the commands of the pages use."""
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
    """Run the `sh` blocks of one page and return the exit status of the shell."""
    blocks = _SHELL_BLOCK.findall((_ROOT / page).read_text())
    script = "set -eu\n" + "\n".join(blocks)
    with tempfile.TemporaryDirectory(prefix="sardineyard-pages-") as name:
        folder = Path(name)
        write_launcher(folder)
        async with Fleet(FleetSpec(), folder / "fleet") as fleet:
            shell = await asyncio.create_subprocess_exec(
                "sh", "-xc", script, cwd=_ROOT, env=page_environment(fleet, folder)
            )
            async with asyncio.timeout(_TIMEOUT_S):
                status = await shell.wait()
    print(f"{page}: {len(blocks)} blocks, status {status}", flush=True)
    return status


async def main() -> int:
    """Check every page and return the exit status."""
    failed = [page for page in _PAGES if await run_page(page) != 0]
    undocumented = undocumented_names()
    if undocumented:
        print("docs/OPERATIONS.md does not mention:", ", ".join(undocumented))
    return 1 if failed or undocumented else 0


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
